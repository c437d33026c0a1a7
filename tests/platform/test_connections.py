"""How client sessions see the begin and the end of a connection."""

from __future__ import annotations

import asyncio
import socket
import time
from contextlib import ExitStack

import aiohttp
import pytest

from aspenbridge.backends import open_session
from aspenbridge.loop import NumericAddressLoop
from aspenbridge.platform._connections import (
    CONNECT_TIMEOUT_S,
    TIMEOUT_STEP_S,
    open_engine_session,
    open_store_session,
    own_timeout,
)
from tests.support.engine_scripts import Answer, End, Framing, ScriptedEngine
from tests.support.scripted_host import HostUnderTest

REQUESTS = 7  # whose connections are opened together
SESSIONS = [open_engine_session, open_store_session, open_session]


def read_body(open_client_session, end):
    async def main():
        async with ScriptedEngine() as engine, open_client_session() as session:
            engine.scripts["r1"] = [Answer(b"body", Framing.NONE, end)]
            url = f"http://127.0.0.1:{engine.port}/"
            headers = {"X-Aspenbridge-Attempt-Id": "r1"}
            async with session.get(url, headers=headers) as response:
                return await response.read()

    with asyncio.Runner(loop_factory=NumericAddressLoop) as runner:
        return runner.run(main())


@pytest.mark.parametrize("open_client_session", SESSIONS)
@pytest.mark.parametrize("end", [End.RESET, End.RESET_BEHIND_DATA])
def test_body_without_a_length_is_broken_off_by_a_reset(open_client_session, end):
    with pytest.raises(aiohttp.ClientPayloadError):
        read_body(open_client_session, end)


@pytest.mark.parametrize("open_client_session", SESSIONS)
def test_body_without_a_length_is_whole_after_an_orderly_close(open_client_session):
    assert read_body(open_client_session, End.CLOSE) == b"body"


# A pause of the host, such as a garbage collection, was counted as the time
# that engines took for a connection: all were left for up to 3 s, and requests
# were refused that any of them could serve.
@pytest.mark.parametrize("passes", range(4))
def test_requests_are_served_whose_connections_meet_a_pause_of_the_host(passes):
    async def main():
        async with HostUnderTest() as host:
            loop = asyncio.get_running_loop()
            session = host.host.ports.engine_caller._engines._session
            connect = session.connector._wrap_create_connection
            together = asyncio.Barrier(REQUESTS)
            waiting = REQUESTS

            async def connect_together(*args, **options):
                nonlocal waiting
                if waiting:
                    waiting -= 1
                    if await together.wait() == 0:
                        pause_after(loop, passes)
                return await connect(*args, **options)

            session.connector._wrap_create_connection = connect_together
            answer = Answer(events=2)
            return await asyncio.gather(
                *(host.call("online", [answer]) for _ in range(REQUESTS))
            )

    with asyncio.Runner(loop_factory=NumericAddressLoop) as runner:
        replies = runner.run(main())
    assert [reply.status for reply in replies] == [200] * REQUESTS


def pause_after(loop, passes):
    """Let the process stand still once the loop has made some more passes."""
    if passes:
        loop.call_soon(pause_after, loop, passes - 1)
    else:
        time.sleep(2 * CONNECT_TIMEOUT_S)


@pytest.mark.parametrize("begun_steps", range(5))
def test_pause_of_the_process_ends_no_block_whose_event_came_in_it(begun_steps):
    async def main():
        loop = asyncio.get_running_loop()
        receiving, sending = socket.socketpair()
        with receiving, sending:
            receiving.setblocking(False)

            def pause():
                sending.send(b"x")
                time.sleep(2 * CONNECT_TIMEOUT_S)

            loop.call_later((begun_steps + 0.5) * TIMEOUT_STEP_S, pause)
            async with own_timeout(CONNECT_TIMEOUT_S):
                data = await loop.sock_recv(receiving, 1)
                for _ in range(4):
                    await asyncio.sleep(0)
            return data

    with asyncio.Runner(loop_factory=NumericAddressLoop) as runner:
        assert runner.run(main()) == b"x"


@pytest.mark.parametrize("open_client_session", SESSIONS[:2])
def test_server_that_accepts_no_connection_is_left_after_the_time_out(
    open_client_session,
):
    async def main():
        with ExitStack() as stack:
            listener = stack.enter_context(socket.socket())
            listener.bind(("127.0.0.1", 0))
            listener.listen(0)
            for _ in range(2):  # more than the kernel queues for it
                queued = stack.enter_context(socket.socket())
                queued.setblocking(False)
                queued.connect_ex(listener.getsockname())
            await asyncio.sleep(0.05)
            begun_s = time.monotonic()
            async with open_client_session() as session:
                url = f"http://127.0.0.1:{listener.getsockname()[1]}/"
                with pytest.raises(aiohttp.ConnectionTimeoutError):
                    await session.get(url)
            return time.monotonic() - begun_s

    with asyncio.Runner(loop_factory=NumericAddressLoop) as runner:
        took_s = runner.run(main())
    assert CONNECT_TIMEOUT_S <= took_s < CONNECT_TIMEOUT_S + 0.5
