"""Connections of callers that answer each request they have read."""

from __future__ import annotations

import asyncio
from collections import deque
from typing import TYPE_CHECKING, Any

from aiohttp import HttpVersion11, web
from aiohttp.http import RawRequestMessage

from aspenbridge.observability import log_decision
from aspenbridge.result_codes import Problem, ResultCode

from ._departures import DepartureWatch

if TYPE_CHECKING:
    from aiohttp import StreamReader

    from aspenbridge.limits import HeldMemory

CONNECTION = "Connection"
CLOSE = "close"
# The server's own limit lies above any that an operator configures, by a
# factor of four.
MAX_BODY_BYTES = 16 * 1024 * 1024
# What a caller may send besides the payload of one request: its head and the
# framing of its chunks. Framing may take twice the payload, since a chunk may
# hold a few bytes only.
MAX_OVERHEAD_BYTES = 64 * 1024
MAX_OVERHEAD_SHARE = 2
# Of the bytes that arrive together, so many are parsed before the limits are
# checked again.
PARSED_BYTES = 16 * 1024
RETRY_ELSEWHERE_S = 0.02  # short, since the retry goes to another host


class BodyError(Exception):
    """
    The body of a request is not read to its end.

    :ivar problem: what the caller is told.
    """

    def __init__(self, code: ResultCode, detail: str, **options: Any) -> None:
        super().__init__(detail)
        self.problem = Problem(code, detail, **options)


class CallerConnection(web.RequestHandler):
    """
    A connection that closes only when it has answered what it has read.

    aiohttp's own one drops the requests behind a response after which it
    closes, and all requests of a caller that ends its side of the connection.

    A caller that sends bytes without end that are neither a head nor payload
    gets its connection closed. What follows bytes that are no request is not
    read.
    """

    __slots__ = (
        "_arrivals_s",
        "_departure_watch",
        "_finished_responses",
        "_last_request",
        "_overhead_bytes",
        "_payload_bytes",
        "close_announced",
        "drops_body",
    )

    def __init__(self, *args: Any, **options: Any) -> None:
        super().__init__(*args, **options)
        # Whether the caller was told that no other response follows.
        self.close_announced = False
        # Whether the rest of a body that was refused is not read.
        self.drops_body = False
        # When the heads came that are not handled yet, by the loop's clock.
        self._arrivals_s: deque[float] = deque()
        self._finished_responses = 0
        # The head that was read last, and the body behind it.
        self._last_request: tuple[object, StreamReader] | None = None
        # What has come since the last head, besides and in its body.
        self._overhead_bytes = 0
        self._payload_bytes = 0
        # Set once the caller has ended its side of the connection.
        self._departure_watch: DepartureWatch | None = None

    def data_received(self, data: bytes) -> None:
        """Parse received bytes; without any, go on with those held back."""
        start = 0
        while True:
            if self._invalid or self.transport is None:
                break
            # What comes while reading is paused is held back in one piece.
            end = len(data) if self._held_back else start + PARSED_BYTES
            self._parse(data[start:end])
            start = end
            if start >= len(data):
                break
        # The traceback of a parser's error would keep it until the garbage
        # collector finds the error.
        del data

    @property
    def _held_back(self) -> bool:
        return self._reading_paused or self._buffer_paused

    @property
    def _invalid(self) -> bool:
        """Whether bytes have come that are no request."""
        request = self._last_request
        return request is not None and not isinstance(request[0], RawRequestMessage)

    def _parse(self, data: bytes) -> None:
        """Parse bytes; note when each head of a request is complete."""
        known = self._request_count
        super().data_received(data)
        arrived = self._request_count - known
        self._arrivals_s.extend([self._loop.time()] * arrived)
        if arrived and self._messages:
            self._last_request = self._messages[-1]
            self._overhead_bytes = self._payload_bytes = 0
        else:
            self._overhead_bytes += len(data)
        if not self._held_back:  # else some bytes are not parsed yet
            self._check_overhead()

    def _check_overhead(self) -> None:
        """Close the connection if too little of what has come is payload."""
        if self._last_request is not None:
            body = self._last_request[1]
            new_payload_bytes = body.total_bytes - self._payload_bytes
            self._payload_bytes += new_payload_bytes
            self._overhead_bytes = max(0, self._overhead_bytes - new_payload_bytes)
            limit_bytes = MAX_OVERHEAD_BYTES + MAX_OVERHEAD_SHARE * self._payload_bytes
        else:
            limit_bytes = MAX_OVERHEAD_BYTES
        if self._overhead_bytes > limit_bytes:
            log_decision(
                "caller sent no request",
                overhead_bytes=self._overhead_bytes,
                payload_bytes=self._payload_bytes,
            )
            self.force_close()

    def eof_received(self) -> bool:  # type: ignore[override]
        """
        Keep the connection for responses to requests that were read whole.

        :return: whether the event loop leaves it open.
        """
        if self._departure_watch is not None:
            return True
        if self.transport is None or self._last_request is None or self._all_answered:
            return False
        if not self._last_request[1].is_eof():
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

    @property
    def _all_answered(self) -> bool:
        return self._finished_responses == self._request_count

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
            complete = self.drops_body or request.content.is_eof()
            if not self._messages and complete:
                self.close()
        self._finished_responses += 1
        if self._departure_watch is not None and self._all_answered:
            self.close()
        return finished


class CallerServer(web.Server):
    """Accepts the connections of callers."""

    def __call__(self) -> CallerConnection:
        """Return the protocol of a new connection."""
        return CallerConnection(self, loop=self._loop, **self._kwargs)


def connection_of(request: web.BaseRequest) -> CallerConnection:
    """Return the connection on which a caller's request came."""
    connection = request.protocol
    assert isinstance(connection, CallerConnection)
    return connection


async def read_body(
    request: web.BaseRequest, idle_limit_s: float, max_bytes: int, memory: HeldMemory
) -> bytes:
    """
    Return the body of a caller's request.

    :param idle_limit_s: how long each part may take to come, in seconds.
    :param memory: what the body holds.
    :raises BodyError: when a part takes longer, the body has more than
        ``max_bytes`` or ``memory`` can't grow any more.
    """
    body = bytearray()
    while True:
        try:
            async with asyncio.timeout(idle_limit_s):
                part = await request.content.readany()
        except TimeoutError as error:
            detail = f"the body stalled after {len(body)} bytes"
            raise BodyError(ResultCode.BODY_TOO_SLOW, detail) from error
        body += part
        if len(body) > max_bytes:
            detail = f"body has more than {max_bytes} bytes"
            raise BodyError(ResultCode.TOO_LARGE, detail)
        if not memory.grow(len(part)):
            detail = f"no memory is left for a body with {len(body)} bytes"
            raise BodyError(
                ResultCode.OVERLOADED, detail, retry_after_s=RETRY_ELSEWHERE_S
            )
        if not part:
            return bytes(body)
