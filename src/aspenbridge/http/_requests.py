"""A request whose body is bounded in size and in time."""

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
    """How large and how slow a body may be."""

    max_body_bytes: int
    max_file_bytes: int
    read_timeout_s: float

    @classmethod
    def of(cls, settings: ListenSettings) -> BodyLimits:
        """Return the limits that the settings name."""
        return cls(
            settings.max_body_bytes, settings.max_file_bytes, settings.read_timeout_s
        )


class BoundedRequest(Request[Any, Any]):
    """Reads its body under the limits in ``app.ctx.body_limits``."""

    async def receive_body(self) -> None:
        """Read the whole body of an ordinary request."""
        if not self.body:
            self.body = await self.read(self._limits.max_body_bytes)

    async def receive_file(self) -> bytes:
        """Read and return the whole body of an upload."""
        self.body = await self.read(self._limits.max_file_bytes)
        return self.body

    async def read(self, limit_bytes: int) -> bytes:
        """
        Read the body; each ``max_body_bytes`` of it has the read timeout.

        :raises ProblemError: when it is too large or comes too slowly.
        """
        stream: Any = self.stream
        stream.request_max_size = limit_bytes
        parts: list[bytes] = []
        step_s = self._limits.read_timeout_s
        size_bytes = 0
        loop = asyncio.get_running_loop()
        started_s = loop.time()
        try:
            async with asyncio.timeout(step_s) as timeout:
                while (part := await stream.read()) is not None:
                    parts.append(part)
                    size_bytes += len(part)
                    steps = 1 + size_bytes / self._limits.max_body_bytes
                    timeout.reschedule(started_s + step_s * steps)
        except TimeoutError:
            detail = f"{size_bytes} bytes of the body came in time"
            raise Problem(ResultCode.BODY_TOO_SLOW, detail).error() from None
        return b"".join(parts)

    @property
    def _limits(self) -> BodyLimits:
        limits: BodyLimits = self.app.ctx.body_limits
        return limits
