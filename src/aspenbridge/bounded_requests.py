"""
Connections and requests of sanic's servers that count what they hold.

Bodies are counted as they arrive, and until their request is answered. A
caller that keeps a connection open without progress loses it before others.
"""

from __future__ import annotations

import asyncio
import resource
from time import monotonic
from typing import TYPE_CHECKING, Any

import attrs
from sanic import Request
from sanic.exceptions import RequestTimeout
from sanic.http import Stage
from sanic.server.protocols.http_protocol import HttpProtocol

from aspenbridge.limits import MemoryBudget, Places, Wait, place_limit
from aspenbridge.result_codes import Problem, ResultCode

if TYPE_CHECKING:
    from sanic import Sanic
    from sanic.response import BaseHTTPResponse

# A caller that sends less in the time after which it counts as stalled makes
# no progress.
PROGRESS_BYTES = 16 * 1024
RETRY_AFTER_S = 0.2
MAX_CONNECTIONS_BYTES = 64 * 1024 * 1024  # of connections without their requests
BODIES_PER_BUDGET = 3  # since one body may take half of a budget


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


def default_connections() -> int:
    """Return how many connections the descriptors of the process allow."""
    descriptors, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    return place_limit(descriptors, MAX_CONNECTIONS_BYTES)


def bound_requests(
    app: Sanic[Any, Any],
    limits: BodyLimits,
    held_bytes: int = 0,
    max_connections: int = 0,
) -> None:
    """
    Have the connections and requests of an application count what they hold.

    The application needs ``BoundedRequest`` as its class of requests, and its
    server ``BoundedProtocol``.

    :param held_bytes: what all bodies may hold; 0 for a few of the largest.
    :param max_connections: 0 for as many as the descriptors allow.
    """
    largest_bytes = max(limits.max_body_bytes, limits.max_file_bytes)
    budget = MemoryBudget(held_bytes or BODIES_PER_BUDGET * largest_bytes)
    places = Places(budget, max_connections or default_connections(), monotonic)
    budget.on_short = places.free_memory
    app.ctx.body_limits, app.ctx.memory, app.ctx.places = limits, budget, places

    app.register_middleware(_free_body, "response")


async def _free_body(request: Request[Any, Any], _: BaseHTTPResponse) -> None:
    """Free the body of a request that is being answered."""
    protocol = _protocol_of(request)
    if protocol is not None:
        request.body = b""
        protocol.memory.shrink_to(0)


class BoundedProtocol(HttpProtocol):
    """A connection that holds a place, and what its request holds."""

    __slots__ = ("_new_bytes", "_places", "_waits_since_s", "memory")

    def __init__(self, **options: Any) -> None:
        super().__init__(**options)
        self.memory = self.app.ctx.memory.hold()
        self._places: Places = self.app.ctx.places
        self._waits_since_s = monotonic()
        self._new_bytes = 0  # since the caller last made progress

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Take a place, or close the connection if there is none."""
        super().connection_made(transport)  # type: ignore[no-untyped-call]
        if not self._places.add(self) and self.transport is not None:
            self.transport.abort()

    def connection_lost(self, exc: BaseException | None) -> None:
        """Free the place and what the request holds."""
        self._places.remove(self)
        self.memory.close()
        super().connection_lost(exc)  # type: ignore[no-untyped-call]

    def data_received(self, data: bytes) -> None:
        """Note the caller's progress."""
        self._new_bytes += len(data)
        if self._stage is Stage.IDLE or self._new_bytes >= PROGRESS_BYTES:
            self._waits_since_s, self._new_bytes = monotonic(), 0
        super().data_received(data)

    @property
    def _stage(self) -> Stage:
        return Stage.IDLE if self.http is None else self.http.stage

    @property
    def wait(self) -> Wait | None:
        """The wait for the caller, if it is its turn to send or to take."""
        if not self._can_write.is_set():
            since_s = max(self._time, self._waits_since_s)
            return Wait(since_s, between_requests=False, moving=True)
        if self._stage is Stage.IDLE:
            # Sanic notes when it has sent the last answer.
            since_s = max(self._time, self._waits_since_s)
            return Wait(since_s, between_requests=True)
        if self._stage is Stage.REQUEST:
            return Wait(self._waits_since_s, between_requests=False)
        if self.http is not None and self.http.request_body:
            return Wait(self._waits_since_s, between_requests=False, moving=True)
        return None

    def give_up(self) -> None:
        """Free at once what the connection holds, and close it."""
        self.memory.close()
        if self.transport is None:
            return
        told = self._stage in (Stage.REQUEST, Stage.HANDLER)
        if told and self.http is not None and self._can_write.is_set():
            self.http.exception = RequestTimeout("the request stalled")
            if self._task is not None:
                self._task.cancel()
        else:
            self.transport.abort()


def _protocol_of(request: Request[Any, Any]) -> BoundedProtocol | None:
    transport: Any = request.transport
    protocol = None if transport is None else transport.get_protocol()
    return protocol if isinstance(protocol, BoundedProtocol) else None


class BoundedRequest(Request[Any, Any]):
    """Reads its body under the limits of ``bound_requests``."""

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

        :raises ProblemError: when the body arrives too slowly, or no memory is
            left for it; the stream raises sanic's error when it exceeds
            ``limit_bytes``.
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
                    self._count(len(chunk), received_bytes)
                    timeout_factor = 1 + received_bytes / self._limits.max_body_bytes
                    timeout.reschedule(started_s + base_timeout_s * timeout_factor)
            return b"".join(chunks)
        except TimeoutError:
            detail = f"only {received_bytes} bytes of the body arrived in time"
            raise Problem(ResultCode.BODY_TOO_SLOW, detail).error() from None
        finally:
            chunks.clear()  # the traceback of an error would keep them

    def _count(self, size_bytes: int, received_bytes: int) -> None:
        protocol = _protocol_of(self)
        if protocol is not None and not protocol.memory.grow(size_bytes):
            detail = f"no memory is left for a body after {received_bytes} bytes"
            problem = Problem(
                ResultCode.OVERLOADED, detail, retry_after_s=RETRY_AFTER_S
            )
            raise problem.error()

    @property
    def _limits(self) -> BodyLimits:
        limits: BodyLimits = self.app.ctx.body_limits
        return limits


__all__ = [
    "BodyLimits",
    "BoundedProtocol",
    "BoundedRequest",
    "bound_requests",
]
