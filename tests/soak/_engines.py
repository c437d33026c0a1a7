"""Engine stand-ins that record the requests they run."""

from __future__ import annotations

import asyncio
import hashlib
import time
from contextlib import AsyncExitStack
from typing import TYPE_CHECKING, Self

import attrs
from aiohttp import web

from tests.support.engine_scripts import Answer, End, Framing

from ._endless import ENDLESS, send_without_end
from ._links import Link

if TYPE_CHECKING:
    from collections.abc import Callable
    from random import Random

SLOTS = 4  # requests that an engine runs at a time
QUEUE_LIMIT = 12  # requests that may wait for a slot; more are refused
EVENT_INTERVAL_S = 0.02
PAUSE_S = (0.5, 1.5)  # how long a sound engine may be silent within an answer
PAUSE_SHARE = 0.02  # of all requests, also without a fault
ONLINE_EVENTS = 12
ITEM_EVENTS = 100
LARGE_NAME = "large-"  # in the path of a request with large events
LARGE_EVENT_BYTES = 16384
CRASHING_PREFIX = "/free/crash-"  # of requests that crash engines
PART_PREFIX = "/free/part-"  # of requests with a part that crashes engines
PARTS_HEADER = "X-Aspenbridge-Prefix-Hash"
CRASHING_PART = "bad"  # how the ids of such parts begin
ATTEMPT_ID_HEADER = "X-Aspenbridge-Attempt-Id"
SERVER_STAMP_HEADER = "X-Aspenbridge-Server-Stamp"
LEAVING_HEADER = "Server-Leaving"
SILENCE_S = 2.0  # longer than a host waits for the next event
NOT_EXECUTED_HEADERS = {"X-Aspenbridge-Not-Executed": "1"}


def expected_events(path: str, body: bytes) -> list[str]:
    """Return the events that every engine generates for a request."""
    seed = hashlib.sha256(path.encode() + b"\0" + body).hexdigest()[:12]
    count = ITEM_EVENTS if path.startswith("/batch/") else ONLINE_EVENTS
    text = "." * LARGE_EVENT_BYTES if LARGE_NAME in path else ""
    return [f"{seed}-{number}{text}" for number in range(count)]


@attrs.define
class EngineRun:
    """
    A request that an engine began to run.

    :ivar ended_s: when the engine ended its work on it; None before that.
    :ivar finished: whether the engine made all of the answer.
    :ivar failed: whether it answered 500.
    :ivar crashing_part: the part of its prompt that crashes engines, if any.
    """

    request_id: str
    path: str
    engine: str
    service: str
    started_s: float = attrs.field(factory=time.monotonic)
    ended_s: float | None = None
    finished: bool = False
    failed: bool = False
    crashing_part: str = ""  # of its prompt


@attrs.define
class EngineFaults:
    """
    The probability of each fault for a request, from 0.0 to 1.0.

    A pause is silence of a sound engine.
    """

    lose_response: float = 0.0  # aborts the connection without a response
    wrong_response: float = 0.0  # responds as if to another request
    break_stream: float = 0.0  # aborts the connection after half of the events
    fail: float = 0.0  # responds with status 500
    # Ends the response in a drawn way: it may be sound and have no length, or
    # break off at any moment by a close, a reset or silence.
    draw_end: float = 0.0
    endless: float = 0.0  # sends bytes without end
    pause: float = PAUSE_SHARE


