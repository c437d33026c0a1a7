"""Requests beside planned work: changed configurations, stops, reloads."""

from __future__ import annotations

import asyncio
import gzip
import json
import socket
from contextlib import closing

import attrs
import pytest

from aspenbridge.fleet import RequestLimits
from aspenbridge.loop import NumericAddressLoop
from tests.support.engine_scripts import Answer, stream_of
from tests.support.entry_fleet import make_configuration, make_route
from tests.support.raw_callers import (
    BODY,
    call_plainly,
    call_twice,
    call_when_told_to_continue,
    connection,
    read_response,
    request_head,
    whole_request,
)
from tests.support.scripted_host import HostUnderTest

EVENTS = 4
STREAM = stream_of(EVENTS)
# Longer than a host looks for other engines, shorter than a sound silence.
SILENCE_S = 0.9
CHECK_LIMIT_S = 8.0
SMALL_BUFFER_BYTES = 4096  # of a system's send or receive buffer
IDLE_LIMIT_S = 0.5  # of a body between two parts


def with_host(check):
    async def main():
        async with HostUnderTest() as under_test:
            async with asyncio.timeout(CHECK_LIMIT_S):
                return await check(under_test)

    with asyncio.Runner(loop_factory=NumericAddressLoop) as runner:
        return runner.run(main())


def sound(**silence) -> Answer:
    return Answer(events=EVENTS, **silence)


def is_whole(reply) -> bool:
    return reply[:3] == (200, STREAM, True)


def is_refusal(reply) -> bool:
    """Whether a reply says truthfully that the request can be sent again."""
    return (
        reply.status == 503
        and reply.complete
        and json.loads(reply.body)["execution"] == "not run"
        and float(reply.headers["Retry-After"]) < 1
    )


def sends(host, request_id) -> int:
    """Return how many times an engine received a request."""
    return len(host.engine.resumed_after.get(request_id, ()))


async def wait_sent(host, request_id) -> None:
    async with asyncio.timeout(2.0):
        while not sends(host, request_id):
            await asyncio.sleep(0.01)


@pytest.mark.parametrize("path", ["online", "once"])
def test_caller_that_waits_to_be_told_to_send_its_body_is_told_so(path):
    async def check(host):
        request_id = host.add_script([sound()])
        reply = await call_when_told_to_continue(host.callers, path, request_id)
        assert is_whole(reply)

    with_host(check)


def test_second_of_two_requests_in_a_row_is_answered_when_the_host_stops():
    """Guards against a close of the connection behind the first response."""

    async def check(host):
        ids = [host.add_script([sound(head_silence_s=SILENCE_S)]) for _ in range(2)]
        calling = asyncio.create_task(call_twice(host.callers, "once", *ids))
        await wait_sent(host, ids[0])
        host.host.leaving = True
        first, second = await calling
        assert is_whole(first)
        assert is_whole(second)
        assert second.headers["Connection"] == "close"

    with_host(check)


def test_request_that_crosses_an_announced_close_is_refused_before_the_close():
    async def check(host):
        host.host.leaving = True
        first, second = (host.add_script([sound(body_silence_s=0.5)]) for _ in range(2))
        async with connection(host.callers) as (reader, writer):
            writer.write(whole_request("once", first))
            await wait_sent(host, first)
            await asyncio.sleep(0.1)
            writer.write(whole_request("once", second))
            reply = await read_response(reader)
            assert is_whole(reply)
            assert reply.headers["Connection"] == "close"
            assert is_refusal(await read_response(reader))
            assert await reader.read() == b""
        assert sends(host, second) == 0

    with_host(check)


def test_requests_behind_the_one_that_runs_when_a_drain_begins_are_refused():
    async def check(host):
        first = host.add_script([sound(body_silence_s=SILENCE_S)])
        others = [host.add_script([sound()]) for _ in range(3)]
        async with connection(host.callers) as (reader, writer):
            for request_id in (first, *others):
                writer.write(whole_request("once", request_id))
            await wait_sent(host, first)
            host.host.leaving = True
            assert await host.ingress.drain(4.0)
            replies = [await read_response(reader) for _ in range(4)]
            assert await reader.read() == b""
        assert is_whole(replies[0])
        assert all(is_refusal(reply) for reply in replies[1:])
        assert not any(sends(host, request_id) for request_id in others)

    with_host(check)


def test_request_that_is_read_late_in_a_shutdown_is_refused_at_once():
    """Guards against one that is accepted with too little time left."""

    async def check(host):
        running = host.add_script([sound(body_silence_s=1.5)])
        late = host.add_script([sound(head_silence_s=1.5, body_silence_s=1.5)])
        calling = asyncio.create_task(call_plainly(host.callers, "once", running))
        async with connection(host.callers) as (reader, writer):
            head = request_head("once", late, f"Content-Length: {len(BODY)}")
            writer.write(head + BODY[:3])
            await wait_sent(host, running)
            host.host.leaving = True
            draining = asyncio.create_task(host.ingress.drain(2.5))
            await asyncio.sleep(0.3)
            writer.write(BODY[3:])
            assert is_refusal(await read_response(reader))
        assert await draining
        assert is_whole(await calling)
        assert sends(host, late) == 0

    with_host(check)


