"""A host as a process before many callers that send without end."""

from __future__ import annotations

import asyncio
import socket
import time
from contextlib import suppress

import aiohttp
import pytest

from tests.platform.test_endless_answers import run
from tests.platform.test_endless_process import peak_memory_kib
from tests.platform.test_process import HOST_IP, host_process, send_request, wait_status
from tests.support.endless_answers import Endless

CALLERS = 64
TROUBLE_S = 1.5
PROBE_INTERVAL_S = 0.2  # between two sound requests
BLOCK_BYTES = 64 * 1024
PAUSE_S = 0.01  # of each caller between two blocks, and before it comes again
MAX_MEMORY_KIB = 128_000  # of a host on the smallest machine
MAX_ANSWER_S = 2.0  # for the head of the answer to a sound request

HEAD = b"POST /a/x HTTP/1.1\r\nHost: a.example\r\nX-Aspenbridge-Attempt-Id: c\r\n"
CHUNKED = HEAD + b"Transfer-Encoding: chunked\r\n\r\n"
NO_REQUESTS = (
    Endless("line ends before the head", b"", b"\r\n"),
    Endless("request line", b"POST /a/", b"x"),
    Endless("field name", HEAD, b"X"),
    Endless("field value", HEAD + b"X: ", b"x"),
    Endless("field lines", HEAD, b"X: y\r\n"),
    Endless("chunk extension", CHUNKED + b"5;", b"x"),
    Endless("chunk size", CHUNKED, b"0"),
    Endless("trailers", CHUNKED + b"0\r\n", b"X: y\r\n"),
)


async def send_endless(address, endless) -> None:
    """Send without end, on a new connection after each one that ends."""
    loop = asyncio.get_running_loop()
    block = endless.repeated * (BLOCK_BYTES // len(endless.repeated))
    while True:
        with socket.socket() as sock, suppress(OSError):
            sock.setblocking(False)
            await loop.sock_connect(sock, address)
            await loop.sock_sendall(sock, endless.first)
            while True:
                await loop.sock_sendall(sock, block)
                await asyncio.sleep(PAUSE_S)
        await asyncio.sleep(PAUSE_S)


async def probe(session, ports) -> list[int]:
    """Return the statuses of sound requests; 0 if no head comes in time."""
    end_s, statuses = time.monotonic() + TROUBLE_S, []

    async def call() -> None:
        status = 0
        with suppress(TimeoutError):
            async with asyncio.timeout(MAX_ANSWER_S):
                async with send_request(session, ports) as response:
                    status = response.status
        statuses.append(status)

    async with asyncio.TaskGroup() as group:
        while time.monotonic() < end_s:
            group.create_task(call())
            await asyncio.sleep(PROBE_INTERVAL_S)
    return statuses


async def serve_beside(tmp_path, endless) -> tuple[int, list[int]]:
    """Return the peak memory of a host and the statuses of sound requests."""
    async with (
        host_process(tmp_path) as (process, ports, _),
        aiohttp.ClientSession() as session,
    ):
        reading = asyncio.create_task(process.stdout.read())
        await wait_status(session, f"http://{HOST_IP}:{ports[1]}/readyz", 200)
        callers = [
            asyncio.create_task(send_endless((HOST_IP, ports[0]), endless))
            for _ in range(CALLERS)
        ]
        statuses = await probe(session, ports)
        memory_kib = peak_memory_kib(process)
        for caller in callers:
            caller.cancel()
        await asyncio.gather(*callers, return_exceptions=True)
        process.kill()
        await reading
    return memory_kib, statuses


@pytest.mark.parametrize("endless", NO_REQUESTS, ids=str)
def test_host_holds_bounded_bytes_of_many_callers_that_send_no_request(
    tmp_path, endless
):
    memory_kib, statuses = run(serve_beside(tmp_path, endless))
    assert memory_kib < MAX_MEMORY_KIB
    assert set(statuses) == {200}


BODIES = (
    Endless("body with a length", HEAD + b"Content-Length: 999999999\r\n\r\n", b"x"),
    Endless("body in chunks", CHUNKED, b"400\r\n" + b"x" * 1024 + b"\r\n"),
)


@pytest.mark.parametrize("endless", BODIES, ids=str)
def test_host_holds_bounded_bytes_of_the_bodies_of_many_callers(tmp_path, endless):
    memory_kib, statuses = run(serve_beside(tmp_path, endless))
    assert memory_kib < MAX_MEMORY_KIB
    assert set(statuses) == {200}
