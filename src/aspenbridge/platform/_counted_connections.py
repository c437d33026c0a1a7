"""Connections whose places and bytes count against the machine of a host."""

from __future__ import annotations

import asyncio
from collections import deque
from itertools import islice
from typing import TYPE_CHECKING, Any

from aiohttp import web
from aiohttp.http import RawRequestMessage

from aspenbridge.limits import Wait
from aspenbridge.observability import log_decision
from aspenbridge.result_codes import Problem, ResultCode

from ._problems import problem_bytes

if TYPE_CHECKING:
    from collections.abc import Callable

    from aiohttp import StreamReader

    from aspenbridge.limits import MemoryBudget, Places

# What a caller may send besides the payload of one request: its head and the
# framing of its chunks. Framing may take twice the payload, since a chunk may
# hold a few bytes only.
MAX_OVERHEAD_BYTES = 64 * 1024
MAX_OVERHEAD_SHARE = 2
# Of the bytes that arrive together, so many are parsed before the limits are
# checked again.
PARSED_BYTES = 16 * 1024
# What a request takes besides its head and body: its tasks, its answer's head
# and a connection to an engine.
REQUEST_BYTES = 24 * 1024
# A parsed head is kept as bytes and as text, and so is each of its fields.
HEAD_FACTOR = 3
# Of each piece of a body besides its bytes; a few come with any body.
PIECE_BYTES = 128
MIN_PIECES = 32
WRITE_BUFFER_BYTES = 16 * 1024
# A body of this size is written apart from its head, which it would otherwise
# be copied behind.
LARGE_BODY_BYTES = 64 * 1024
# What waits in the buffers for a caller that takes no answer, here and in the
# connection to the engine that goes on sending.
UNTAKEN_BYTES = 192 * 1024
# A caller that sends or takes less in ``STALLED_S`` makes no progress.
PROGRESS_BYTES = 16 * 1024
RETRY_ELSEWHERE_S = 0.02  # short, since the retry goes to another host
# What a caller may go on sending after its request was refused, so that it
# can read why: the rest of a body within the usual limit.
MAX_DISCARDED_BYTES = 4 * 1024 * 1024
DISCARD_LIMIT_S = 2.0


class BodyError(Exception):
    """
    The body of a request is not read to its end.

    :ivar problem: what the caller is told.
    """

    def __init__(self, problem: Problem) -> None:
        super().__init__(problem.detail)
        self.problem = problem


def no_memory_problem(what: str) -> Problem:
    """Return the refusal of a request for which no memory is left."""
    return Problem(
        ResultCode.OVERLOADED,
        f"no memory is left for {what}",
        retry_after_s=RETRY_ELSEWHERE_S,
    )


