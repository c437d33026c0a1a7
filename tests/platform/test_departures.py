"""Callers that end their side of a connection, or leave altogether."""

from __future__ import annotations

import asyncio
import socket
from contextlib import AsyncExitStack, asynccontextmanager, suppress

import pytest

from aspenbridge.entry import Address
from aspenbridge.fleet import CallKind
from aspenbridge.loop import NumericAddressLoop, listening_socket
from tests.platform.test_ingress import job_body, run_with_host
from tests.support.engine_scripts import Answer, stream_of
from tests.support.entry_fleet import Fault, make_route
from tests.support.raw_callers import connection, read_response, whole_request
from tests.support.scripted_host import HostUnderTest

STREAM = stream_of(4)
WHOLE = b"the body of an answer that is not a stream"
STOP_LIMIT_S = 0.5  # for an engine's work, after its caller left
ROUTES = [
    make_route(),
    make_route("once", resumable=False, max_attempts=1),
    make_route("whole", kind=CallKind.IDEMPOTENT),
    make_route("whole-once", kind=CallKind.NON_IDEMPOTENT, max_attempts=1),
]
SILENCES = [{}, {"head_silence_s": 0.9}, {"body_silence_s": 0.9}]


@pytest.mark.parametrize("silence", SILENCES)
@pytest.mark.parametrize("path", [route.name for route in ROUTES])
def test_caller_that_ends_its_side_gets_its_whole_answer(path, silence):
    streams = path.startswith("on")
    body, kind = (STREAM, "text/event-stream") if streams else (WHOLE, "text/plain")

    async def check():
        async with HostUnderTest(routes=ROUTES) as host:
            events = {"events": 4} if streams else {"body": WHOLE}
            # One engine may be asked again after both were silent.
            answers = [Answer(**events, content_type=kind, **silence)] * 3
            ids = [host.add_script(answers) for _ in range(2)]
            async with connection(host.callers) as (reader, writer):
                for request_id in ids:
                    writer.write(whole_request(path, request_id))
                writer.write_eof()
                for _ in ids:
                    reply = await read_response(reader)
                    assert reply[:3] == (200, body, True)
                assert await reader.read() == b""

    with asyncio.Runner(loop_factory=NumericAddressLoop) as runner:
        runner.run(check())


def job_call(method, target, data=b"", *headers) -> bytes:
    length = f"Content-Length: {len(data)}"
    attempt = "X-Aspenbridge-Attempt-Id: j1"
    lines = [f"{method} {target} HTTP/1.1", "Host: a.example", attempt, length]
    return "\r\n".join([*lines, *headers, "", ""]).encode() + data


def test_caller_that_ends_its_side_gets_the_answer_to_each_job_call():
    async def check(fleet, call, parts):
        fleet.engines.event_s = 0.2
        wait = "X-Aspenbridge-Wait-Ms: 5000"
        for data, status in (
            (job_call("POST", "/batch/j1", job_body("a")), 202),
            (job_call("GET", "/items/j1?id=a"), 200),
            (job_call("GET", "/lots/j1", b"", wait), 200),
            (job_call("DELETE", "/lots/j1"), 200),
        ):
            async with connection(parts.callers) as (reader, writer):
                writer.write(data)
                writer.write_eof()
                reply = await read_response(reader)
                assert (reply.status, reply.complete) == (status, True)
        # The wait for a result lasted as long as the run.
        assert fleet.engines.runs[0].events == list(range(10))

    run_with_host(check)


@asynccontextmanager
async def relay_to(address):
    """Pass bytes on; that a caller left shows only when written to it."""
    loop = asyncio.get_running_loop()

    async def copy(source, sink):
        while data := await loop.sock_recv(source, 4096):
            await loop.sock_sendall(sink, data)
        sink.shutdown(socket.SHUT_WR)

    async def serve(listener):
        caller, _ = await loop.sock_accept(listener)
        with caller, socket.socket() as host, suppress(OSError):
            host.setblocking(False)
            await loop.sock_connect(host, (address.ip, address.port))
            await asyncio.gather(copy(caller, host), copy(host, caller))

    with listening_socket("127.0.0.1", 0) as listener:
        serving = asyncio.create_task(serve(listener))
        yield Address(*listener.getsockname())
        serving.cancel()


FAULTS = {
    "before the head": Fault(head_pause_s=5.0),
    "before the first event": Fault(pause_at=0, pause_s=5.0),
    "between events": Fault(),
    "in a silence between events": Fault(pause_at=4, pause_s=5.0),
}


@pytest.mark.parametrize("relayed", [False, True])
@pytest.mark.parametrize("version", ["1.0", "1.1"])
@pytest.mark.parametrize("path", ["online", "once"])
@pytest.mark.parametrize("moment", FAULTS)
def test_work_stops_within_half_a_second_after_the_caller_left(
    moment, path, version, relayed
):
    async def check(fleet, call, parts):
        fleet.engines.event_s = 0.1
        fleet.engines.events = 100
        fleet.engines.faults["r1"] = [FAULTS[moment]]
        async with AsyncExitStack() as stack:
            address = parts.callers
            if relayed:
                address = await stack.enter_async_context(relay_to(address))
            left_s = await call_and_leave(address)
            await asyncio.sleep(STOP_LIMIT_S + 0.2)
        (run,) = fleet.engines.runs
        assert run.ended_s is not None
        assert run.ended_s - left_s < STOP_LIMIT_S

    async def call_and_leave(address):
        async with connection(address) as (reader, writer):
            writer.write(whole_request(path, "r1", version=version))
            if "between" in moment:
                await reader.readuntil(b"data: t3\n\n")
            else:
                await asyncio.sleep(0.2)
        return asyncio.get_running_loop().time()

    run_with_host(check)
