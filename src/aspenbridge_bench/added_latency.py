"""
Measures the latency that one host adds to direct calls of engines.

Each token contains the time at which its engine sent it, read from the clock
that all processes of the machine share. The caller subtracts it from the time
of arrival.
"""

from __future__ import annotations

import asyncio
import random
import re
import sys
import time
from typing import TYPE_CHECKING, Any

import attrs
import msgspec

from aspenbridge.backends import open_session
from aspenbridge.loop import listening_socket, run_on_loop
from aspenbridge.ports import EngineLoad

from ._local_fleet import MODEL, EngineProcess, LocalFleet, authorization
from ._processes import LOOPBACK, Processes, wait_listening

if TYPE_CHECKING:
    from aspenbridge.configuration import ConfigObject

FIRST_PORT = 25_100
ENGINES = 4
MAX_SEQUENCES = 512
TOKEN_INTERVAL_S = 0.2
STEP_S = 0.01
TOKENS = 60
OPENING_S = 3.0  # the time over which the streams of a run are opened
CUSTOMER = "kgotso"
REGION = "gauteng"
STREAM_COUNTS = (100, 1000)
UNSTREAMED_CALLERS = 50
UNSTREAMED_S = 5.0
NS_PER_MS = 1_000_000
CONTENT_LENGTH = re.compile(rb"content-length: *(\d+)", re.IGNORECASE)
SEND_TIME = re.compile(rb"\b\d{19}\b")
LAST_TOKEN = b'"finish_reason":"stop"'
STREAM_OK = b"HTTP/1.1 200"
STREAM_HEAD = (
    b"HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\n"
    b"transfer-encoding: chunked\r\n\r\n"
)


class StampingEngine(asyncio.Protocol):
    """Streams tokens that contain the time at which they were sent."""

    running = 0

    def connection_made(self, transport: Any) -> None:
        """Prepare for the first request."""
        self._transport = transport
        self._buffer = b""

    def data_received(self, data: bytes) -> None:
        """Respond once a whole request has arrived."""
        self._buffer += data
        head, separator, body = self._buffer.partition(b"\r\n\r\n")
        length = CONTENT_LENGTH.search(head)
        if not separator or len(body) < (int(length[1]) if length else 0):
            return
        self._buffer = b""
        if b"/v1/generate" in head:
            call = msgspec.json.decode(body)
            StampingEngine.running += 1
            self._transport.write(STREAM_HEAD)
            self._send_token(call["max_tokens"], call["max_tokens"] == 1)
        else:
            self._send_load()

    def _send_load(self) -> None:
        load = EngineLoad(
            running=StampingEngine.running,
            waiting=0,
            kv_used_tokens=0,
            kv_limit_tokens=10_000_000,
            step_s=STEP_S,
        )
        body = msgspec.json.encode(load)
        head = f"HTTP/1.1 200 OK\r\ncontent-length: {len(body)}\r\n\r\n"
        self._transport.write(head.encode() + body)

    def _send_token(self, remaining: int, last: bool) -> None:
        if self._transport.is_closing():
            StampingEngine.running -= 1
            return
        reason = b'"stop"' if last else b"null"
        event = b'data: {"text":"%019d ","tokens":1,"finish_reason":%b}\n\n' % (
            time.monotonic_ns(),
            reason,
        )
        part = b"%x\r\n%b\r\n" % (len(event), event)
        if last:
            StampingEngine.running -= 1
            self._transport.write(part + b"0\r\n\r\n")
            return
        self._transport.write(part)
        loop = asyncio.get_running_loop()
        loop.call_later(
            TOKEN_INTERVAL_S, self._send_token, remaining - 1, remaining == 2
        )


