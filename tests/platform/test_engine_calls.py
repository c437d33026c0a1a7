"""Responses of engines over real sockets on loopback."""

from __future__ import annotations

import asyncio
import socket
import struct
from contextlib import AsyncExitStack, asynccontextmanager

import pytest

from aspenbridge.clock import SystemClock
from aspenbridge.loop import NumericAddressLoop
from aspenbridge.platform._connections import open_engine_session
from aspenbridge.platform._engine_calls import HttpEngineCaller, end_to_end_headers
from aspenbridge.ports import AttemptError, BodyEnd, CallOutcome, RelayedCall

STAMP_HEADER = "X-Aspenbridge-Server-Stamp: s\r\n"
OWN_HEADERS = "X-Aspenbridge-Attempt-Id: r1\r\n" + STAMP_HEADER
LINGER_ON_ZERO_S = struct.pack("ii", 1, 0)  # closing the socket resets the connection
CHUNKED_STREAM_HEADERS = (
    "Transfer-Encoding: chunked\r\nContent-Type: text/event-stream\r\n"
)


def run_on_loop(coroutine):
    with asyncio.Runner(loop_factory=NumericAddressLoop) as runner:
        return runner.run(coroutine)


@asynccontextmanager
async def engine(answer: str, *, reset: bool = False):
    """Answer each request with fixed bytes, then close or reset."""
    requests: list[bytes] = []

    async def serve(reader, writer):
        head = await reader.readuntil(b"\r\n\r\n")
        requests.append(head + await reader.readexactly(4))
        writer.write(answer.encode())
        await writer.drain()
        if reset:
            await asyncio.sleep(0.05)  # so that the client reads the response first
            sock = writer.get_extra_info("socket")
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, LINGER_ON_ZERO_S)
        writer.close()

    server = await asyncio.start_server(serve, "127.0.0.1", 0)
    port = server.sockets[0].getsockname()[1]
    try:
        yield f"127.0.0.1:{port}", requests
    finally:
        server.close()


def make_call(**changes) -> RelayedCall:
    fields = {
        "request_id": "r1",
        "method": "POST",
        "target": "/a/../b%2fc//d?x=%20y",
        "host": "a.example",
        "headers": (("Accept", "x"), ("Connection", "Drop-Me"), ("Drop-Me", "1")),
        "body": b"body",
        "deadline_s": SystemClock().now_s() + 5,
    }
    return RelayedCall(**(fields | changes))


async def read_whole(engine_response) -> bytes:
    parts = []
    while part := await engine_response.read():
        parts.append(part)
    return b"".join(parts)


async def call_engine(answer: str, call: RelayedCall | None = None, **options):
    async with (
        engine(answer, **options) as (address, requests),
        open_engine_session() as session,
    ):
        clock = SystemClock()
        caller = HttpEngineCaller(session, clock)
        engine_response = await caller.open(
            "i-1", address, call or make_call(), clock.now_s() + 5
        )
        try:
            body = await read_whole(engine_response)
        finally:
            engine_response.close()
        return engine_response.head, body, requests


@pytest.mark.parametrize("target", ["/a/x?", "/a/x??", "/a/x?y=%2f&z", "//b/c?d=a:b"])
def test_target_reaches_the_engine_as_its_caller_wrote_it(target):
    answer = f"HTTP/1.1 200 OK\r\n{OWN_HEADERS}Content-Length: 2\r\n\r\nok"
    _, _, requests = run_on_loop(call_engine(answer, make_call(target=target)))
    assert requests[0].startswith(f"POST {target} HTTP/1.1\r\n".encode())


def test_request_reaches_the_engine_unchanged():
    answer = f"HTTP/1.1 200 OK\r\n{OWN_HEADERS}Content-Length: 2\r\n\r\nok"
    head, body, requests = run_on_loop(call_engine(answer))
    assert (head.status, body) == (200, b"ok")
    lines = requests[0].decode().split("\r\n")
    assert lines[0] == "POST /a/../b%2fc//d?x=%20y HTTP/1.1"
    assert lines[-1] == "body"
    names = {line.partition(":")[0] for line in lines[1:-2]}
    assert names == {
        "Host",
        "Accept",
        "X-Aspenbridge-Attempt-Id",
        "X-Aspenbridge-Deadline-Ms",
        "X-Aspenbridge-Expect-Instance",
        "Content-Length",
        "Connection",
    }


