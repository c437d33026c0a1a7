"""
A host as a process before crowds of callers that do not behave.

Whatever they send, the host lives, stays within the memory and descriptors of
its machine, and answers an ordinary request, also one beside the crowd.
"""

from __future__ import annotations

import asyncio
import logging
import resource
from contextlib import asynccontextmanager, suppress

import aiohttp
import attrs
import pytest
from aiohttp import web

from tests.platform.test_endless_answers import run
from tests.platform.test_process import (
    HOST_IP,
    REQUEST_ID,
    ROUTE,
    host_process,
    wait_status,
)
from tests.support.crowds import (
    BODY_BYTES,
    BYTE_PAUSE_S,
    PIECE_BYTES,
    PIECE_PAUSE_S,
    Behaviour,
    Watch,
    chunk,
    crowd,
    head,
    job_body,
    send_all,
    send_ordinary,
    send_paced,
    send_without_end,
    with_chunks,
    with_length,
)
from tests.support.platform_standins import configuration, engine_row

logger = logging.getLogger(__name__)
# The smallest machine of the pages.
MEMORY_MB = 88
MAX_DESCRIPTORS = 4100
FEW_DESCRIPTORS = 600
RESERVED_FILES = 200  # of the descriptors of a machine
CALLERS = 48
CONNECTIONS = 600
TROUBLE_S = 2.0
JOBS_TROUBLE_S = 6.0  # in which a host could accept many of them
METRICS_PORT = 9464
HEAD_LINES, HEAD_LINE_BYTES = 100, 150  # of a head within the operator's limit
LARGE_ANSWER_BYTES = 1_500_000
RESULT_ITEMS, RESULT_EVENT_BYTES = 60, 14_000
PIPELINED = 8
SLOTS = 1000  # of an engine, so that none turns the crowd away


async def answer_quickly(request):
    await request.content.read()
    return web.Response(text="id: 0\ndata: w\n\n", headers=stamp(request))


def stamp(request, content_type="text/event-stream"):
    return {
        REQUEST_ID: request.headers[REQUEST_ID],
        "X-Aspenbridge-Server-Stamp": "s",
        "Content-Type": content_type,
    }


async def engine(request):
    """Answer as the first segment of the path says."""
    kind = request.path.split("/")[1]
    if kind == "early":
        response = web.StreamResponse(headers=stamp(request))
        response.content_length = 100
        await response.prepare(request)
        await response.write(b"id: 0\ndata: w\n\n")
        await asyncio.sleep(60)
    await request.content.read()
    if kind == "slow":
        await asyncio.sleep(60)
    if kind == "large":
        headers = stamp(request, "application/octet-stream")
        return web.Response(body=b"x" * LARGE_ANSWER_BYTES, headers=headers)
    if kind == "flood":
        return await flood(request)
    if kind == "items":
        text = "x" * RESULT_EVENT_BYTES
        return web.Response(text=f"id: 0\ndata: {text}\n\n", headers=stamp(request))
    return await answer_quickly(request)


async def flood(request):
    response = web.StreamResponse(headers=stamp(request))
    await response.prepare(request)
    number = 0
    with suppress(ConnectionError):  # the host has closed it, as expected
        while True:
            await response.write(f"id: {number}\ndata: {'x' * 8000}\n\n".encode())
            number += 1
    return response


SERVICES = ("slow", "early", "large", "flood", "items")


def routes():
    for service in SERVICES:
        yield ROUTE | {
            "name": service,
            "prefix": f"/{service}/",
            "service": service,
            "timeoutMs": 20000,
        }
    yield ROUTE | {
        "name": "batch",
        "prefix": "/batch/",
        "routeKind": "batch",
        "service": "items",
        "completionTargetMs": 15000,
        "retainS": 600,
    }


@attrs.frozen
class Host:
    process: asyncio.subprocess.Process
    callers: tuple[str, int]
    readiness: tuple[str, int]

    @property
    def metrics(self):
        return HOST_IP, METRICS_PORT


