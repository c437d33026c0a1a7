"""A server that ends a connection without an answer gets no second request."""

from __future__ import annotations

import asyncio
import socket
from contextlib import asynccontextmanager

import aiohttp
import pytest
from returns.result import Failure

from aspenbridge.backends import open_session
from aspenbridge.clock import SystemClock
from aspenbridge.loop import NumericAddressLoop
from aspenbridge.platform._connections import open_engine_session, open_store_session
from aspenbridge.platform._engine_calls import HttpEngineCaller
from aspenbridge.platform._store import StoreClient
from aspenbridge.ports import (
    AttemptError,
    CallOutcome,
    Put,
    RelayedCall,
    RowKey,
    Transaction,
)
from tests.support.engine_scripts import LINGER_ON_ZERO_S

METHODS = ("GET", "HEAD", "OPTIONS", "TRACE", "PUT", "DELETE", "POST", "PATCH", "ODD")
REDIRECT = (
    b"HTTP/1.1 307 Elsewhere\r\nLocation: /elsewhere\r\nContent-Length: 0\r\n\r\n"
)
WHOLE = b"HTTP/1.1 204 Done\r\n\r\n"
PART = b"HTTP/1.1 200 OK\r\nContent-Le"
# What the server sends, if anything, before it closes or resets a connection.
ENDINGS = [
    pytest.param(data, reset, id=f"{name}, {'reset' if reset else 'close'}")
    for name, data in (("nothing", b""), ("part of a head", PART))
    for reset in (False, True)
]


@asynccontextmanager
async def server(answers, *, reset: bool):
    """Give one answer to each request, then end the connection."""
    arrived: list[str] = []

    async def serve(reader, writer):
        while head := await read_head(reader):
            arrived.append(head.split(b" ")[0].decode())
            answer = answers[min(len(arrived), len(answers)) - 1]
            writer.write(answer)
            if answer is not WHOLE:
                break
        await asyncio.sleep(0.02)  # the end comes after the data
        if reset:
            sock = writer.get_extra_info("socket")
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, LINGER_ON_ZERO_S)
        writer.close()

    async def read_head(reader) -> bytes:
        try:
            return await reader.readuntil(b"\r\n\r\n")
        except (asyncio.IncompleteReadError, ConnectionError):
            return b""

    listener = await asyncio.start_server(serve, "127.0.0.1", 0)
    try:
        yield f"127.0.0.1:{listener.sockets[0].getsockname()[1]}", arrived
    finally:
        listener.close()


def run(main):
    with asyncio.Runner(loop_factory=NumericAddressLoop) as runner:
        return runner.run(main())


# Guards against a client library that repeats what may run only once.
@pytest.mark.parametrize("method", METHODS)
@pytest.mark.parametrize(("data", "reset"), ENDINGS)
def test_request_whose_answer_is_lost_reaches_its_engine_once(method, data, reset):
    async def main():
        clock = SystemClock()
        async with (
            server([data], reset=reset) as (address, arrived),
            open_engine_session() as session,
        ):
            deadline_s = clock.now_s() + 2.0
            call = RelayedCall("r1", method, "/a", "a.example", (), b"", deadline_s)
            with pytest.raises(AttemptError) as caught:
                caller = HttpEngineCaller(session, clock)
                await caller.open("i-1", address, call, deadline_s)
            await asyncio.sleep(0.05)
            return caught.value.outcome, arrived

    assert run(main) == (CallOutcome.BROKEN, [method])


# Guards against the same in calls of engines and services by host, model or
# booking, which share one session.
@pytest.mark.parametrize("method", METHODS)
@pytest.mark.parametrize("open_client_session", [open_session, open_store_session])
@pytest.mark.parametrize("kept", [False, True])
def test_session_sends_each_request_once(method, open_client_session, kept):
    answers = [WHOLE, b""] if kept else [b""]

    async def main():
        async with (
            server(answers, reset=False) as (address, arrived),
            open_client_session() as session,
        ):
            url = f"http://{address}/"
            if kept:
                async with session.post(url):
                    pass
            with pytest.raises(aiohttp.ClientConnectionError):
                await session.request(method, url)
            await asyncio.sleep(0.05)
            return arrived

    assert run(main) == (["POST", method] if kept else [method])


TRANSACTION = Transaction(checks=(), puts=(Put(RowKey("t", "k"), b"v"),), deletes=())
# Each call of the store, with how often it may be made.
STORE_CALLS = [
    (lambda client: client.transact(TRANSACTION), ["POST"]),
    (lambda client: client.rows("t"), ["GET", "GET"]),
    (lambda client: client.changes("t", 1, 0.5), ["GET", "GET"]),
    (lambda client: client.get("name"), ["GET", "GET"]),
    (lambda client: client.put("name", b"body"), ["PUT", "PUT"]),
    (lambda client: client.delete("name"), ["DELETE", "DELETE"]),
]


# Guards against transactions that are made twice, and calls without an end.
@pytest.mark.parametrize(("call", "sends"), STORE_CALLS)
def test_store_gets_a_call_twice_only_if_that_changes_nothing(call, sends):
    async def main():
        async with (
            server([b""], reset=True) as (address, arrived),
            open_store_session() as session,
        ):
            return await call(StoreClient(session, address)), arrived

    result, arrived = run(main)
    assert isinstance(result, Failure)
    assert result.failure().maybe_applied
    assert arrived == sends


# Guards against calls that follow a redirect to another server.
@pytest.mark.parametrize(("call", "sends"), STORE_CALLS)
def test_redirect_of_the_store_is_not_followed(call, sends):
    async def main():
        async with (
            server([REDIRECT], reset=False) as (address, arrived),
            open_store_session() as session,
        ):
            return await call(StoreClient(session, address)), arrived

    result, arrived = run(main)
    assert result.failure().reason == "status 307"
    assert arrived == sends[:1]