class StreamCaller(asyncio.Protocol):
    """
    Sends one request and records when each token was sent and arrived.

    :ivar arrivals: the times of arrival and of sending, in nanoseconds.
    """

    def __init__(self, request: bytes) -> None:
        self._request = request
        self._buffer = b""
        self.arrivals: list[tuple[int, int]] = []
        self.sent_ns = 0
        self.done = asyncio.get_running_loop().create_future()

    def connection_made(self, transport: Any) -> None:
        """Send the request."""
        self._transport = transport
        self.sent_ns = time.monotonic_ns()
        transport.write(self._request)

    def data_received(self, data: bytes) -> None:
        """Record the tokens of each whole event."""
        now_ns = time.monotonic_ns()
        if not self.arrivals and not data.startswith(STREAM_OK) and not self._buffer:
            self.done.set_exception(RuntimeError(f"request refused: {data[:500]!r}"))
            self._transport.close()
            return
        events, separator, self._buffer = (self._buffer + data).rpartition(b"\n\n")
        if not separator:
            return
        for sent_ns in SEND_TIME.findall(events):
            self.arrivals.append((now_ns, int(sent_ns)))
        if LAST_TOKEN in events and not self.done.done():
            self.done.set_result(None)
            self._transport.close()

    def connection_lost(self, error: Exception | None) -> None:
        """Fail the stream if it has not ended."""
        if not self.done.done():
            self.done.set_exception(ConnectionError(self._buffer[-300:]))


@attrs.frozen
class Latencies:
    """
    The latencies that the callers of one run measured.

    ``token`` is the time from the sending of a token to its arrival, ``first``
    the time from the sending of a request to its first token.
    """

    token_p50_ms: float
    token_p99_ms: float
    first_p50_ms: float
    first_p99_ms: float
    tokens_per_s: float

    @classmethod
    def of(cls, callers: list[StreamCaller], seconds: float) -> Latencies:
        """Summarise the tokens that arrived while all streams were open."""
        all_opened_ns = max(caller.sent_ns for caller in callers)
        first_closed_ns = min(caller.arrivals[-1][0] for caller in callers)
        ages = [
            (arrived_ns - sent_ns) / NS_PER_MS
            for caller in callers
            for arrived_ns, sent_ns in caller.arrivals
            if all_opened_ns <= arrived_ns <= first_closed_ns
        ]
        firsts = [
            (caller.arrivals[0][0] - caller.sent_ns) / NS_PER_MS for caller in callers
        ]
        tokens = sum(len(caller.arrivals) for caller in callers)
        return cls(
            _quantile(ages, 0.5),
            _quantile(ages, 0.99),
            _quantile(firsts, 0.5),
            _quantile(firsts, 0.99),
            round(tokens / seconds, 1),
        )


class StampingFleet(LocalFleet):
    """A fleet whose engines put the time of sending into their tokens."""

    async def start_stamping_engines(self) -> None:
        """Start the engines, each in a process of its own."""
        for number in range(1, ENGINES + 1):
            port = self.processes.next_port()
            name = f"engine-{number}"
            module = "aspenbridge_bench.added_latency"
            self.processes.start(name, module, "engine", str(port))
            self.engines.append(EngineProcess(name, REGION, port))
            await wait_listening(port)

    def _engine_object(self, engine: EngineProcess) -> ConfigObject:
        engine_object = super()._engine_object(engine)
        spec = {**engine_object.spec, "max_sequences": MAX_SEQUENCES}
        return attrs.evolve(engine_object, spec=spec)


async def open_streams(targets: list[tuple[int, bytes]]) -> Latencies:
    """
    Open a stream to each target, spread evenly over ``OPENING_S``.

    :param targets: the port and the request of each stream.
    """
    loop = asyncio.get_running_loop()
    started_s = time.monotonic()

    async def run_stream(port: int, request: bytes, delay_s: float) -> StreamCaller:
        await asyncio.sleep(delay_s)
        _, caller = await loop.create_connection(
            lambda: StreamCaller(request), LOOPBACK, port
        )
        await caller.done
        return caller

    step_s = OPENING_S / len(targets)
    callers = await asyncio.gather(
        *(
            run_stream(port, request, number * step_s)
            for number, (port, request) in enumerate(targets)
        )
    )
    return Latencies.of(list(callers), time.monotonic() - started_s)


def _quantile(values: list[float], quantile: float) -> float:
    ordered = sorted(values)
    return round(ordered[min(len(ordered) - 1, int(quantile * len(ordered)))], 3)


def _request(path: str, body: Any) -> bytes:
    encoded = msgspec.json.encode(body)
    key = authorization(CUSTOMER)["authorization"]
    head = (
        f"POST {path} HTTP/1.1\r\nhost: {LOOPBACK}\r\nauthorization: {key}\r\n"
        f"content-type: application/json\r\ncontent-length: {len(encoded)}\r\n\r\n"
    )
    return head.encode() + encoded