class EngineStandIn:
    """
    One incarnation of an engine, behind a link that can have faults.

    :ivar runs: the requests that were started, shared by all engines.
    :ivar marks: headers of all its answers.
    :ivar on_crash: called with the engine and the path that crashed it.
    """

    def __init__(
        self, name: str, random: Random, runs: list[EngineRun], service: str
    ) -> None:
        self.name = name
        self.service = service
        self.marks: dict[str, str] = {}
        self.started_ms = 1
        self.on_crash: Callable[[EngineStandIn, str], None] = lambda *_: None
        self.runs = runs
        self.faults = EngineFaults()
        self._random = random
        self._slots = asyncio.Semaphore(SLOTS)
        self._active = 0
        self._server = web.Server(self._handle, access_log=None)
        self._stack = AsyncExitStack()
        self.link: Link

    async def __aenter__(self) -> Self:
        loop = asyncio.get_running_loop()
        listener = await loop.create_server(self._server, "127.0.0.1", 0)
        self._stack.callback(listener.close)
        port = listener.sockets[0].getsockname()[1]
        self.link = await self._stack.enter_async_context(Link("127.0.0.1", port))
        return self

    async def __aexit__(self, *error: object) -> None:
        await self._server.shutdown(0.1)
        await self._stack.aclose()

    async def _handle(self, request: web.BaseRequest) -> web.StreamResponse:
        body = await request.read()
        request_id = request.headers.get(ATTEMPT_ID_HEADER, "")
        refusal = NOT_EXECUTED_HEADERS | {ATTEMPT_ID_HEADER: request_id} | self.marks
        if request.headers.get("X-Aspenbridge-Expect-Instance", self.name) != self.name:
            return web.Response(status=421, headers=refusal)
        if self._active >= SLOTS + QUEUE_LIMIT:
            return web.Response(status=503, headers=refusal)
        self._active += 1
        run = None
        try:
            async with self._slots:
                run = EngineRun(request_id, request.path, self.name, self.service)
                run.crashing_part = _crashing_part(request)
                self.runs.append(run)
                return await self._run(request, request_id, body, run)
        finally:
            self._active -= 1
            if run is not None:
                run.ended_s = time.monotonic()

    async def _run(
        self, request: web.BaseRequest, request_id: str, body: bytes, run: EngineRun
    ) -> web.StreamResponse:
        headers = {ATTEMPT_ID_HEADER: request_id, SERVER_STAMP_HEADER: self.name}
        headers |= self.marks
        if self._draw_fault(self.faults.fail):
            run.failed = True
            return web.Response(status=500, headers=headers)
        if request.path.startswith(CRASHING_PREFIX) or run.crashing_part:
            await asyncio.sleep(EVENT_INTERVAL_S)
            self.on_crash(self, run.crashing_part or request.path)
            return self._abort_connection(request)
        events = expected_events(request.path, body)
        if self._draw_fault(self.faults.wrong_response):
            headers[ATTEMPT_ID_HEADER], events = (
                "f" * 16,
                ["of another request"] * len(events),
            )
        first = int(request.headers.get("Last-Event-Id", -1)) + 1
        if self._draw_fault(self.faults.draw_end):
            run.finished = True  # all may arrive, whatever end is drawn
            return await self._respond_with_drawn_end(
                request, request_id, events, first
            )
        if self._draw_fault(self.faults.endless):
            return await self._respond_without_end(request, request_id)
        response = await self._stream(request, headers, events, first)
        run.finished = response.status == 200
        return response

    async def _stream(
        self,
        request: web.BaseRequest,
        headers: dict[str, str],
        events: list[str],
        first: int,
    ) -> web.StreamResponse:
        response = web.StreamResponse(
            headers=headers | {"Content-Type": "text/event-stream"}
        )
        response.enable_chunked_encoding()
        if self._draw_fault(self.faults.lose_response):
            await asyncio.sleep(EVENT_INTERVAL_S)
            return self._abort_connection(request)
        pauses = self._draw_pauses(first, len(events))
        await asyncio.sleep(pauses.get(-1, 0.0))
        await response.prepare(request)
        breaks = self._draw_fault(self.faults.break_stream)
        for number in range(first, len(events)):
            await asyncio.sleep(pauses.get(number, 0.0))
            await asyncio.sleep(EVENT_INTERVAL_S)
            if breaks and number == len(events) // 2:
                return self._abort_connection(request)
            await response.write(_encode_events(events, number, number + 1))
        return response

    async def _respond_with_drawn_end(
        self, request: web.BaseRequest, request_id: str, events: list[str], first: int
    ) -> web.StreamResponse:
        """Send all or a part of a response and end the connection."""
        draw = self._random
        framing = draw.choice((*Framing, Framing.NONE, Framing.NONE))
        end = draw.choice((*End, End.CLOSE, End.RESET_BEHIND_DATA))
        stop = draw.randint(first, len(events))
        body, sent = (_encode_events(events, first, n) for n in (len(events), stop))
        parts: list[dict[str, int]] = [
            {},
            {"head_bytes": draw.randint(1, 100)},
            {"sent_bytes": 0},
            {"sent_bytes": min(len(sent) + draw.randint(1, 10), len(body))},
            {"sent_bytes": len(sent)},
        ]
        part = draw.choice(parts)
        if framing is Framing.NONE and end is End.CLOSE and part == parts[-1]:
            part = {}  # a close between two events looks like the end
        data = Answer(body, framing, end, **part).encode(request_id, None)
        transport = request.transport
        if transport is None:
            return web.Response()
        transport.write(data[: len(data) // 2])
        await asyncio.sleep(EVENT_INTERVAL_S * draw.randint(0, len(events) - first))
        if end is not End.CLOSE:
            behind_data = end is End.RESET_BEHIND_DATA
            port = transport.get_extra_info("peername")[1]
            self.link.reset_after_end(port, behind_data=behind_data)
        transport.write(data[len(data) // 2 :])
        if end is End.SILENCE:
            await asyncio.sleep(SILENCE_S)
        transport.close()
        return web.Response()

    async def _respond_without_end(
        self, request: web.BaseRequest, request_id: str
    ) -> web.StreamResponse:
        transport = request.transport
        if transport is None:
            return web.Response()
        answer, slow = self._random.choice(ENDLESS), self._draw_fault(0.3)
        port = transport.get_extra_info("peername")[1]
        self.link.reset_after_end(port, behind_data=False)
        await send_without_end(transport, answer, request_id, slow=slow)
        transport.close()
        return web.Response()

    def _draw_pauses(self, first: int, stop: int) -> dict[int, float]:
        """Draw a silence before an event, or before the head (-1)."""
        if not self._draw_fault(self.faults.pause):
            return {}
        place = self._random.choice((-1, self._random.randint(first, stop)))
        return {place: self._random.uniform(*PAUSE_S)}

    def _draw_fault(self, share: float) -> bool:
        return self._random.random() < share

    def _abort_connection(self, request: web.BaseRequest) -> web.StreamResponse:
        if request.transport is not None:
            request.transport.abort()
        return web.Response(status=500)


def _crashing_part(request: web.BaseRequest) -> str:
    """Return the shared part of a prompt that crashes engines, if any."""
    entries = request.headers.get(PARTS_HEADER, "").split(",")[:-1]
    ids = [entry.partition(":")[0] for entry in entries]
    return next((part for part in ids if part.startswith(CRASHING_PART)), "")


def _encode_events(events: list[str], first: int, stop: int) -> bytes:
    numbers = range(first, stop)
    return b"".join(f"id: {n}\ndata: {events[n]}\n\n".encode() for n in numbers)