@pytest.mark.parametrize(
    "answer",
    [
        f"HTTP/1.1 200 OK\r\nX-Aspenbridge-Attempt-Id: r2\r\n{STAMP_HEADER}\r\n",
        f"HTTP/1.1 200 OK\r\n{STAMP_HEADER}Content-Length: 2\r\n\r\nok",
        "HTTP/1.1 200 OK\r\nX-Aspenbridge-Attempt-Id: r1\r\n\r\nok",
        f"HTTP/1.1 200 OK\r\n{OWN_HEADERS}Content-Encoding: gzip\r\n\r\nok",
        "no answer at all\r\n\r\n",
        "HTTP/1.1 2",
        "",
    ],
)
def test_response_that_is_not_to_this_request_is_broken(answer):
    with pytest.raises(AttemptError) as caught:
        run_on_loop(call_engine(answer))
    assert caught.value.outcome is CallOutcome.BROKEN


@pytest.mark.parametrize(
    "head",
    [
        "HTTP/1.1 503 Busy\r\nX-Aspenbridge-Not-Executed: 1\r\n",
        "HTTP/1.1 421 Misdirected\r\nX-Aspenbridge-Instance-Id: i-2\r\n",
        "HTTP/1.1 429 Slow\r\nX-Aspenbridge-Not-Executed: 1\r\n",
    ],
)
# Without the id of the request it may be a refusal of an earlier one: "not
# run" would be said of a request that the engine has run.
@pytest.mark.parametrize(
    ("id_header", "outcome"),
    [
        ("X-Aspenbridge-Attempt-Id: r1\r\n", CallOutcome.REFUSED),
        ("X-Aspenbridge-Attempt-Id: r0\r\n", CallOutcome.BROKEN),
        ("X-Aspenbridge-Attempt-Id: \r\n", CallOutcome.BROKEN),
        ("", CallOutcome.BROKEN),
    ],
)
def test_refusal_is_believed_only_with_the_id_of_the_request(head, id_header, outcome):
    with pytest.raises(AttemptError) as caught:
        run_on_loop(call_engine(f"{head}{id_header}Content-Length: 0\r\n\r\n"))
    assert caught.value.outcome is outcome
    assert not caught.value.engine_leaves


# Guards against the same of an engine that says in it that it leaves.
@pytest.mark.parametrize(
    ("request_id", "leaves"), [("r1", True), ("r0", False), ("", False)]
)
def test_refusal_of_another_request_does_not_tell_that_an_engine_leaves(
    request_id, leaves
):
    head = (
        "HTTP/1.1 503 Busy\r\nX-Aspenbridge-Not-Executed: 1\r\n"
        f"X-Aspenbridge-Attempt-Id: {request_id}\r\n"
        "X-Aspenbridge-Server-Leaving: 1\r\nContent-Length: 0\r\n\r\n"
    )
    with pytest.raises(AttemptError) as caught:
        run_on_loop(call_engine(head))
    assert caught.value.engine_leaves is leaves


@pytest.mark.parametrize(
    ("answer", "options"),
    [
        (f"HTTP/1.1 200 OK\r\n{OWN_HEADERS}Content-Length: 9\r\n\r\nok", {}),
        (
            f"HTTP/1.1 200 OK\r\n{OWN_HEADERS}{CHUNKED_STREAM_HEADERS}\r\n2\r\nok\r\n",
            {},
        ),
        (f"HTTP/1.1 200 OK\r\n{OWN_HEADERS}{CHUNKED_STREAM_HEADERS}\r\nzz\r\n", {}),
        (f"HTTP/1.1 200 OK\r\n{OWN_HEADERS}\r\nok", {"reset": True}),
    ],
)
def test_response_body_that_breaks_off_is_broken(answer, options):
    with pytest.raises(AttemptError) as caught:
        run_on_loop(call_engine(answer, **options))
    assert caught.value.outcome is CallOutcome.BROKEN


def test_response_without_a_length_ends_when_the_connection_closes():
    _, body, _ = run_on_loop(call_engine(f"HTTP/1.1 200 OK\r\n{OWN_HEADERS}\r\nok"))
    assert body == b"ok"


