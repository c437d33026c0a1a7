"""Stand-ins of model engines, which register in the store as engines do."""

from __future__ import annotations

import asyncio
import contextlib
import hashlib
import time

from aiohttp import web

from fleet import HEARTBEAT_S, Port

STAMP = "X-Aspenbridge-Server-Stamp"
ATTEMPT = "X-Aspenbridge-Attempt-Id"
PLAIN_PREFIX = "/plain/"  # of requests whose answers are no streams


class Engine:
    """
    A sound engine: runs what it gets, one piece after the other.

    The data of event n of a request are "digest-n", with a digest of method,
    target and body, so that a caller can tell whose answer it has.
    """

    def __init__(self, name, store, record, *, events=20, gap_s=0.02, slots=8):
        self.name = name
        self.slots = slots
        self.events = events
        self.gap_s = gap_s
        self.runs: list[dict] = []
        self.active = 0
        self.state = "ready"
        self.service = "llm"
        self._store = store
        self._record = record
        self._beat_s = 0.0  # when the entry was last written
        self.born = int(time.time() * 1000)
        self.address = ""
        self.listed = True
        self.tasks: list[asyncio.Task] = []
        self.port = Port(self.handle)

    async def start(self, stack: contextlib.AsyncExitStack) -> None:
        """Listen on a free port and register until the stack closes."""
        self.address = await self.port.open()
        stack.callback(self.port.crash)
        beating = asyncio.create_task(self._beat())
        stack.callback(beating.cancel)
        self.register()

    def register(self) -> None:
        """Write the entry of this engine."""
        self._beat_s = time.monotonic()
        self._store.write(
            "servers",
            self.name,
            {
                "service": self.service,
                "addr": self.address,
                "zone": "puijo",
                "version": "1",
                "slots": self.slots,
                "state": self.state,
                "coldLeftMs": 0,
                "seq": 1,
                "born": self.born,
            },
        )

    async def _beat(self) -> None:
        while True:
            await asyncio.sleep(HEARTBEAT_S)
            if self.listed:
                self.register()

    async def handle(self, request: web.BaseRequest) -> web.StreamResponse:
        """Run a request, or reject it when the engine is full."""
        attempt = request.headers.get(ATTEMPT, "")
        if request.headers.get("X-Aspenbridge-Expect-Instance") != self.name:
            return web.Response(status=421, headers={ATTEMPT: attempt})
        body = await request.content.read()
        if self.active >= 4 * self.slots:
            headers = {ATTEMPT: attempt, "X-Aspenbridge-Not-Executed": "1"}
            return web.Response(status=503, headers=headers)
        run = {
            "id": attempt,
            "at_s": time.monotonic(),
            "engine": self.name,
            "target": request.raw_path,
            "after": request.headers.get("Last-Event-Id"),
            "deadline_ms": request.headers.get("X-Aspenbridge-Deadline-Ms"),
            "headers": list(request.headers.items()),
            "events": 0,
            "end": "",
        }
        self.runs.append(run)
        self._record.write(f"{self.name} runs {attempt} after {run['after']}")
        self.active += 1
        try:
            response = await self.answer(request, run, body)
            run["end"] = "complete"
            return response
        except (ConnectionError, asyncio.CancelledError):
            run["end"] = "dropped"
            raise
        finally:
            self.active -= 1
            run["ended_s"] = time.monotonic()
            self._record.write(f"{self.name} ends {attempt}: {run['end'] or 'failed'}")

    async def answer(self, request, run, body) -> web.StreamResponse:
        """Answer with the events that are due."""
        if request.path.startswith(PLAIN_PREFIX):
            return await self._answer_whole(request, run, body)
        response = web.StreamResponse(
            headers={
                ATTEMPT: run["id"],
                STAMP: f"{self.name}.{run['id']}",
                "Content-Type": "text/event-stream",
                "X-Aspenbridge-Weight-Versions": "1",
            }
        )
        response.enable_chunked_encoding()
        await response.prepare(request)
        first = 1 if run["after"] is None else int(run["after"]) + 1
        for number in range(first, self.events + 1):
            await asyncio.sleep(self.gap_s)
            text = event_text(request.method, request.raw_path, body, number)
            await response.write(f"id: {number}\ndata: {text}\n\n".encode())
            run["events"] = number
        await response.write_eof()
        return response

    async def _answer_whole(self, request, run, body) -> web.StreamResponse:
        """Answer with one body, as engines do on a route that is no stream."""
        await asyncio.sleep(self.gap_s * self.events)
        texts = whole_text(request.method, request.raw_path, body, self.events)
        headers = {ATTEMPT: run["id"], STAMP: f"{self.name}.{run['id']}"}
        return web.Response(headers=headers, text="\n".join(texts))


def event_text(method: str, target: str, body: bytes, number: int) -> str:
    """Return the data of one event of a request."""
    digest = hashlib.sha256(f"{method} {target} ".encode() + body).hexdigest()[:12]
    return f"{digest}-{number}"


def whole_text(method: str, target: str, body: bytes, events: int) -> list[str]:
    """Return the data of all events of a request."""
    return [event_text(method, target, body, n) for n in range(1, events + 1)]


class CrashingEngine(Engine):
    """
    Crashes when it begins to run a request with a certain body.

    It resets its connections, refuses new ones and renews its entry no more,
    which the store drops three heartbeats after the last renewal. After `down_s`
    it is back at its address as a new incarnation with a new id.
    """

    deadly = b""
    crashes: list[float]
    arrivals: list[tuple[float, str, str]]
    down_s = 4.0
    incarnation = 0

    async def answer(self, request, run, body) -> web.StreamResponse:
        """Stream the events that are due, or crash."""
        if body != self.deadly:
            return await super().answer(request, run, body)
        self.arrivals.append((time.monotonic(), self.name, run["id"]))
        await asyncio.sleep(self.gap_s)
        self.crash()
        raise ConnectionResetError

    def crash(self) -> None:
        """End this incarnation, and start the next one later."""
        self.crashes.append(time.monotonic())
        self._record.write(f"{self.name} crashes, crash {len(self.crashes)}")
        self.listed = False
        self.port.crash()
        loop, name = asyncio.get_running_loop(), self.name
        lapse_s = self._beat_s + 3 * HEARTBEAT_S - time.monotonic()
        loop.call_later(max(0.0, lapse_s), self._store.write, "servers", name, None)
        loop.call_later(
            self.down_s, lambda: self.tasks.append(asyncio.create_task(self._return()))
        )

    async def _return(self) -> None:
        self.incarnation += 1
        self.name = f"{self.name.partition('.')[0]}.{self.incarnation}"
        self.born = int(time.time() * 1000)
        await self.port.open()
        self.listed = True
        self.register()
        self._record.write(f"{self.name} is back")