def _direct_targets(fleet: LocalFleet, streams: int) -> list[tuple[int, bytes]]:
    return [
        (
            fleet.engines[number % ENGINES].port,
            _request(
                "/v1/generate",
                {"attempt_id": f"{number}", "prompt": "hi", "max_tokens": TOKENS},
            ),
        )
        for number in range(streams)
    ]


def _host_targets(fleet: LocalFleet, streams: int) -> list[tuple[int, bytes]]:
    messages = [{"role": "user", "content": "hi"}]
    body = {"model": MODEL, "messages": messages, "max_tokens": TOKENS}
    request = _request("/v1/chat/completions", {**body, "stream": True})
    return [(fleet.hosts[0].http_port, request)] * streams


async def _unstreamed_requests(fleet: LocalFleet) -> dict[str, float]:
    """Return the rate of one-token chats that are not streamed."""
    host = fleet.hosts[0]
    messages = [{"role": "user", "content": "hi"}]
    body = msgspec.json.encode({"model": MODEL, "messages": messages, "max_tokens": 1})
    until_s = time.monotonic() + UNSTREAMED_S
    completed = [0]

    async def caller() -> None:
        while time.monotonic() < until_s:
            async with fleet.session.post(
                f"{host.url}/v1/chat/completions",
                data=body,
                headers=authorization(CUSTOMER),
            ) as response:
                response.raise_for_status()
                await response.read()
                completed[0] += 1

    spent_s = fleet.processes.cpu_s(host.name)
    await asyncio.gather(*(caller() for _ in range(UNSTREAMED_CALLERS)))
    spent_s = fleet.processes.cpu_s(host.name) - spent_s
    return {
        "requests_per_s": round(completed[0] / UNSTREAMED_S, 1),
        "requests_per_s_a_core": round(completed[0] / spent_s, 1),
    }


async def _compare(fleet: LocalFleet, streams: int) -> dict[str, Any]:
    name = fleet.hosts[0].name
    direct = await open_streams(_direct_targets(fleet, streams))
    spent_s = fleet.processes.cpu_s(name)
    through_task = asyncio.ensure_future(open_streams(_host_targets(fleet, streams)))
    await asyncio.sleep(OPENING_S + 1.0)
    resident_bytes = fleet.processes.resident_bytes(name)
    through = await through_task
    spent_s = fleet.processes.cpu_s(name) - spent_s
    return {
        "streams": streams,
        "direct": attrs.asdict(direct),
        "through": attrs.asdict(through),
        "added_p50_ms": round(through.token_p50_ms - direct.token_p50_ms, 3),
        "added_p99_ms": round(through.token_p99_ms - direct.token_p99_ms, 3),
        "ratio_p50": round(through.token_p50_ms / direct.token_p50_ms, 2),
        "ratio_p99": round(through.token_p99_ms / direct.token_p99_ms, 2),
        "tokens_per_s_a_core": round(streams * TOKENS / spent_s, 1),
        "resident_mb": round(resident_bytes / 1e6, 1),
    }


async def _measure(seed: int) -> int:
    random.seed(seed)
    with Processes(FIRST_PORT) as processes:
        async with open_session() as session:
            fleet = StampingFleet(processes, session, seed)
            await fleet.start_platform()
            await fleet.start_stamping_engines()
            await fleet.configure([CUSTOMER])
            await fleet.start_hosts([REGION])
            empty_bytes = processes.resident_bytes(fleet.hosts[0].name)
            report = {
                "seed": seed,
                "empty_resident_mb": round(empty_bytes / 1e6, 1),
                "runs": [await _compare(fleet, streams) for streams in STREAM_COUNTS],
                "plain": await _unstreamed_requests(fleet),
            }
    sys.stdout.buffer.write(msgspec.json.format(msgspec.json.encode(report)) + b"\n")
    return 0


async def _engine(port: int) -> int:
    loop = asyncio.get_running_loop()
    sock = listening_socket(LOOPBACK, port)
    server = await loop.create_server(StampingEngine, sock=sock)
    await server.serve_forever()
    return 0


def run() -> int:
    """Run an engine if the first argument says so, else the measurement."""
    if sys.argv[1:2] == ["engine"]:
        return run_on_loop(_engine(int(sys.argv[2])))
    seed = int(sys.argv[1]) if len(sys.argv) > 1 else 1
    return run_on_loop(_measure(seed))


if __name__ == "__main__":
    sys.exit(run())