class CountedConnection(web.RequestHandler):
    """
    A connection that holds a place, and what it holds in memory.

    Bytes are counted when they have arrived and until the request that they
    belong to is answered and the answer is taken.

    A caller that sends bytes without end that are neither a head nor payload
    gets its connection closed. What follows bytes that are no request is not
    read.

    :param places: the places that the connections of its port share.
    :param take_limit_s: returns how long a caller may take nothing of an
        answer, in seconds.
    :ivar memory: what the connection and its requests hold.
    :ivar refusal: why the last request that came is not served, if so.
    """

    __slots__ = (
        "_body",
        "_charges",
        "_discarded",
        "_discarded_bytes",
        "_discarding",
        "_finished_responses",
        "_given_up",
        "_last_request",
        "_overhead_bytes",
        "_partial_charge",
        "_payload_bytes",
        "_piece_charge",
        "_places",
        "_progress_payload_bytes",
        "_take_check",
        "_take_limit_s",
        "_untaken_bytes",
        "_waits_since_s",
        "memory",
        "refusal",
    )

    def __init__(
        self,
        *args: Any,
        places: Places,
        budget: MemoryBudget,
        take_limit_s: Callable[[], float],
        **options: Any,
    ) -> None:
        super().__init__(*args, **options)
        self._places = places
        self._take_limit_s = take_limit_s
        self.memory = budget.hold()
        self.refusal: Problem | None = None
        self._finished_responses = 0
        # The head that was read last, and the body behind it.
        self._last_request: tuple[object, StreamReader] | None = None
        # What has come since the last head, besides and in its body.
        self._overhead_bytes = 0
        self._payload_bytes = 0
        # What each request that is not answered holds, and the begun head.
        self._charges: deque[int] = deque()
        self._partial_charge = 0
        self._piece_charge = 0
        # When the wait for the caller began, or it last made progress.
        self._waits_since_s = self._loop.time()
        self._progress_payload_bytes = 0
        self._untaken_bytes = 0
        self._take_check: asyncio.TimerHandle | None = None
        # Whether what still comes is dropped, and what is set once that ends.
        self._discarding = False
        self._discarded_bytes = 0
        self._discarded = asyncio.Event()
        self._given_up = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Take a place, or close the connection if there is none."""
        super().connection_made(transport)
        assert self.transport is not None
        self.transport.set_write_buffer_limits(high=WRITE_BUFFER_BYTES)
        if not self._places.add(self):
            self.transport.abort()

    def connection_lost(self, exc: BaseException | None) -> None:
        """Free the place, and cancel the request that is handled."""
        self._places.remove(self)
        self.memory.close()
        self._discarding = True  # so that nothing is counted any more
        self._discarded.set()
        self._stop_take_check()
        super().connection_lost(exc)
        # Requests refer to their connection, and it would keep their bytes
        # until the garbage collector finds both.
        self._messages.clear()
        self._drop_buffer()
        self._last_request = None

    def data_received(self, data: bytes) -> None:
        """Parse received bytes; without any, go on with those held back."""
        start = 0
        while not (self._invalid or self.transport is None):
            if self._discarding:
                self._discard(len(data) - start)
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
        """Parse bytes, and count what they add to the open requests."""
        known, was_open = self._request_count, self._body_open
        super().data_received(data)
        arrived = self._request_count - known
        if self._last_request is not None:
            self._count_payload(self._last_request[1])
        if arrived and self._messages:
            self._count_requests(arrived)
        else:
            self._overhead_bytes += len(data)
            if not was_open:
                self._count_partial_head(len(data))
        if not self._held_back:  # else some bytes are not parsed yet
            self._check_overhead()

    @property
    def _body_open(self) -> bool:
        """Whether more of the last request's body is to come."""
        return self._last_request is not None and not self._last_request[1].is_eof()

    def _count_payload(self, body: StreamReader) -> None:
        """Count what has come of the last request's body."""
        new_bytes = body.total_bytes - self._payload_bytes
        self._payload_bytes += new_bytes
        self._overhead_bytes = max(0, self._overhead_bytes - new_bytes)
        if self._payload_bytes - self._progress_payload_bytes >= PROGRESS_BYTES:
            self._progress_payload_bytes = self._payload_bytes
            self._waits_since_s = self._loop.time()
        if self._charges and new_bytes:
            self._charge(new_bytes)
        self._count_pieces(len(_pieces(body)))

    def _count_pieces(self, pieces: int) -> None:
        """Count what the pieces of a body take that nobody has read yet."""
        charge = PIECE_BYTES * pieces if pieces > MIN_PIECES else 0
        if charge > self._piece_charge and not self._discarding:
            if not self.memory.grow(charge - self._piece_charge):
                self.refuse(no_memory_problem(f"a body in {pieces} pieces"))
                return
            self._piece_charge = charge
        elif charge < self._piece_charge:
            self.memory.shrink(self._piece_charge - charge)
            self._piece_charge = charge

    def _count_requests(self, arrived: int) -> None:
        """Count the requests whose heads have just come."""
        self.memory.shrink(self._partial_charge)
        self._partial_charge = self._overhead_bytes = 0
        self._waits_since_s = self._loop.time()
        first = len(self._messages) - arrived
        for message, body in islice(self._messages, first, None):
            self._last_request = message, body
            self._payload_bytes = self._progress_payload_bytes = body.total_bytes
            self._charges.append(0)
            if self._invalid:
                _drop_traceback(message)
            head_bytes = HEAD_FACTOR * _head_bytes(message)
            self._charge(REQUEST_BYTES + head_bytes + self._payload_bytes)

    def _count_partial_head(self, size_bytes: int) -> None:
        if not self._partial_charge:
            self._waits_since_s = self._loop.time()
        charge = HEAD_FACTOR * size_bytes
        if self.memory.grow(charge):
            self._partial_charge += charge
        else:
            self.refuse(no_memory_problem("the head of a request"))

    def _charge(self, size_bytes: int) -> None:
        """Count bytes for the last request, or refuse it."""
        if self._discarding:
            return
        if self.memory.grow(size_bytes):
            self._charges[-1] += size_bytes
        else:
            what = f"a request after {self._payload_bytes} bytes of its body"
            self.refuse(no_memory_problem(what))

    def refuse(self, problem: Problem) -> None:
        """Refuse the request that comes last, and read no more."""
        self.refusal = problem
        self.drop_rest()
        if not self.all_answered:
            if self._last_request is not None and self._body_open:
                self._last_request[1].set_exception(BodyError(problem))
        elif self.transport is not None:
            log_decision(
                "begun request refused",
                code=problem.code.name.lower(),
                reason=problem.detail,
                retry_after_s=problem.retry_after_s,
            )
            self.transport.write(problem_bytes(problem))
            self.force_close()

    def _drop_buffer(self) -> None:
        """Drop what has come of a body that nobody reads any more."""
        if self._last_request is not None:
            _pieces(self._last_request[1]).clear()

    def drop_rest(self) -> None:
        """Drop the rest of a request that is refused."""
        if not self._discarding:
            self._discarding = True
            self._waits_since_s = self._loop.time()
            # Reading may have been paused until the body is read.
            self._buffer_paused = False
            self.resume_reading(resume_parser=False)

    def _discard(self, size_bytes: int) -> None:
        self._discarded_bytes += size_bytes
        if self._discarded_bytes > MAX_DISCARDED_BYTES:
            self._discarded.set()

    def _check_overhead(self) -> None:
        """Close the connection if too little of what has come is payload."""
        limit_bytes = MAX_OVERHEAD_BYTES + MAX_OVERHEAD_SHARE * self._payload_bytes
        if self._overhead_bytes > limit_bytes:
            log_decision(
                "caller sent no request",
                overhead_bytes=self._overhead_bytes,
                payload_bytes=self._payload_bytes,
            )
            if self.transport is not None:
                self.transport.abort()

    def pause_writing(self) -> None:
        """Count what the caller has not taken, and watch whether it does."""
        super().pause_writing()
        assert self.transport is not None
        self._untaken_bytes = self.transport.get_write_buffer_size()
        self._waits_since_s = self._loop.time()
        if self.memory.reserve(UNTAKEN_BYTES):
            self._take_check = self._loop.call_later(
                self._take_limit_s(), self._check_taking
            )
        else:
            # Not at once, since the transport is in the middle of a write.
            self._loop.call_soon(self.give_up)

    def resume_writing(self) -> None:
        """Go on, since the caller has taken most of what was written."""
        if self._take_check is not None:
            self.memory.shrink(UNTAKEN_BYTES)
        self._stop_take_check()
        super().resume_writing()

    def _check_taking(self) -> None:
        limit_s = self._take_limit_s()
        wait = self.wait
        if wait is None or self._loop.time() - wait.since_s >= limit_s:
            self.give_up()
            return
        self._take_check = self._loop.call_later(limit_s, self._check_taking)

    def _stop_take_check(self) -> None:
        if self._take_check is not None:
            self._take_check.cancel()
            self._take_check = None

    @property
    def all_answered(self) -> bool:
        """Whether each request whose head was read has been answered."""
        return self._finished_responses == self._request_count

    @property
    def wait(self) -> Wait | None:
        """The wait for the caller, if it is its turn to send or to take."""
        if self._paused and self.transport is not None:
            untaken_bytes = self.transport.get_write_buffer_size()
            if untaken_bytes <= self._untaken_bytes - PROGRESS_BYTES:
                self._untaken_bytes = untaken_bytes
                self._waits_since_s = self._loop.time()
            return Wait(self._waits_since_s, between_requests=False, moving=True)
        if self._discarding or self._body_open:
            return Wait(self._waits_since_s, between_requests=False, moving=True)
        if not self.all_answered:
            return None
        unused = not self._finished_responses
        begun = self._partial_charge > 0
        return Wait(self._waits_since_s, between_requests=not (unused or begun))

    def give_up(self) -> None:
        """Free at once what the connection holds, and close it."""
        if self.transport is None or self._given_up:
            return
        self._given_up = True
        self.memory.close()
        if self._paused or self._discarding or not self._may_be_told:
            self.transport.abort()
            return
        detail = f"the request stalled after {self._payload_bytes} bytes of its body"
        self.refuse(
            Problem(ResultCode.BODY_TOO_SLOW, detail, retry_after_s=RETRY_ELSEWHERE_S)
        )

    @property
    def _may_be_told(self) -> bool:
        """Whether the next response is to a request that is not whole."""
        if self._body_open:
            return self._request_count - self._finished_responses == 1
        return self._partial_charge > 0 and self.all_answered

    async def finish_response(
        self,
        request: web.BaseRequest,
        resp: web.StreamResponse,
        start_time: float | None,
    ) -> tuple[web.StreamResponse, bool]:
        """Complete a response, and wait until the caller has taken it."""
        if isinstance(resp, web.Response):
            await send_large_head(request, resp, resp.content_length or 0)
        finished = await super().finish_response(request, resp, start_time)
        if isinstance(resp, web.Response):
            resp.body = None  # aiohttp keeps the response until the next one
        await self._drain_helper()
        self._finished_responses += 1
        self._waits_since_s = self._loop.time()
        if self._charges:
            self._charges.popleft()
        self.memory.shrink_to(sum(self._charges) + self._partial_charge)
        self._piece_charge = 0
        if self._discarding and not self._messages:
            await self._discard_rest()
        return finished

    async def _discard_rest(self) -> None:
        """
        Drop what the caller still sends after its request was refused.

        To close before all of it has come would reset the connection and lose
        the response.
        """
        self._lingering_time = 0.0  # of aiohttp, which would read the body
        self._drop_buffer()
        transport = self.transport
        if transport is None or transport.is_closing():
            return
        if self._body_open and not self._given_up:
            transport.write_eof()
            try:
                async with asyncio.timeout(DISCARD_LIMIT_S):
                    await self._discarded.wait()
            except TimeoutError:
                log_decision("caller goes on after a refusal")
        self.close()