@pytest.mark.parametrize(
    ("framing", "body", "body_end"),
    [
        ("Content-Length: 2\r\n", "ok", BodyEnd.LENGTH),
        ("Transfer-Encoding: chunked\r\n", "2\r\nok\r\n0\r\n\r\n", BodyEnd.CHUNKS),
        ("", "ok", BodyEnd.CONNECTION),
    ],
)
def test_head_tells_what_marks_the_end_of_the_body(framing, body, body_end):
    answer = f"HTTP/1.1 200 OK\r\n{OWN_HEADERS}{framing}\r\n{body}"
    head, received, _ = run_on_loop(call_engine(answer))
    assert (head.body_end, received) == (body_end, b"ok")


LEAVING_HEADERS = ("Server-Leaving: 1\r\n", "X-Aspenbridge-Server-Leaving: 1\r\n")
NOT_EXECUTED = "X-Aspenbridge-Not-Executed: 1\r\n"
EMPTY = "Content-Length: 0\r\n\r\n"


@pytest.mark.parametrize("leaving", LEAVING_HEADERS)
@pytest.mark.parametrize("status", [200, 422, 500])
def test_answer_tells_that_its_engine_leaves(status, leaving):
    answer = f"HTTP/1.1 {status} Status\r\n{OWN_HEADERS}{leaving}{EMPTY}"
    assert run_on_loop(call_engine(answer))[0].engine_leaves


@pytest.mark.parametrize("leaving", ["", "Server-Leaving: 0\r\n"])
def test_answer_of_an_engine_that_stays_does_not_tell_that_it_leaves(leaving):
    answer = f"HTTP/1.1 200 OK\r\n{OWN_HEADERS}{leaving}{EMPTY}"
    assert not run_on_loop(call_engine(answer))[0].engine_leaves


@pytest.mark.parametrize("leaving", LEAVING_HEADERS)
@pytest.mark.parametrize(
    "head",
    [
        f"HTTP/1.1 503 Busy\r\nX-Aspenbridge-Attempt-Id: r1\r\n{NOT_EXECUTED}",
        f"HTTP/1.1 429 Slow\r\n{NOT_EXECUTED}X-Aspenbridge-Attempt-Id: r1\r\n",
    ],
)
def test_refusal_tells_that_its_engine_leaves(head, leaving):
    with pytest.raises(AttemptError) as caught:
        run_on_loop(call_engine(f"{head}{leaving}{EMPTY}"))
    assert caught.value.engine_leaves


@pytest.mark.parametrize("leaving", LEAVING_HEADERS)
@pytest.mark.parametrize(
    "head",
    [
        f"HTTP/1.1 421 Misdirected\r\n{NOT_EXECUTED}{OWN_HEADERS}",
        f"HTTP/1.1 421 Misdirected\r\n{OWN_HEADERS}",
        f"HTTP/1.1 503 Busy\r\n{NOT_EXECUTED}X-Aspenbridge-Attempt-Id: r2\r\n",
        f"HTTP/1.1 200 OK\r\nX-Aspenbridge-Attempt-Id: r2\r\n{STAMP_HEADER}",
        "HTTP/1.1 200 OK\r\nX-Aspenbridge-Attempt-Id: r1\r\n",
        "HTTP/1.1 500 Failed\r\n",
    ],
)
def test_answer_of_another_engine_or_request_does_not_tell_that_one_leaves(
    head, leaving
):
    with pytest.raises(AttemptError) as caught:
        run_on_loop(call_engine(f"{head}{leaving}{EMPTY}"))
    assert not caught.value.engine_leaves


def test_bytes_after_the_response_are_ignored():
    first = f"HTTP/1.1 200 OK\r\n{OWN_HEADERS}Content-Length: 2\r\n\r\nok"
    _, body, _ = run_on_loop(call_engine(first + "HTTP/1.1 200 OK\r\n\r\nextra"))
    assert body == b"ok"


def test_refused_connection_counts_as_not_sent():
    async def check():
        async with open_engine_session() as session:
            clock = SystemClock()
            caller = HttpEngineCaller(session, clock)
            await caller.open("i-1", "127.0.0.1:1", make_call(), clock.now_s() + 5)

    with pytest.raises(AttemptError) as caught:
        run_on_loop(check())
    assert caught.value.outcome is CallOutcome.NOT_SENT