@pytest.mark.parametrize("path", ["online", "once"])
def test_answer_that_has_not_begun_when_the_host_exits_is_not_cut(path):
    async def check(host):
        request_id = host.add_script([sound(head_silence_s=9.0)] * 2)
        calling = asyncio.create_task(call_plainly(host.callers, path, request_id))
        await wait_sent(host, request_id)
        host.host.leaving = True
        assert not await host.ingress.drain(0.8)
        await host.ingress.__aexit__(None, None, None)
        reply = await calling
        assert (reply.status, reply.complete) == (502, True)
        assert json.loads(reply.body)["execution"] == "outcome unknown"

    with_host(check)


def test_request_whose_body_is_incomplete_when_the_host_exits_is_refused():
    async def check(host):
        request_id = host.add_script([])
        async with connection(host.callers) as (reader, writer):
            head = request_head("once", request_id, f"Content-Length: {len(BODY)}")
            writer.write(head + BODY[:3])
            await asyncio.sleep(0.1)
            host.host.leaving = True
            assert not await host.ingress.drain(0.5)
            assert is_refusal(await read_response(reader))

    with_host(check)


def test_response_that_its_caller_has_not_read_outlasts_a_drain():
    """Guards against an exit that drops what is still to be sent."""

    async def check(host):
        body = b"".join(b"id: %d\ndata: %05000d\n\n" % (n, n) for n in range(100))
        request_id = host.add_script([Answer(body)])
        sock = await host.connect()
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, SMALL_BUFFER_BYTES)
        reader, writer = await asyncio.open_connection(sock=sock, limit=1024)
        with closing(writer):
            (served,) = host.ingress._caller_server.connections
            transport = served.transport
            transport.get_extra_info("socket").setsockopt(
                socket.SOL_SOCKET, socket.SO_SNDBUF, SMALL_BUFFER_BYTES
            )
            # The request ends while most of its response is still to be sent.
            transport.set_write_buffer_limits(high=2 * len(body))
            writer.write(whole_request("once", request_id))
            await wait_sent(host, request_id)
            while not served.idle:
                await asyncio.sleep(0.01)
            draining = asyncio.create_task(host.ingress.drain(4.0))
            await asyncio.sleep(0.5)
            assert transport.get_write_buffer_size() > 0
            assert not draining.done()
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 2 * len(body))
            reply = await read_response(reader)
            assert reply[:3] == (200, body, True)
            assert await draining

    with_host(check)


@pytest.mark.parametrize(("kept", "status"), [(True, 200), (False, 404)])
def test_request_that_comes_in_pieces_is_judged_by_the_configuration_at_its_end(
    kept, status
):
    """A route that is added while the body arrives serves it."""

    async def check(host):
        request_id = host.add_script([sound()])
        path = "added" if kept else "once"
        async with connection(host.callers) as (reader, writer):
            head = request_head(path, request_id, f"Content-Length: {len(BODY)}")
            writer.write(head + BODY[:3])
            await asyncio.sleep(0.1)
            routes = [make_route(), make_route("added", resumable=False)]
            host.fleet.configurations[b"2"] = make_configuration(2, routes)
            host.fleet.store.write("op", "config", b"2")
            await asyncio.sleep(0.3)
            writer.write(BODY[3:])
            assert (await read_response(reader)).status == status

    with_host(check)


def test_body_that_stalls_is_refused_after_the_configured_limit_and_not_before():
    async def check(host):
        limits = RequestLimits(16384, 4_194_304, IDLE_LIMIT_S)
        changed = attrs.evolve(make_configuration(2), limits=limits)
        host.fleet.configurations[b"2"] = changed
        host.fleet.store.write("op", "config", b"2")
        await asyncio.sleep(0.3)
        slow = host.add_script([sound()])
        head = request_head("once", slow, f"Content-Length: {len(BODY)}")
        async with connection(host.callers) as (reader, writer):
            for piece in (head, BODY[:2], BODY[2:4], BODY[4:]):
                writer.write(piece)
                await asyncio.sleep(IDLE_LIMIT_S / 2)
            assert is_whole(await read_response(reader))
        stalled = host.add_script([])
        head = request_head("once", stalled, f"Content-Length: {len(BODY)}")
        async with connection(host.callers) as (reader, writer):
            writer.write(head + BODY[:2])
            reply = await read_response(reader)
            assert (reply.status, reply.complete) == (408, True)
            assert reply.headers["Connection"] == "close"

    with_host(check)


def test_body_that_is_encoded_reaches_its_engine_unchanged():
    async def check(host):
        request_id = host.add_script([sound()])
        body = gzip.compress(BODY)
        length = f"Content-Length: {len(body)}"
        head = request_head("once", request_id, length, "Content-Encoding: gzip")
        async with connection(host.callers) as (reader, writer):
            writer.write(head + body)
            assert is_whole(await read_response(reader))
        assert host.engine.bodies[request_id] == body

    with_host(check)


def test_time_that_a_request_waits_behind_another_one_counts_to_its_time_budget():
    async def check(host):
        ids = [host.add_script([sound(head_silence_s=SILENCE_S)]) for _ in range(2)]
        replies = await call_twice(host.callers, "once", *ids)
        assert all(is_whole(reply) for reply in replies)
        budgets_ms = [
            int(host.engine.headers[request_id]["X-Aspenbridge-Deadline-Ms"])
            for request_id in ids
        ]
        assert budgets_ms[1] <= budgets_ms[0] - SILENCE_S * 1000

    with_host(check)
