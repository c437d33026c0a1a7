"""Servers that send bytes without end, over real sockets."""

from __future__ import annotations

import asyncio
import random
import time

import msgspec
import pytest
from aiohttp import web
from returns.result import Failure, Success

from aspenbridge.backends import (
    HttpEngines,
    HttpObjects,
    HttpServices,
    open_session,
)
from aspenbridge.client_connections import InvalidAnswerError, read_body
from aspenbridge.clock import SystemClock
from aspenbridge.fleet import LoadExchange, LoadView
from aspenbridge.fleet._exchange import LoadReport
from aspenbridge.jobs._item_run import (
    ANSWER_LIMIT_S,
    EVENT_GAP_LIMIT_S,
    MAX_ITEM_BYTES,
    ItemOutcome,
    run_item,
)
from aspenbridge.jobs._messages import SubmittedItem
from aspenbridge.jobs._owned import ItemState
from aspenbridge.limits import MemoryBudget
from aspenbridge.loop import NumericAddressLoop
from aspenbridge.platform._connections import open_engine_session, open_store_session
from aspenbridge.platform._engine_calls import HttpEngineCaller
from aspenbridge.platform._store import MAX_REPLY_BYTES, StoreClient
from aspenbridge.ports import (
    AttemptError,
    CallOutcome,
    Engine,
    EngineFailure,
    Put,
    RelayedCall,
    RowKey,
    ServiceCall,
    ServiceFailure,
    Transaction,
)
from aspenbridge.relay import EventSplitter, read_chunks, read_events
from aspenbridge.relay._events import MAX_EVENT_BYTES, EventError
from aspenbridge.relay._reading import MAX_WHOLE_BODY_BYTES, read_whole
from tests.support.endless_answers import (
    BODIES,
    FRAMINGS,
    HEADS,
    WHOLE,
    Endless,
    EndlessServer,
    head,
)
from tests.support.entry_fleet import MemoryDatagrams, make_engine
from tests.support.virtual_loop import run_virtual

ADDRESS = ("10.0.1.1", 7000)
MAX_OLDER_REPLY_BYTES = 64 * 1024 * 1024
# What the kernel may hold of a connection that the host does not read.
KERNEL_BYTES = 7 * 1024 * 1024
FAST_LIMIT_S = 2.0  # for a call whose server sends as fast as it can
CALL_LIMIT_S = 5.0
# For a run of an item: its limits for a head and for the first event, and one
# second more.
ITEM_LIMIT_S = ANSWER_LIMIT_S + EVENT_GAP_LIMIT_S + 1.0
TEST_LIMIT_S = 20.0


def run(coroutine):
    with asyncio.Runner(loop_factory=NumericAddressLoop) as runner:
        return runner.run(asyncio.wait_for(coroutine, TEST_LIMIT_S))


async def call_engine(caller, port, clock):
    """Read an answer as the host does; return why it failed."""
    call = RelayedCall(
        request_id="r1",
        method="POST",
        target="/a",
        host="a.example",
        headers=(),
        body=b"q",
        deadline_s=clock.now_s() + CALL_LIMIT_S,
    )
    try:
        answer = await caller.open("e1", f"127.0.0.1:{port}", call, call.deadline_s)
        try:
            chunks = read_chunks(answer, lambda: call.deadline_s - clock.now_s())
            if answer.head.streams:
                async for _ in read_events(answer.head, chunks, EventSplitter()):
                    pass
            else:
                await read_whole(answer.head, chunks, MemoryBudget().hold())
        finally:
            answer.close()
    except AttemptError as error:
        return error
    return None


@pytest.mark.parametrize("endless", [*HEADS, *FRAMINGS, *BODIES], ids=str)
def test_endless_answer_of_an_engine_is_refused_after_bounded_bytes(endless):
    async def check():
        clock = SystemClock()
        async with EndlessServer(endless) as server, open_engine_session() as session:
            caller = HttpEngineCaller(session, clock)
            started_s = time.monotonic()
            error = await call_engine(caller, server.port, clock)
            return error, time.monotonic() - started_s, server.sent_bytes

    error, duration_s, sent_bytes = run(check())
    assert error is not None
    assert error.outcome is CallOutcome.BROKEN
    assert not error.connection_lost, error.reason
    assert len(error.reason) <= 300
    assert duration_s < FAST_LIMIT_S, error.reason
    assert sent_bytes < MAX_WHOLE_BODY_BYTES + KERNEL_BYTES


def split_bytes(count: int) -> float:
    """Return the processor time for an event that comes byte by byte."""
    splitter = EventSplitter()
    pieces = [b"x"] * count
    started_s = time.process_time()
    for piece in pieces:
        splitter.feed(piece)
    return time.process_time() - started_s


def test_cost_of_an_event_that_comes_byte_by_byte_grows_with_its_bytes():
    short_s = min(split_bytes(7_500) for _ in range(3))
    long_s = min(split_bytes(60_000) for _ in range(3))
    # Eight times the bytes; a cost by the square would be 64 times as high.
    assert long_s < 20 * short_s


