"""A host as a process before eight engines that send without end."""

from __future__ import annotations

import asyncio
import time
from contextlib import asynccontextmanager, suppress
from pathlib import Path

import aiohttp
import pytest
from aiohttp import web

from tests.platform.test_endless_answers import ValidEvents, run
from tests.platform.test_process import (
    HOST_IP,
    REQUEST_ID,
    ROUTE,
    host_process,
    send_request,
    wait_status,
)
from tests.support.endless_answers import (
    BODIES,
    FRAMINGS,
    HEADS,
    TRICKLE_INTERVAL_S,
    EndlessServer,
)
from tests.support.platform_standins import configuration, engine_row

ENGINES = 8
CALM_S = 1.0
TROUBLE_S = 2.5
PROBE_INTERVAL_S = 0.05  # between two requests to a sound engine
PAUSE_S = 0.1  # before a caller of an endless engine comes again
MAX_MEMORY_KIB = 32 * 1024  # more than in calm
MAX_DELAY_S = 0.3  # more than in calm
ENDLESS_ROUTE = ROUTE | {
    "name": "endless",
    "prefix": "/endless/",
    "service": "endless",
    "timeoutMs": 2000,
}
MAX_CALL_S = 2.5  # half a second beyond the limit of that route


def peak_memory_kib(process) -> int:
    """Return the largest resident size that a process has had."""
    for line in Path(f"/proc/{process.pid}/status").read_text().splitlines():
        if line.startswith("VmHWM:"):
            return int(line.split()[1])
    raise AssertionError("no peak of the resident size")


async def longest_delay_s(session, ports, duration_s) -> float:
    """Call a sound engine repeatedly; return the longest time to a head."""
    end_s, delays_s = time.monotonic() + duration_s, []

    async def call() -> None:
        started_s = time.monotonic()
        async with send_request(session, ports) as response:
            delays_s.append(time.monotonic() - started_s)
            assert response.status == 200

    async with asyncio.TaskGroup() as group:
        while time.monotonic() < end_s:
            group.create_task(call())
            await asyncio.sleep(PROBE_INTERVAL_S)
    return max(delays_s)


MANY = 64
MAX_PEAK_KIB = 128_000  # of a host on the smallest machine


async def call_endless(ports, number) -> None:
    """Send a request to an endless engine and discard the answer."""
    reader, writer = await asyncio.open_connection(HOST_IP, ports[0])
    writer.write(
        f"POST /endless/{number} HTTP/1.1\r\nHost: a.example\r\n"
        f"{REQUEST_ID}: endless-{number}\r\nContent-Length: 1\r\n"
        "Connection: close\r\n\r\nq".encode()
    )
    with suppress(ConnectionResetError):  # an answer that breaks off
        while await reader.read(65536):
            pass
    writer.close()


async def keep_calling(ports, number) -> None:
    while True:
        await call_endless(ports, number)
        await asyncio.sleep(PAUSE_S)


@asynccontextmanager
async def ready_host(tmp_path, port):
    """Run a host whose route ``/endless/`` has engines at a port."""

    def fill_store(store) -> None:
        store.write("op", "config", configuration(4, [ROUTE, ENDLESS_ROUTE]))
        for number in range(ENGINES):
            row = engine_row(f"127.0.0.1:{port}") | {"service": "endless"}
            store.write("servers", f"i-endless-{number}", row)

    async with (
        host_process(tmp_path, fill_store=fill_store) as (process, ports, _),
        aiohttp.ClientSession() as session,
    ):
        reading = asyncio.create_task(process.stdout.read())
        await wait_status(session, f"http://{HOST_IP}:{ports[1]}/readyz", 200)
        yield process, ports, session
        process.kill()
        await reading


async def measure(tmp_path, port, numbers) -> tuple[float, float, int]:
    """Return the longest delays in calm and in trouble, and added memory."""
    async with ready_host(tmp_path, port) as (process, ports, session):
        calm_s = await longest_delay_s(session, ports, CALM_S)
        calm_kib = peak_memory_kib(process)
        callers = [asyncio.create_task(keep_calling(ports, n)) for n in numbers]
        trouble_s = await longest_delay_s(session, ports, TROUBLE_S)
        for caller in callers:
            caller.cancel()
        added_kib = peak_memory_kib(process) - calm_kib
        await asyncio.gather(*callers, return_exceptions=True)
    return calm_s, trouble_s, added_kib


KINDS = [*HEADS, *FRAMINGS, *BODIES]


@pytest.mark.parametrize("first", range(0, len(KINDS), ENGINES))
def test_host_serves_others_beside_eight_engines_that_send_no_answer(tmp_path, first):
    async def check():
        async with EndlessServer(*KINDS) as server:
            numbers = [(first + n) % len(KINDS) for n in range(ENGINES)]
            return await measure(tmp_path, server.port, numbers)

    calm_s, trouble_s, added_kib = run(check())
    assert added_kib < MAX_MEMORY_KIB
    assert trouble_s < calm_s + MAX_DELAY_S


def test_host_serves_others_beside_eight_streams_of_events_without_end(tmp_path):
    async def check():
        loop = asyncio.get_running_loop()
        server = web.Server(ValidEvents(b"t").answer)
        listener = await loop.create_server(server, "127.0.0.1", 0)
        port = listener.sockets[0].getsockname()[1]
        try:
            return await measure(tmp_path, port, range(ENGINES))
        finally:
            listener.close()
            await server.shutdown(0.1)

    calm_s, trouble_s, added_kib = run(check())
    assert added_kib < MAX_MEMORY_KIB
    assert trouble_s < calm_s + MAX_DELAY_S


def test_host_holds_bounded_bytes_of_many_bodies_without_end(tmp_path):
    async def check():
        async with (
            EndlessServer(BODIES[-1]) as server,
            ready_host(tmp_path, server.port) as (process, ports, session),
        ):
            callers = [asyncio.create_task(keep_calling(ports, 0)) for _ in range(MANY)]
            await longest_delay_s(session, ports, TROUBLE_S)
            for caller in callers:
                caller.cancel()
            await asyncio.gather(*callers, return_exceptions=True)
            return peak_memory_kib(process)

    assert run(check()) < MAX_PEAK_KIB


def test_trickle_of_an_engine_ends_with_the_time_limit_of_its_route(tmp_path):
    async def check():
        async with (
            EndlessServer(*KINDS, slow=True) as server,
            ready_host(tmp_path, server.port) as (_, ports, _),
        ):
            started_s = time.monotonic()
            async with asyncio.TaskGroup() as group:
                for number in range(len(KINDS)):
                    group.create_task(call_endless(ports, number))
            duration_s = time.monotonic() - started_s
            await asyncio.sleep(5 * TRICKLE_INTERVAL_S)
            return duration_s, server.open_connections

    duration_s, connections = run(check())
    assert duration_s < MAX_CALL_S
    assert connections == 0
