"""A model engine: runs requests on its slots and registers in the store."""

from __future__ import annotations

import asyncio
import socket
import struct
from collections.abc import Callable
from typing import TYPE_CHECKING

from aiohttp import web

if TYPE_CHECKING:
    from .record import Record
    from .store import Store

HEARTBEAT_S = 1.2
SILENT_HEARTBEATS = 3
QUEUE_LENGTH = 24
PLAIN_PREFIX, PLAIN_S = "/plain/", 3.0  # answers without events
HEADER_BYTES = 32 * 1024  # more than callers may send
ATTEMPT_ID = "X-Aspenbridge-Attempt-Id"
RESET_ON_CLOSE = struct.pack("ii", 1, 0)


def plain_events(request_id: str) -> list[str]:
    """Return the data of the events of an answer."""
    return [f"{request_id}-{number}" for number in range(30)]


class Engine:
    """
    One engine.

    :param events: returns the data of all events of a request, by its id.
    :param loses_answer: whether the connection of a request is reset after the
        request has run, called with the number of the run.
    :param prefill_s: how long a prompt of so many tokens is read.
    """

    def __init__(
        self,
        name: str,
        service: str,
        ip: str,
        store: Store,
        record: Record,
        *,
        zone: str = "jhb-a",
        slots: int = 8,
        event_s: float = 0.02,
        events: Callable[[str], list[str]] = plain_events,
        loses_answer: Callable[[int], bool] = lambda number: False,
        prefill_s: Callable[[int], float] = lambda tokens: 0.0,
    ) -> None:
        self.name = name
        self.running: dict[str, int] = {}  # requests that run now
        self.runs: list[tuple[float, str]] = []  # time and id of each run
        self._service, self._ip, self._zone = service, ip, zone
        self._store, self._record = store, record
        self._slots_count, self._event_s = slots, event_s
        self._events, self._loses_answer = events, loses_answer
        self._prefill_s = prefill_s
        self._slots = asyncio.Semaphore(slots)
        self._waiting = 0
        self._sequence = 0
        self._port = 0  # any, until it has one
        self._born_ms = 1_700_000_000_000
        self._beats: asyncio.Task[None] | None = None
        self._server = web.Server(
            self._handle,
            handler_cancellation=True,
            access_log=None,
            max_line_size=HEADER_BYTES,
            max_field_size=HEADER_BYTES,
        )

    def long_runs(self) -> int:
        """Return how many requests of the kind "long" run now."""
        return sum(n for name, n in self.running.items() if name.startswith("long"))

    async def start(self) -> None:
        """Listen on a free port and register."""
        loop = asyncio.get_running_loop()
        self._listener = await loop.create_server(
            self._server, self._ip, self._port, reuse_address=True
        )
        self._port = self._listener.sockets[0].getsockname()[1]
        self._born_ms += 1
        self._beats = asyncio.create_task(self._beat())

    async def crash(self, down_s: float) -> None:
        """End without notice, and start again some seconds later."""
        self._end()
        self._record.line("engine crashes", engine=self.name, down_s=down_s)
        listed_s = min(down_s, SILENT_HEARTBEATS * HEARTBEAT_S)
        await asyncio.sleep(listed_s)
        self._store.write("servers", self.name, None)
        await asyncio.sleep(down_s - listed_s)
        await self.start()
        self._record.line("engine is back", engine=self.name)

    def _end(self) -> None:
        assert self._beats is not None
        self._beats.cancel()
        self._listener.close()
        for connection in list(self._server.connections):
            _reset(connection.transport)
            connection.force_close()

    async def lose(self) -> None:
        """End without notice; the entry goes after some silent heartbeats."""
        self._end()
        self._record.line("engine lost", engine=self.name)
        await asyncio.sleep(SILENT_HEARTBEATS * HEARTBEAT_S)
        self._store.write("servers", self.name, None)
        self._record.line("entry removed", engine=self.name)

    async def _beat(self) -> None:
        while True:
            self._sequence += 1
            self._store.write_json("servers", self.name, self._entry())
            await asyncio.sleep(HEARTBEAT_S)

    def _entry(self) -> dict[str, object]:
        return {
            "service": self._service,
            "addr": f"{self._ip}:{self._port}",
            "zone": self._zone,
            "version": 1,
            "slots": self._slots_count,
            "state": "ready",
            "coldLeftMs": 0,
            "seq": self._sequence,
            "born": self._born_ms,
        }

    async def _handle(self, request: web.BaseRequest) -> web.StreamResponse:
        headers = {ATTEMPT_ID: request.headers.get(ATTEMPT_ID, "")}
        if request.path == "/healthz":
            headers = {"X-Aspenbridge-Instance-Id": self.name}
            return web.Response(headers=headers)
        await request.read()
        not_run = headers | {"X-Aspenbridge-Not-Executed": "1"}
        if request.headers.get("X-Aspenbridge-Expect-Instance") != self.name:
            return web.Response(status=421, headers=not_run)
        if self._waiting >= QUEUE_LENGTH:
            return web.Response(status=503, headers=not_run)
        self._waiting += 1
        try:
            await self._slots.acquire()
        finally:
            self._waiting -= 1
        try:
            return await self._run(request, headers)
        finally:
            self._slots.release()

    async def _run(
        self, request: web.BaseRequest, headers: dict[str, str]
    ) -> web.StreamResponse:
        request_id = headers[ATTEMPT_ID]
        self.runs.append((self._record.now_s(), request_id))
        number = len(self.runs)
        after = request.headers.get("Last-Event-Id")
        self._record.line(
            "run", engine=self.name, id=request_id, method=request.method, after=after
        )
        self.running[request_id] = self.running.get(request_id, 0) + 1
        time_left_ms = float(request.headers.get("X-Aspenbridge-Deadline-Ms", "60000"))
        try:
            async with asyncio.timeout(time_left_ms / 1000):
                return await self._answer(request, headers, number, after)
        except TimeoutError:
            self._record.line("deadline", engine=self.name, id=request_id)
            _reset(request.transport)
            return web.Response()
        finally:
            self.running[request_id] -= 1

    async def _answer(
        self,
        request: web.BaseRequest,
        headers: dict[str, str],
        number: int,
        after: str | None,
    ) -> web.StreamResponse:
        if self._loses_answer(number):
            await asyncio.sleep(self._event_s)
            self._record.line("answer lost", engine=self.name, id=headers[ATTEMPT_ID])
            _reset(request.transport)
            return web.Response()
        headers = headers | {
            "X-Aspenbridge-Server-Stamp": f"{self.name}.{number}",
            "Content-Type": "text/event-stream",
        }
        if request.path.startswith(PLAIN_PREFIX):
            await asyncio.sleep(PLAIN_S)
            self._record.line("run ends", engine=self.name, id=headers[ATTEMPT_ID])
            plain = headers | {"Content-Type": "application/octet-stream"}
            return web.Response(body=b"answer", headers=plain)
        response = web.StreamResponse(headers=headers)
        response.enable_chunked_encoding()
        await response.prepare(request)
        first = 0 if after is None else int(after) + 1
        data = self._events(headers[ATTEMPT_ID])
        tokens = request.headers.get("X-Aspenbridge-Token-Count", "0").partition(",")[0]
        await asyncio.sleep(self._prefill_s(int(tokens)))
        for event in range(first, len(data)):
            await asyncio.sleep(self._event_s)
            await response.write(f"id: {event}\ndata: {data[event]}\n\n".encode())
        await response.write_eof()
        self._record.line("run ends", engine=self.name, id=headers[ATTEMPT_ID])
        return response


def _reset(transport: asyncio.BaseTransport | None) -> None:
    if transport is not None:
        sock = transport.get_extra_info("socket")
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
        transport.abort()