@pytest.mark.parametrize("whole", [False, True])
def test_event_is_read_up_to_its_bound_also_when_it_comes_at_once(whole):
    event = b"id: 0\ndata: " + b"x" * (MAX_EVENT_BYTES - 12)
    splitter = EventSplitter()
    assert splitter.feed(event) == []
    if whole:
        assert len(splitter.feed(b"\n\n")) == 1
    else:
        with pytest.raises(EventError, match="no event in"):
            splitter.feed(b"x")


def test_body_whose_framing_can_not_be_parsed_fails_without_a_wait():
    async def check():
        clock = SystemClock()
        answer = Endless("", head(), b"z")
        async with (
            EndlessServer(answer, slow=True) as server,
            open_engine_session() as session,
        ):
            started_s = time.monotonic()
            caller = HttpEngineCaller(session, clock)
            error = await call_engine(caller, server.port, clock)
            return error, time.monotonic() - started_s

    error, duration_s = run(check())
    assert "body can't be parsed" in error.reason
    assert not error.connection_lost
    assert duration_s < FAST_LIMIT_S


async def run_item_at(port, clock, state, number=0):
    """Run an item on an engine; return the result and its duration."""
    async with open_engine_session() as session:
        started_s = time.monotonic()
        item = SubmittedItem("r1", f"/batch/{number}", (), b"q")
        result = await run_item(
            HttpEngineCaller(session, clock),
            clock,
            make_engine("e1", ip="127.0.0.1", port=port),
            "a.example",
            item,
            state,
            clock.now_s() + 60.0,
        )
        return result, time.monotonic() - started_s


def test_trickle_without_an_event_does_not_hold_an_item_until_its_job_expires():
    kinds = [*HEADS, *FRAMINGS, *BODIES]

    async def check():
        async with EndlessServer(*kinds, slow=True) as server:
            clock, states = SystemClock(), [ItemState(n) for n in range(len(kinds))]
            runs = [
                run_item_at(server.port, clock, state, number)
                for number, state in enumerate(states)
            ]
            return await asyncio.gather(*runs)

    held = [
        (kind.name, run.reason, duration_s)
        for kind, (run, duration_s) in zip(kinds, run(check()), strict=True)
        if run.outcome is not ItemOutcome.INTERRUPTED or duration_s > ITEM_LIMIT_S
    ]
    assert held == []


class ValidEvents:
    """Sends valid events as fast as the host takes them."""

    def __init__(self, data: bytes) -> None:
        self._data = data
        self.sent_events = 0

    async def answer(self, request):
        await request.read()
        response = web.StreamResponse(
            headers={
                "X-Aspenbridge-Attempt-Id": request.headers["X-Aspenbridge-Attempt-Id"],
                "X-Aspenbridge-Server-Stamp": "s",
                "Content-Type": "text/event-stream",
            }
        )
        await response.prepare(request)
        number = int(request.headers.get("Last-Event-Id", -1)) + 1
        while True:
            numbers = range(number, number + 500)
            events = [b"id: %d\ndata: %b\n\n" % (n, self._data) for n in numbers]
            await response.write(b"".join(events))
            await asyncio.sleep(0.001)
            self.sent_events += len(numbers)
            number = numbers.stop


@pytest.mark.parametrize("data", [b"", b"x" * 2000])
def test_item_with_events_without_end_starts_anew_and_holds_bounded_bytes(data):
    async def check():
        loop, engine = asyncio.get_running_loop(), ValidEvents(data)
        server = web.Server(engine.answer)
        listener = await loop.create_server(server, "127.0.0.1", 0)
        port = listener.sockets[0].getsockname()[1]
        state = ItemState(0, ["before"] * 3, last_event_id=2)
        result = await run_item_at(port, SystemClock(), state)
        listener.close()
        await server.shutdown(0.1)
        return result, state, engine.sent_events

    (result, duration_s), state, sent_events = run(check())
    assert result.outcome is ItemOutcome.INTERRUPTED
    assert "events of the item" in result.reason
    assert (state.events, state.last_event_id, state.failures) == ([], None, 0)
    assert duration_s < FAST_LIMIT_S
    assert sent_events * len(data) < MAX_ITEM_BYTES + KERNEL_BYTES


STORE_CALLS = {
    "rows": lambda store: store.rows("0"),
    "changes": lambda store: store.changes("t", 0, 0.1),
    "parts": lambda store: store.parts("t"),
    "write": lambda store: store.transact(
        Transaction(puts=(Put(RowKey("t", "k"), b""),))
    ),
    "object": lambda store: store.get("0"),
}


def call_store(name, answer, *, slow=False):
    """Return the result of a call, its duration and what the store sent."""

    async def check():
        async with (
            EndlessServer(answer, slow=slow) as server,
            open_store_session() as session,
        ):
            store = StoreClient(session, f"127.0.0.1:{server.port}")
            started_s = time.monotonic()
            result = await STORE_CALLS[name](store)
            return result, time.monotonic() - started_s, server.sent_bytes

    return run(check())