@asynccontextmanager
async def ready_host(tmp_path, max_descriptors=MAX_DESCRIPTORS, callers=""):
    """Run a host; ``callers`` are lines of that section of its settings."""
    loop = asyncio.get_running_loop()
    server = await loop.create_server(web.Server(engine), "127.0.0.1", 0)
    port = server.sockets[0].getsockname()[1]

    def fill_store(store) -> None:
        store.write("op", "config", configuration(4, [ROUTE, *routes()]))
        for service in SERVICES:
            row = engine_row(f"127.0.0.1:{port}") | {"service": service, "slots": SLOTS}
            store.write("servers", f"i-{service}", row)

    limits = f"memoryMb = {MEMORY_MB}\nmaxFds = {max_descriptors}\n[callers]\n{callers}"
    async with (
        host_process(tmp_path, answer_quickly, fill_store, limits) as (
            process,
            ports,
            _,
        ),
        aiohttp.ClientSession() as session,
    ):
        _, hard_limit = resource.prlimit(process.pid, resource.RLIMIT_NOFILE)
        descriptors = min(max_descriptors, hard_limit)
        resource.prlimit(process.pid, resource.RLIMIT_NOFILE, (descriptors, hard_limit))
        reading = asyncio.create_task(process.stdout.read())
        await wait_status(session, f"http://{HOST_IP}:{ports[1]}/readyz", 200)
        try:
            yield Host(process, (HOST_IP, ports[0]), (HOST_IP, ports[1]))
            process.kill()
            assert b'"level":"error"' not in await reading
        finally:
            if process.returncode is None:
                process.kill()
            await reading
            server.close()


def ordinary():
    return with_length("/a/x", 1) + b"q"


async def check_crowd(
    tmp_path,
    behaviour,
    callers,
    port="callers",
    descriptors=MAX_DESCRIPTORS,
    trouble_s=TROUBLE_S,
):
    async with ready_host(tmp_path, descriptors) as host:
        await prepare_jobs(host)
        async with Watch(host.process.pid) as watch:
            async with crowd(getattr(host, port), behaviour, callers):
                await asyncio.sleep(trouble_s)
                beside = await send_ordinary(host.callers, ordinary)
            after = await send_ordinary(host.callers, ordinary)
            assert host.process.returncode is None
            found = (watch.peak_memory_mb, watch.most_descriptors, beside, after)
    logger.info("%s: %s", behaviour, found)
    assert found[0] < MEMORY_MB
    # Sockets share what files leave; a host has some files of its own open.
    assert found[1] < descriptors - RESERVED_FILES
    assert found[2:] == (200, 200)


async def prepare_jobs(host):
    """Have a job with many results, and one with an item that waits."""
    done = job_body("/items/x", RESULT_ITEMS, 10)
    waits = job_body("/slow/x", 1, 2_000_000)
    async with aiohttp.ClientSession() as session:
        url = "http://{}:{}".format(*host.callers)
        for job_id, body in (("done", done), ("waits", waits)):
            headers = {"Host": "a.example", REQUEST_ID: job_id}
            async with session.post(
                f"{url}/batch/x", data=body, headers=headers
            ) as response:
                assert response.status == 202, await response.text()
        async with asyncio.timeout(20):
            position = 0
            while position < RESULT_ITEMS:
                async with session.get(
                    f"{url}/lots/done?after={position}",
                    headers={"Host": "a.example"},
                ) as response:
                    if response.status == 200:
                        position = (await response.json())["nextToken"]
                await asyncio.sleep(0.05)


def whole(path):
    async def send(sock):
        await send_all(sock, with_length(path) + b"x" * BODY_BYTES)

    return send


def pieces(missing_bytes=0):
    async def send(sock):
        await send_all(sock, with_length("/slow/x"))
        body = b"x" * (BODY_BYTES - missing_bytes)
        await send_paced(sock, body, PIECE_BYTES, PIECE_PAUSE_S)

    return send


async def a_byte_short(sock):
    await send_all(sock, with_length("/slow/x") + b"x" * (BODY_BYTES - 1))


async def bytes_at_the_end(sock):
    await send_all(sock, with_length("/slow/x") + b"x" * (BODY_BYTES - 4096))
    await send_paced(sock, b"x" * 4096, 1, BYTE_PAUSE_S)


async def bytes_from_the_start(sock):
    await send_all(sock, with_length("/slow/x"))
    await send_paced(sock, b"x" * BODY_BYTES, 1, BYTE_PAUSE_S)