async def send_large_head(
    request: web.BaseRequest, response: web.StreamResponse, body_bytes: int
) -> None:
    """Send the head of a response now if its body is large."""
    if body_bytes > LARGE_BODY_BYTES:
        writer = await response.prepare(request)
        if writer is not None:
            writer.send_headers()


def _pieces(body: StreamReader) -> deque[bytes]:
    """Return the pieces of a body that wait to be read."""
    pieces: deque[bytes] = getattr(body, "_buffer", None) or deque()
    return pieces


def _drop_traceback(message: Any) -> None:
    """
    Drop the frames to which the error of a message that is no request refers.

    They refer to the error in turn, and would keep their connection and its
    bytes until the garbage collector finds them.
    """
    error: BaseException | None = message.exc
    while error is not None:
        error.__traceback__ = None
        error = error.__context__


def _head_bytes(message: Any) -> int:
    """Return the size of a parsed head; 0 of one that can't be parsed."""
    fields = getattr(message, "raw_headers", ())
    size_bytes = len(getattr(message, "path", ""))
    return size_bytes + sum(len(name) + len(value) for name, value in fields)


class CountingServer(web.Server):
    """Accepts connections that count against the machine of a host."""

    connection_class: type[CountedConnection] = CountedConnection

    def __call__(self) -> CountedConnection:
        """Return the protocol of a new connection."""
        return self.connection_class(self, loop=self._loop, **self._kwargs)
