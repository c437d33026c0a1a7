"""Stand-ins of engines, and what they have seen."""

from __future__ import annotations

import asyncio
import hashlib
import time
from contextlib import AsyncExitStack
from typing import TYPE_CHECKING, Self

import attrs
from aiohttp import web

from ._links import Link

if TYPE_CHECKING:
    from random import Random

PLACES = 8
QUEUE = 24
EVENT_S = 0.02
ONLINE_EVENTS = 12
ITEM_EVENTS = 100
ID = "X-Aspenbridge-Attempt-Id"
STAMP = "X-Aspenbridge-Server-Stamp"
NOT_RUN = {"X-Aspenbridge-Not-Executed": "1"}


def text_of(path: str, body: bytes) -> list[str]:
    """Return the events that any engine generates for a request."""
    seed = hashlib.sha256(path.encode() + b"\0" + body).hexdigest()[:12]
    count = ITEM_EVENTS if path.startswith("/batch/") else ONLINE_EVENTS
    return [f"{seed}-{number}" for number in range(count)]


@attrs.define
class Run:
    """A request that an engine began."""

    request_id: str
    path: str
    engine: str
    started_s: float


@attrs.define
class EngineFaults:
    """Shares of the requests that go wrong."""

    lose_answer: float = 0.0
    wrong_answer: float = 0.0
    break_off: float = 0.0
    fail: float = 0.0


class EngineStandIn:
    """One incarnation of an engine."""

    def __init__(self, name: str, random: Random, runs: list[Run]) -> None:
        self.name = name
        self.runs = runs
        self.faults = EngineFaults()
        self._random = random
        self._places = asyncio.Semaphore(PLACES)
        self._taken = 0
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
        request_id = request.headers.get(ID, "")
        if request.headers.get("X-Aspenbridge-Expect-Instance", self.name) != self.name:
            return web.Response(status=421, headers=NOT_RUN)
        if self._taken >= PLACES + QUEUE:
            return web.Response(status=503, headers=NOT_RUN)
        self._taken += 1
        try:
            async with self._places:
                return await self._run(request, request_id, body)
        finally:
            self._taken -= 1

    async def _run(
        self, request: web.BaseRequest, request_id: str, body: bytes
    ) -> web.StreamResponse:
        now_s = time.monotonic()
        self.runs.append(Run(request_id, request.path, self.name, now_s))
        headers = {ID: request_id, STAMP: self.name}
        if self._happens(self.faults.fail):
            return web.Response(status=500, headers=headers)
        events = text_of(request.path, body)
        if self._happens(self.faults.wrong_answer):
            headers[ID], events = "f" * 16, ["of another request"] * len(events)
        response = web.StreamResponse(
            headers=headers | {"Content-Type": "text/event-stream"}
        )
        response.enable_chunked_encoding()
        if self._happens(self.faults.lose_answer):
            await asyncio.sleep(EVENT_S)
            return self._cut(request)
        await response.prepare(request)
        first = int(request.headers.get("Last-Event-Id", -1)) + 1
        breaks = self._happens(self.faults.break_off)
        for number in range(first, len(events)):
            await asyncio.sleep(EVENT_S)
            if breaks and number == len(events) // 2:
                return self._cut(request)
            event = f"id: {number}\ndata: {events[number]}\n\n"
            await response.write(event.encode())
        return response

    def _happens(self, share: float) -> bool:
        return self._random.random() < share

    def _cut(self, request: web.BaseRequest) -> web.StreamResponse:
        if request.transport is not None:
            request.transport.abort()
        return web.Response(status=500)