async def whole_in_chunks(sock):
    chunks = chunk(PIECE_BYTES) * (BODY_BYTES // PIECE_BYTES)
    await send_all(sock, with_chunks("/slow/x") + chunks + b"0\r\n\r\n")


async def without_last_chunk(sock):
    chunks = chunk(PIECE_BYTES) * (BODY_BYTES // PIECE_BYTES)
    await send_all(sock, with_chunks("/slow/x") + chunks)


async def tiny_chunks(sock):
    await send_all(sock, with_chunks("/slow/x"))
    await send_without_end(sock, chunk(1) * 4096)


async def announced_far_over(sock):
    await send_all(sock, with_length("/slow/x", 10**9))
    await send_without_end(sock, b"x" * PIECE_BYTES)


async def sent_far_over(sock):
    await send_all(sock, with_chunks("/slow/x"))
    await send_without_end(sock, chunk(PIECE_BYTES))


async def jobs(sock):
    body = job_body("/slow/x", 200, 15_000)
    assert BODY_BYTES * 0.95 < len(body) <= BODY_BYTES
    await send_all(sock, with_length("/batch/x", len(body)) + body)


async def jobs_a_byte_short(sock):
    body = job_body("/slow/x", 200, 15_000)
    await send_all(sock, with_length("/batch/x", len(body)) + body[:-1])


BODIES = (
    Behaviour("whole bodies", whole("/slow/x")),
    Behaviour("whole bodies answered early", whole("/early/x")),
    Behaviour("bodies in pieces", pieces()),
    Behaviour("bodies in pieces a byte short", pieces(1)),
    Behaviour("bodies a byte short", a_byte_short),
    Behaviour("bodies that end byte by byte", bytes_at_the_end),
    Behaviour("bodies byte by byte", bytes_from_the_start),
    Behaviour("whole bodies in chunks", whole_in_chunks),
    Behaviour("chunks without the last", without_last_chunk),
    Behaviour("chunks of a byte", tiny_chunks),
    Behaviour("far over, announced", announced_far_over),
    Behaviour("far over, sent", sent_far_over),
    Behaviour("jobs", jobs),
    Behaviour("jobs a byte short", jobs_a_byte_short),
)


@pytest.mark.parametrize("behaviour", BODIES, ids=str)
def test_host_stays_within_its_machine_beside_large_bodies(tmp_path, behaviour):
    run(check_crowd(tmp_path, behaviour, CALLERS))


def test_host_stays_within_its_machine_beside_jobs_that_wait(tmp_path):
    behaviour = Behaviour("jobs that wait", jobs)
    run(check_crowd(tmp_path, behaviour, CALLERS, trouble_s=JOBS_TROUBLE_S))


def long_head(path, method="GET"):
    lines = "".join(
        f"X-{number}: {'y' * HEAD_LINE_BYTES}\r\n" for number in range(HEAD_LINES)
    )
    return head(path, lines, method)


async def head_a_byte_short(sock):
    await send_all(sock, long_head("/a/x")[:-1])


async def head_byte_by_byte(sock):
    data = long_head("/a/x")
    await send_all(sock, data[:-512])
    await send_paced(sock, data[-512:], 1, BYTE_PAUSE_S)


async def idle(sock):
    pass


async def wait_for_an_answer(sock):
    await send_all(sock, with_length("/slow/x", 1) + b"q")


async def idle_after_an_answer(sock):
    await send_all(sock, ordinary())


async def read_no_events(sock):
    await send_all(sock, with_length("/flood/x", 1) + b"q")


HEADS = (
    Behaviour("heads a byte short", head_a_byte_short),
    Behaviour("heads that end byte by byte", head_byte_by_byte),
    Behaviour("bodies a byte short of a small length", pieces(BODY_BYTES - 100)),
    Behaviour("requests at a slow engine", wait_for_an_answer),
    Behaviour("events that are not read", read_no_events, reads=False),
)


@pytest.mark.parametrize("behaviour", HEADS, ids=str)
def test_host_stays_within_its_machine_beside_open_requests(tmp_path, behaviour):
    run(check_crowd(tmp_path, behaviour, CONNECTIONS))


def pipeline(*first, repeated, times):
    async def send(sock):
        await send_all(sock, b"".join(first))
        for _ in range(times):
            await send_all(sock, repeated)

    return send


PIPELINES = (
    Behaviour(
        "long heads behind a slow request",
        pipeline(
            with_length("/slow/x", 1) + b"q", repeated=long_head("/a/x"), times=100
        ),
    ),
    Behaviour(
        "long heads without end",
        pipeline(repeated=long_head("/none/x"), times=1_000_000),
        reads=False,
    ),
    Behaviour(
        "a large body behind a slow request",
        pipeline(
            with_length("/slow/x", 1) + b"q",
            repeated=with_length("/slow/y") + b"x" * (BODY_BYTES - 1),
            times=1,
        ),
    ),
)
UNREAD = (
    Behaviour(
        "large answers",
        pipeline(repeated=with_length("/large/x", 1) + b"q", times=PIPELINED),
        reads=False,
    ),
    Behaviour("events", whole("/flood/x"), reads=False),
    Behaviour(
        "pages of results",
        pipeline(repeated=head("/lots/done?after=0", "", "GET"), times=PIPELINED),
        reads=False,
    ),
    Behaviour(
        "bodies of items",
        pipeline(repeated=head("/items/waits?id=i0", "", "GET"), times=PIPELINED),
        reads=False,
    ),
)


@pytest.mark.parametrize("behaviour", [*PIPELINES, *UNREAD], ids=str)
def test_host_stays_within_its_machine_beside_pipelines(tmp_path, behaviour):
    run(check_crowd(tmp_path, behaviour, CALLERS))


IDLE = (
    Behaviour("idle", idle),
    Behaviour("idle after an answer", idle_after_an_answer),
    Behaviour("heads a byte short", head_a_byte_short),
)


@pytest.mark.parametrize("port", ["callers", "readiness", "metrics"])
@pytest.mark.parametrize("behaviour", IDLE, ids=str)
def test_host_keeps_descriptors_beside_connections(tmp_path, behaviour, port):
    run(check_crowd(tmp_path, behaviour, CONNECTIONS, port, FEW_DESCRIPTORS))


def test_host_keeps_descriptors_beside_requests_at_a_slow_engine(tmp_path):
    behaviour = Behaviour("requests at a slow engine", wait_for_an_answer)
    run(check_crowd(tmp_path, behaviour, CONNECTIONS, descriptors=FEW_DESCRIPTORS))


OTHER_PORTS = (
    Behaviour("bodies a byte short", a_byte_short),
    Behaviour("far over, sent", sent_far_over),
    Behaviour(
        "answers that are not read",
        pipeline(repeated=head("/metrics", "", "GET"), times=1_000_000),
        reads=False,
    ),
)


@pytest.mark.parametrize("port", ["readiness", "metrics"])
@pytest.mark.parametrize("behaviour", OTHER_PORTS, ids=str)
def test_host_stays_within_its_machine_at_its_other_ports(tmp_path, behaviour, port):
    run(check_crowd(tmp_path, behaviour, CALLERS, port))


def largest_in_chunks():
    chunks = chunk(PIECE_BYTES) * (BODY_BYTES // PIECE_BYTES)
    return with_chunks("/a/x") + chunks + b"0\r\n\r\n"


def largest_job():
    body = job_body("/items/x", 200, 15_000)
    return with_length("/batch/x", len(body)) + body


CALM = {
    "length": (lambda: with_length("/a/x") + b"x" * BODY_BYTES, 200),
    "chunks": (largest_in_chunks, 200),
    "job": (largest_job, 202),
    "large answer": (lambda: with_length("/large/x", 1) + b"q", 200),
}


@pytest.mark.parametrize("name", CALM)
def test_host_serves_the_largest_request_in_calm(tmp_path, name):
    request, expected = CALM[name]

    async def check():
        async with (
            ready_host(tmp_path) as host,
            Watch(host.process.pid) as watch,
        ):
            statuses = [await send_ordinary(host.callers, request) for _ in range(3)]
            return statuses, watch.peak_memory_mb

    statuses, memory_mb = run(check())
    logger.info("%s: %s MB", name, memory_mb)
    assert statuses == [expected] * 3
    assert memory_mb < MEMORY_MB
