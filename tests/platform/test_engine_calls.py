"""Answers of engines over real sockets on loopback."""

from __future__ import annotations

import asyncio
import socket
import struct
from contextlib import asynccontextmanager

import pytest

from aspenbridge.clock import SystemClock
from aspenbridge.loop import NumericLoop
from aspenbridge.platform._connections import open_engine_session
from aspenbridge.platform._engine_calls import HttpEngineCaller, end_to_end
from aspenbridge.ports import AttemptError, CallOutcome, RelayedCall

STAMP = "X-Aspenbridge-Server-Stamp: s\r\n"
OWN = "X-Aspenbridge-Attempt-Id: r1\r\n" + STAMP
LINGER_ZERO = struct.pack("ii", 1, 0)  # a close resets the connection
CHUNKED = "Transfer-Encoding: chunked\r\nContent-Type: text/event-stream\r\n"


def on_loop(coroutine):
    with asyncio.Runner(loop_factory=NumericLoop) as runner:
        return runner.run(coroutine)


@asynccontextmanager
async def engine(answer: str, *, reset: bool = False):
    """Answer each request with fixed bytes and end the connection."""
    requests: list[bytes] = []

    async def serve(reader, writer):
        head = await reader.readuntil(b"\r\n\r\n")
        requests.append(head + await reader.readexactly(4))
        writer.write(answer.encode())
        await writer.drain()
        if reset:
            await asyncio.sleep(0.05)  # the answer has been read
            sock = writer.get_extra_info("socket")
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, LINGER_ZERO)
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


async def ask(answer: str, **options):
    async with (
        engine(answer, **options) as (address, requests),
        open_engine_session() as session,
    ):
        clock = SystemClock()
        caller = HttpEngineCaller(session, clock)
        found = await caller.open("i-1", address, make_call(), clock.now_s() + 5)
        try:
            body = b"".join([chunk async for chunk in found.body()])
        finally:
            found.close()
        return found.head, body, requests


def test_request_reaches_the_engine_unchanged():
    answer = f"HTTP/1.1 200 OK\r\n{OWN}Content-Length: 2\r\n\r\nok"
    head, body, requests = on_loop(ask(answer))
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
        f"HTTP/1.1 200 OK\r\nX-Aspenbridge-Attempt-Id: r2\r\n{STAMP}\r\n",
        f"HTTP/1.1 200 OK\r\n{STAMP}Content-Length: 2\r\n\r\nok",
        "HTTP/1.1 200 OK\r\nX-Aspenbridge-Attempt-Id: r1\r\n\r\nok",
        f"HTTP/1.1 200 OK\r\n{OWN}Content-Encoding: gzip\r\n\r\nok",
        "no answer at all\r\n\r\n",
        "HTTP/1.1 2",
        "",
    ],
)
def test_bytes_that_are_not_the_own_answer_leave_the_outcome_open(answer):
    with pytest.raises(AttemptError) as caught:
        on_loop(ask(answer))
    assert caught.value.outcome is CallOutcome.BROKEN


@pytest.mark.parametrize(
    "head",
    [
        "HTTP/1.1 503 Busy\r\nX-Aspenbridge-Not-Executed: 1\r\n",
        "HTTP/1.1 421 Misdirected\r\nX-Aspenbridge-Instance-Id: i-2\r\n",
        "HTTP/1.1 429 Slow\r\nX-Aspenbridge-Not-Executed: 1\r\n",
    ],
)
def test_engine_that_did_not_run_a_request_says_so(head):
    with pytest.raises(AttemptError) as caught:
        on_loop(ask(f"{head}Content-Length: 0\r\n\r\n"))
    assert caught.value.outcome is CallOutcome.REFUSED


@pytest.mark.parametrize(
    ("answer", "options"),
    [
        (f"HTTP/1.1 200 OK\r\n{OWN}Content-Length: 9\r\n\r\nok", {}),
        (f"HTTP/1.1 200 OK\r\n{OWN}{CHUNKED}\r\n2\r\nok\r\n", {}),
        (f"HTTP/1.1 200 OK\r\n{OWN}{CHUNKED}\r\nzz\r\n", {}),
        (f"HTTP/1.1 200 OK\r\n{OWN}\r\nok", {"reset": True}),
    ],
)
def test_answer_that_breaks_off_is_not_complete(answer, options):
    with pytest.raises(AttemptError) as caught:
        on_loop(ask(answer, **options))
    assert caught.value.outcome is CallOutcome.BROKEN


def test_answer_without_a_length_ends_with_its_connection():
    _, body, _ = on_loop(ask(f"HTTP/1.1 200 OK\r\n{OWN}\r\nok"))
    assert body == b"ok"


def test_bytes_after_the_answer_belong_to_no_request():
    first = f"HTTP/1.1 200 OK\r\n{OWN}Content-Length: 2\r\n\r\nok"
    _, body, _ = on_loop(ask(first + "HTTP/1.1 200 OK\r\n\r\nextra"))
    assert body == b"ok"


def test_engine_that_is_not_there_was_sent_nothing():
    async def check():
        async with open_engine_session() as session:
            clock = SystemClock()
            caller = HttpEngineCaller(session, clock)
            await caller.open("i-1", "127.0.0.1:1", make_call(), clock.now_s() + 5)

    with pytest.raises(AttemptError) as caught:
        on_loop(check())
    assert caught.value.outcome is CallOutcome.NOT_SENT


def test_cancelled_requests_leave_the_connections_of_others_whole():
    """A descriptor must not be closed under the transport that uses it."""
    answer = f"HTTP/1.1 200 OK\r\n{OWN}Content-Length: 2\r\n\r\nok"

    async def check():
        async with engine(answer) as (address, _), open_engine_session() as session:
            clock = SystemClock()
            caller = HttpEngineCaller(session, clock)

            async def one(wait_turns):
                task = asyncio.create_task(
                    caller.open("i-1", address, make_call(), clock.now_s() + 5)
                )
                for _ in range(wait_turns):
                    await asyncio.sleep(0)
                task.cancel()
                await asyncio.gather(task, return_exceptions=True)

            for turns in range(40):
                await asyncio.gather(*(one(turns + extra) for extra in range(4)))
            found = await caller.open("i-1", address, make_call(), clock.now_s() + 5)
            return b"".join([chunk async for chunk in found.body()])

    assert on_loop(check()) == b"ok"


def test_headers_of_one_connection_are_not_passed_on():
    headers = (("Connection", "A, keep-alive"), ("A", "1"), ("TE", "x"), ("B", "2"))
    assert end_to_end(headers) == (("B", "2"),)