@pytest.mark.parametrize("name", STORE_CALLS)
@pytest.mark.parametrize(
    "endless", [*HEADS, *FRAMINGS, Endless("body", head(WHOLE, ""), b"x")], ids=str
)
def test_endless_reply_of_the_store_is_a_failed_call(endless, name):
    result, duration_s, sent_bytes = call_store(name, endless)
    assert isinstance(result, Failure)
    assert result.failure().maybe_applied
    assert 0 < len(result.failure().reason) <= 300
    assert duration_s < FAST_LIMIT_S
    assert sent_bytes < MAX_REPLY_BYTES + KERNEL_BYTES


@pytest.mark.parametrize("name", ["rows", "changes", "parts", "write"])
@pytest.mark.parametrize(
    "body", [b"[]", b"null", b'{"rows":5}', b'{"rows":[{}],"ver":1}', b"[" * 100_000]
)
def test_reply_of_another_form_is_a_failed_call(body, name):
    length = f"Content-Length: {len(body)}\r\n"
    result, _, _ = call_store(name, Endless("", head(WHOLE, length) + body, b"\r\n"))
    if name == "write" and b"ver" in body:
        assert isinstance(result, Success)
    else:
        assert isinstance(result, Failure)
        assert 0 < len(result.failure().reason) <= 300


OLDER_CALLS = {
    "object": lambda session, port: HttpObjects(
        session, f"127.0.0.1:{port}", CALL_LIMIT_S
    ).get("0"),
    "service": lambda session, port: HttpServices(session, SystemClock()).call(
        ServiceCall(f"127.0.0.1:{port}", "GET", "/0", b"", "c"),
        SystemClock().now_s() + CALL_LIMIT_S,
    ),
    "engine load": lambda session, port: HttpEngines(session).load(
        Engine("e1", f"127.0.0.1:{port}", "a", "a-1", "m", "1")
    ),
}


@pytest.mark.parametrize("name", OLDER_CALLS)
def test_endless_reply_to_the_older_program_is_a_failed_call(name):
    async def check():
        answer = Endless("", head(WHOLE, ""), b"x")
        async with EndlessServer(answer) as server, open_session() as session:
            try:
                result = await OLDER_CALLS[name](session, server.port)
            except (EngineFailure, ServiceFailure) as error:
                result = error
            return result, server.sent_bytes

    result, sent_bytes = run(check())
    assert "InvalidAnswerError" in str(result)
    assert sent_bytes < MAX_OLDER_REPLY_BYTES + KERNEL_BYTES


@pytest.mark.parametrize("open_client_session", [open_store_session, open_session])
def test_kept_connection_is_closed_when_more_bytes_follow_an_answer(
    open_client_session,
):
    async def check():
        answer = Endless("", head(WHOLE, "Content-Length: 2\r\n") + b"ok", b"\r\n")
        async with EndlessServer(answer) as server, open_client_session() as session:
            async with session.get(f"http://127.0.0.1:{server.port}/") as response:
                body = await read_body(response, 2)
            await asyncio.sleep(0.3)
            return body, server.open_connections

    assert run(check()) == (b"ok", 0)


@pytest.mark.parametrize("open_client_session", [open_store_session, open_session])
def test_body_beyond_its_bound_is_an_error_and_closes_its_connection(
    open_client_session,
):
    async def check():
        answer = Endless("", head(WHOLE, ""), b"x")
        async with EndlessServer(answer) as server, open_client_session() as session:
            async with session.get(f"http://127.0.0.1:{server.port}/") as response:
                with pytest.raises(InvalidAnswerError):
                    await read_body(response, MAX_WHOLE_BODY_BYTES)
            await asyncio.sleep(0.1)
            return server.open_connections, server.sent_bytes

    connections, sent_bytes = run(check())
    assert connections == 0
    assert sent_bytes < MAX_WHOLE_BODY_BYTES + KERNEL_BYTES


@pytest.mark.parametrize("rest", [b": c\n\n", b"x" * (MAX_EVENT_BYTES + 1)])
def test_event_that_comes_with_invalid_bytes_is_not_skipped_by_a_resume(rest):
    splitter = EventSplitter(3)
    with pytest.raises(EventError):
        splitter.feed(b"id: 4\ndata: t\n\n" + rest)
    assert splitter.last_id == 3


def test_load_report_of_nested_arrays_without_end_is_dropped():
    async def check(clock):
        exchange = LoadExchange(
            "h0",
            ADDRESS,
            "a-1",
            LoadView(clock),
            dict,
            MemoryDatagrams(),
            clock,
            random.Random(1),
        )
        heard = []
        exchange.on_heartbeat = lambda host, age_s: heard.append("report")
        fields = LoadReport("h1", 1, [], 0, 0.0, 0.0)
        encoded = msgspec.msgpack.encode(fields)
        nested = bytes([encoded[0] + 1]) + encoded[1:] + b"\x91" * 60_000
        exchange.receive(nested, ADDRESS)
        exchange.receive(encoded, ADDRESS)
        return heard

    assert run_virtual(check) == ["report"]