async def full_listener(stack):
    """Return the address of a listener whose connections are never opened."""
    listener = stack.enter_context(socket.socket())
    listener.bind(("127.0.0.1", 0))
    listener.listen(0)
    for _ in range(3):
        client = stack.enter_context(socket.socket())
        client.setblocking(False)
        client.connect_ex(listener.getsockname())
    await asyncio.sleep(0.01)
    return f"127.0.0.1:{listener.getsockname()[1]}"


@pytest.mark.parametrize(
    ("call_s", "answer_s"), [(-0.1, 5.0), (5.0, -0.1), (0.0, 0.0), (0.05, 0.05)]
)
def test_request_whose_deadline_passes_before_it_is_sent_has_not_run(call_s, answer_s):
    async def check():
        async with AsyncExitStack() as stack:
            address = await full_listener(stack)
            session = await stack.enter_async_context(open_engine_session())
            clock = SystemClock()
            call = make_call(deadline_s=clock.now_s() + call_s)
            deadline_s = clock.now_s() + answer_s
            await HttpEngineCaller(session, clock).open(
                "i-1", address, call, deadline_s
            )

    with pytest.raises(AttemptError) as caught:
        run_on_loop(check())
    assert caught.value.outcome is CallOutcome.EXPIRED


def test_request_whose_deadline_passes_after_it_was_sent_may_have_run():
    async def check():
        async with AsyncExitStack() as stack:
            listener = stack.enter_context(socket.socket())
            listener.bind(("127.0.0.1", 0))
            listener.listen(1)
            address = f"127.0.0.1:{listener.getsockname()[1]}"
            session = await stack.enter_async_context(open_engine_session())
            clock = SystemClock()
            deadline_s = clock.now_s() + 0.05
            call = make_call(deadline_s=deadline_s)
            await HttpEngineCaller(session, clock).open(
                "i-1", address, call, deadline_s
            )

    with pytest.raises(AttemptError) as caught:
        run_on_loop(check())
    assert caught.value.outcome is CallOutcome.BROKEN


def test_cancelled_requests_do_not_break_later_connections():
    """
    Guards against closing a socket that a transport still uses.

    Cancelling a connection attempt in the middle could close its socket, and
    the next connection would get the same file descriptor.
    """
    answer = f"HTTP/1.1 200 OK\r\n{OWN_HEADERS}Content-Length: 2\r\n\r\nok"

    async def check():
        async with engine(answer) as (address, _), open_engine_session() as session:
            clock = SystemClock()
            caller = HttpEngineCaller(session, clock)

            async def cancelled_call(wait_turns):
                task = asyncio.create_task(
                    caller.open("i-1", address, make_call(), clock.now_s() + 5)
                )
                for _ in range(wait_turns):
                    await asyncio.sleep(0)
                task.cancel()
                await asyncio.gather(task, return_exceptions=True)

            for turns in range(40):
                await asyncio.gather(
                    *(cancelled_call(turns + extra) for extra in range(4))
                )
            engine_response = await caller.open(
                "i-1", address, make_call(), clock.now_s() + 5
            )
            return await read_whole(engine_response)

    assert run_on_loop(check()) == b"ok"


def test_hop_by_hop_headers_are_not_forwarded():
    headers = (("Connection", "A, keep-alive"), ("A", "1"), ("TE", "x"), ("B", "2"))
    assert end_to_end_headers(headers) == (("B", "2"),)


@pytest.mark.parametrize("reset", [False, True])
@pytest.mark.parametrize(
    ("answer", "connection_lost"),
    [
        ("", True),
        (f"HTTP/1.1 200 OK\r\n{OWN_HEADERS}Content-Length: 9\r\n\r\nok", True),
        (f"HTTP/1.1 200 OK\r\n{OWN_HEADERS}{CHUNKED_STREAM_HEADERS}\r\n5\r\ne", True),
        (f"HTTP/1.1 200 OK\r\n{STAMP_HEADER}Content-Length: 2\r\n\r\nok", False),
    ],
)
def test_only_an_answer_whose_connection_ends_looks_like_a_crash(
    answer, connection_lost, reset
):
    with pytest.raises(AttemptError) as raised:
        run_on_loop(call_engine(answer, reset=reset))
    assert raised.value.outcome is CallOutcome.BROKEN
    assert raised.value.connection_lost is connection_lost
