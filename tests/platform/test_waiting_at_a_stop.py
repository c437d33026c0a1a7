"""Requests that wait in a host, and that nobody else has, when it stops."""

from __future__ import annotations

import asyncio
import json
import time

import pytest

from tests.platform.test_answer_ends import submit_item
from tests.platform.test_planned_work import (
    is_refusal,
    is_whole,
    sends,
    sound,
    wait_sent,
    with_host,
)
from tests.support.engine_scripts import Answer, Framing
from tests.support.raw_callers import (
    BODY,
    call_plainly,
    connection,
    read_response,
    request_head,
    whole_request,
)

DRAIN_S = 2.0
AT_ONCE_S = 0.4  # after the drain began
TURNED_AWAY = Answer(
    b"",
    Framing.LENGTH,
    status=503,
    headers=("X-Aspenbridge-Not-Executed: 1",),
    head_silence_s=0.4,
)


async def drain_beside(host, calling):
    """Drain a host; return the reply of a caller and when it came."""
    host.host.leaving = True
    begun_s = time.monotonic()
    draining = asyncio.create_task(host.ingress.drain(DRAIN_S))
    reply = await calling
    return reply, time.monotonic() - begun_s, draining


@pytest.mark.parametrize("path", ["online", "once"])
def test_request_that_waits_for_a_trial_is_refused_when_the_drain_begins(path):
    """Guards against a request that is held to the end and told 502."""

    async def check(host):
        claim = asyncio.Event()

        async def begin_run(_):
            await claim.wait()
            return True

        host.host.quarantine.begin_run = begin_run
        request_id = host.add_script([sound()])
        calling = asyncio.create_task(call_plainly(host.callers, path, request_id))
        await asyncio.sleep(0.1)
        reply, after_s, draining = await drain_beside(host, calling)
        claim.set()
        assert is_refusal(reply)
        assert after_s < AT_ONCE_S
        assert await draining
        assert sends(host, request_id) == 0

    with_host(check)


def test_request_whose_trial_is_claimed_as_it_is_refused_is_not_sent():
    """Guards against a request that was told "not run" and runs."""

    async def check(host):
        claim = asyncio.get_running_loop().create_future()
        host.host.quarantine.begin_run = lambda _: claim
        request_id = host.add_script([sound()])
        calling = asyncio.create_task(call_plainly(host.callers, "once", request_id))
        await asyncio.sleep(0.1)
        host.host.leaving = True
        claim.set_result(True)
        host.ingress.refuse_from_s = time.monotonic()
        assert await host.ingress.drain(DRAIN_S)
        assert is_refusal(await calling)
        assert sends(host, request_id) == 0

    with_host(check)


@pytest.mark.parametrize("path", ["online", "once"])
def test_request_that_an_engine_turns_away_during_a_drain_is_refused_at_once(path):
    """Guards against one that is passed on late and then cut."""

    async def check(host):
        request_id = host.add_script([TURNED_AWAY, sound(head_silence_s=9.0)])
        calling = asyncio.create_task(call_plainly(host.callers, path, request_id))
        await wait_sent(host, request_id)
        reply, after_s, draining = await drain_beside(host, calling)
        assert is_refusal(reply)
        assert after_s < TURNED_AWAY.head_silence_s + AT_ONCE_S
        assert await draining
        assert sends(host, request_id) == 1

    with_host(check)


def test_stream_that_has_begun_goes_on_at_another_engine_during_a_drain():
    async def check(host):
        broken = Answer(events=4, sent_bytes=30, body_silence_s=0.5)
        request_id = host.add_script([broken, sound()])
        calling = asyncio.create_task(call_plainly(host.callers, "online", request_id))
        await wait_sent(host, request_id)
        reply, _, draining = await drain_beside(host, calling)
        assert is_whole(reply)
        assert await draining
        assert sends(host, request_id) == 2

    with_host(check)


def test_call_that_waits_for_results_is_refused_when_the_drain_begins():
    async def check(host):
        job_id = await submit_item(host, [sound(head_silence_s=4.0)] * 4)

        async def read_results():
            async with connection(host.callers) as (reader, writer):
                writer.write(
                    f"GET /lots/{job_id}?after=0 HTTP/1.1\r\n"
                    "Host: a.example\r\nX-Aspenbridge-Wait-Ms: 5000\r\n\r\n".encode()
                )
                return await read_response(reader)

        calling = asyncio.create_task(read_results())
        await asyncio.sleep(0.2)
        assert not calling.done()
        reply, after_s, draining = await drain_beside(host, calling)
        assert is_refusal(reply)
        assert after_s < AT_ONCE_S
        assert await draining

    with_host(check)


def test_job_that_waits_for_the_store_is_refused_and_never_accepted():
    async def check(host):
        stored = asyncio.Event()
        service = host.host.job_service
        put = service._objects.put

        async def put_late(name, data):
            await stored.wait()
            return await put(name, data)

        service._objects.put = put_late
        calling = asyncio.create_task(submit_unchecked(host, "j1"))
        await asyncio.sleep(0.1)
        reply, after_s, draining = await drain_beside(host, calling)
        stored.set()
        assert is_refusal(reply)
        assert after_s < AT_ONCE_S
        assert await draining
        assert (await service._read_head("j1", current=True)).failure().status == 404

    with_host(check)


async def submit_unchecked(host, job_id):
    item = {"id": "i", "path": "/batch/i", "headers": {}, "body": "cQ==", "tokens": 1}
    body = json.dumps({"requests": [item]}).encode()
    head = (
        f"POST /batch/{job_id} HTTP/1.1\r\nHost: a.example\r\n"
        f"X-Aspenbridge-Attempt-Id: {job_id}\r\nContent-Length: {len(body)}\r\n\r\n"
    )
    async with connection(host.callers) as (reader, writer):
        writer.write(head.encode() + body)
        return await read_response(reader)


@pytest.mark.parametrize("before", [False, True])
def test_request_whose_body_is_incomplete_during_a_drain_is_refused_at_once(before):
    async def check(host):
        running = host.add_script([sound(body_silence_s=1.0)])
        calling = asyncio.create_task(call_plainly(host.callers, "once", running))
        await wait_sent(host, running)
        request_id = host.add_script([])
        head = request_head("once", request_id, f"Content-Length: {len(BODY)}")
        async with (
            connection(host.callers) as (first, first_writer),
            connection(host.callers) as (reader, writer),
        ):
            first_writer.write(whole_request("once", host.add_script([sound()])))
            assert is_whole(await read_response(first))
            if before:
                writer.write(head + BODY[:3])
                await asyncio.sleep(0.1)
            host.host.leaving = True
            host.ingress.refuse_from_s = begun_s = time.monotonic()
            if not before:
                writer.write(head + BODY[:3])
            else:
                draining = asyncio.create_task(host.ingress.drain(DRAIN_S))
            assert is_refusal(await read_response(reader))
            assert time.monotonic() - begun_s < AT_ONCE_S
            writer.write(BODY[3:])
            if not before:
                draining = asyncio.create_task(host.ingress.drain(DRAIN_S))
            assert is_whole(await calling)
            assert await draining
            assert await reader.read() == b""
        assert sends(host, request_id) == 0

    with_host(check)
