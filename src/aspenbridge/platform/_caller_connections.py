"""Connections of callers that answer each request they have read."""

from __future__ import annotations

import asyncio
from collections import deque
from typing import Any

from aiohttp import HttpVersion11, web

from aspenbridge.result_codes import Problem, ResultCode

from ._counted_connections import (
    BodyError,
    CountedConnection,
    CountingServer,
    no_memory_problem,
)
from ._departures import DepartureWatch

CONNECTION = "Connection"
CLOSE = "close"
# The server's own limit lies above any that an operator configures, by a
# factor of four.
MAX_BODY_BYTES = 16 * 1024 * 1024


class CallerConnection(CountedConnection):
    """
    A connection that closes only when it has answered what it has read.

    aiohttp's own one drops the requests behind a response after which it
    closes, and all requests of a caller that ends its side of the connection.
    """

    __slots__ = ("_arrivals_s", "_departure_watch", "close_announced")

    def __init__(self, *args: Any, **options: Any) -> None:
        super().__init__(*args, **options)
        # Whether the caller was told that no other response follows.
        self.close_announced = False
        # When the heads came that are not handled yet, by the loop's clock.
        self._arrivals_s: deque[float] = deque()
        # Set once the caller has ended its side of the connection.
        self._departure_watch: DepartureWatch | None = None

    def _parse(self, data: bytes) -> None:
        """Parse bytes; note when each head of a request is complete."""
        known = self._request_count
        super()._parse(data)
        arrived = self._request_count - known
        self._arrivals_s.extend([self._loop.time()] * arrived)

    def eof_received(self) -> bool:  # type: ignore[override]
        """
        Keep the connection for responses to requests that were read whole.

        :return: whether the event loop leaves it open.
        """
        if self._departure_watch is not None:
            return True
        if self.transport is None or self._last_request is None or self.all_answered:
            return False
        if self._body_open or self._discarding:
            return False
        self._departure_watch = DepartureWatch(
            self.transport, self._loop, self._may_probe
        )
        return True

    def connection_lost(self, exc: BaseException | None) -> None:
        """Cancel the request that is handled."""
        if self._departure_watch is not None:
            self._departure_watch.stop()
        super().connection_lost(exc)

    def _may_probe(self) -> bool:
        """Whether an interim response would stand between two responses."""
        assert self._last_request is not None
        request = self._current_request
        if getattr(self._last_request[0], "version", None) != HttpVersion11:
            return False
        if request is None:
            return not self._request_in_progress
        return request.writer.output_size == 0

    def take_age_s(self) -> float:
        """Return for how long the request that is now handled has waited."""
        now_s = self._loop.time()
        return now_s - (self._arrivals_s.popleft() if self._arrivals_s else now_s)

    @property
    def has_next(self) -> bool:
        """Whether another request was read behind the one that is handled."""
        return bool(self._messages)

    @property
    def idle(self) -> bool:
        """Whether each request that was read has been answered."""
        waiting = self._waiter is not None and not self._waiter.done()
        return waiting and not self._messages

    def announce_close(self, response: web.StreamResponse) -> None:
        """
        Have the caller send its next request on another connection.

        Has no effect if the next request has already been read here.
        """
        if not self._messages:
            response.headers[CONNECTION] = CLOSE

    async def finish_response(
        self,
        request: web.BaseRequest,
        resp: web.StreamResponse,
        start_time: float | None,
    ) -> tuple[web.StreamResponse, bool]:
        """Complete a response, and close after the last one."""
        finished = await super().finish_response(request, resp, start_time)
        if resp.headers.get(CONNECTION) == CLOSE:
            self.close_announced = True
            # The rest of a body is read first: to close before it has come
            # would reset the connection and lose the response.
            if not self._messages and request.content.is_eof():
                self.close()
        if self._departure_watch is not None and self.all_answered:
            self.close()
        return finished


class CallerServer(CountingServer):
    """Accepts the connections of callers."""

    connection_class = CallerConnection


def connection_of(request: web.BaseRequest) -> CallerConnection:
    """Return the connection on which a caller's request came."""
    connection = request.protocol
    assert isinstance(connection, CallerConnection)
    return connection


async def read_body(
    request: web.BaseRequest, idle_limit_s: float, max_bytes: int
) -> bytes:
    """
    Return the body of a caller's request, which its connection counts.

    :param idle_limit_s: how long each part may take to come, in seconds.
    :raises BodyError: when a part takes longer, the body has more than
        ``max_bytes``, or the connection refuses to hold more of it.
    """
    body = bytearray()
    try:
        while True:
            known_bytes = len(body)
            async with asyncio.timeout(idle_limit_s):
                body += await request.content.readany()
            if len(body) > max_bytes:
                raise _too_large(max_bytes)
            if len(body) == known_bytes:
                return bytes(body)
    except TimeoutError as error:
        detail = f"the body stalled after {len(body)} bytes"
        raise BodyError(Problem(ResultCode.BODY_TOO_SLOW, detail)) from error
    finally:
        body.clear()  # the traceback of an error would keep it


def check_announced(request: web.BaseRequest, max_bytes: int) -> None:
    """
    Check the length that a caller announces.

    :raises BodyError: when it is too large, or too large for now.
    """
    connection = connection_of(request)
    if connection.refusal is not None and not connection.has_next:
        raise BodyError(connection.refusal)
    length = request.content_length or 0
    if length > max_bytes:
        raise _too_large(max_bytes)
    missing_bytes = length - request.content.total_bytes
    if missing_bytes > 0 and not connection.memory.fits(missing_bytes):
        raise BodyError(no_memory_problem(f"a body with {length} bytes"))


def _too_large(max_bytes: int) -> BodyError:
    detail = f"body has more than {max_bytes} bytes"
    return BodyError(Problem(ResultCode.TOO_LARGE, detail))
