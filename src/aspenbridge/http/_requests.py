"""A request class that limits the size and the read time of the body."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Any

import attrs
from sanic import Request

from aspenbridge.result_codes import Problem, ResultCode

if TYPE_CHECKING:
    from aspenbridge.settings import ListenSettings


@attrs.frozen
class BodyLimits:
    """
    Limits on the size and the read time of request bodies.

    ``read_timeout_s`` is the base of the time limit, which grows in proportion
    to the bytes received: see ``BoundedRequest.read``.
    """

    max_body_bytes: int
    max_file_bytes: int
    read_timeout_s: float

    @classmethod
    def of(cls, settings: ListenSettings) -> BodyLimits:
        """Return the limits from the settings."""
        return cls(
            settings.max_body_bytes, settings.max_file_bytes, settings.read_timeout_s
        )


class BoundedRequest(Request[Any, Any]):
    """Reads its body under the limits in ``app.ctx.body_limits``."""

    async def receive_body(self) -> None:
        """Read the whole body, up to ``max_body_bytes``; sanic calls this."""
        if not self.body:
            self.body = await self.read(self._limits.max_body_bytes)

    async def receive_file(self) -> bytes:
        """Read and return the whole body, up to ``max_file_bytes``."""
        self.body = await self.read(self._limits.max_file_bytes)
        return self.body

    async def read(self, limit_bytes: int) -> bytes:
        """
        Read the whole body within a time limit that grows with its size.

        The limit is ``read_timeout_s`` and as much again, in proportion, for
        each ``max_body_bytes`` received.

        :raises ProblemError: when the body arrives too slowly; the stream
            raises sanic's error when it exceeds ``limit_bytes``.
        """
        stream: Any = self.stream
        stream.request_max_size = limit_bytes
        chunks: list[bytes] = []
        base_timeout_s = self._limits.read_timeout_s
        received_bytes = 0
        loop = asyncio.get_running_loop()
        started_s = loop.time()
        try:
            async with asyncio.timeout(base_timeout_s) as timeout:
                while (chunk := await stream.read()) is not None:
                    chunks.append(chunk)
                    received_bytes += len(chunk)
                    timeout_factor = 1 + received_bytes / self._limits.max_body_bytes
                    timeout.reschedule(started_s + base_timeout_s * timeout_factor)
        except TimeoutError:
            detail = f"only {received_bytes} bytes of the body arrived in time"
            raise Problem(ResultCode.BODY_TOO_SLOW, detail).error() from None
        return b"".join(chunks)

    @property
    def _limits(self) -> BodyLimits:
        limits: BodyLimits = self.app.ctx.body_limits
        return limits
