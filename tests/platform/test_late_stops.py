"""Stops of a host whose event loop or store is late."""

from __future__ import annotations

import asyncio
import base64
import json
import os
import signal
import socket
import time

import aiohttp
import pytest

from aspenbridge.clock import SystemClock
from aspenbridge.loop import NumericAddressLoop
from aspenbridge.platform import _serve
from aspenbridge.platform._stop_signal import STOP_SIGNALS, StopSignal
from tests.platform.test_planned_work import is_refusal, sends, sound, with_host
from tests.platform.test_planned_work_signals import SilentEngine, is_whole
from tests.platform.test_process import (
    HOST_IP,
    ROUTE,
    host_process,
    run_on_loop,
    wait_status,
)
from tests.support.platform_standins import configuration
from tests.support.raw_callers import (
    BODY,
    call_plainly,
    connection,
    read_response,
    request_head,
    whole_request,
)

BLOCK_S = 0.5
LATE_S = 2.8  # after SIGTERM; the notice has ended
BATCH_ROUTE = {
    "name": "batch",
    "host": "a.example",
    "prefix": "/batch/",
    "routeKind": "batch",
    "timeoutMs": 5000,
    "latencyGoalMs": 300,
    "completionTargetMs": 60_000,
    "retainS": 60,
    "service": "llm",
    "maxAttempts": 3,
}


def block(duration_s) -> None:
    """Keep the event loop from running."""
    end_s = time.monotonic() + duration_s
    while time.monotonic() < end_s:
        pass


def test_arrival_of_a_signal_to_stop_is_noted_while_the_loop_is_late():
    async def check():
        stop_signal = StopSignal(SystemClock())
        before = {number: signal.getsignal(number) for number in STOP_SIGNALS}
        stop_signal.watch()
        sent_s = time.monotonic()
        os.kill(os.getpid(), signal.SIGTERM)
        block(BLOCK_S)
        await stop_signal.arrived.wait()
        loop = asyncio.get_running_loop()
        for number, handler in before.items():
            loop.remove_signal_handler(number)
            signal.signal(number, handler)
        return stop_signal.arrived_s - sent_s

    with asyncio.Runner(loop_factory=NumericAddressLoop) as runner:
        assert 0 <= runner.run(check()) < BLOCK_S / 5


@pytest.mark.parametrize("path", ["online", "once"])
def test_request_after_the_notice_is_refused_although_the_drain_is_late(path):
    async def check(host):
        host.host.leaving = True
        host.ingress.refuse_from_s = time.monotonic()
        request_id = host.add_script([sound()])
        assert is_refusal(await call_plainly(host.callers, path, request_id))
        assert sends(host, request_id) == 0

    with_host(check)


def test_notice_and_time_limit_of_a_shutdown_count_from_its_signal():
    """Guards against a host that is killed with answers in hand."""

    async def check(host):
        settings = host.host.settings
        request_id = host.add_script([sound(head_silence_s=9.0)])
        calling = asyncio.create_task(call_plainly(host.callers, "once", request_id))
        await asyncio.sleep(0.1)
        begun_s = time.monotonic()
        asked_s = begun_s - settings.bounds.shutdown_s + 1.5
        await _serve._shut_down(host.host, host.ingress, settings, asked_s)
        assert (await calling).status == 502
        assert time.monotonic() - begun_s < 1.5

    with_host(check)


@pytest.mark.parametrize("accepted", [False, True])
def test_request_that_a_late_loop_has_not_read_when_a_drain_begins_is_refused(accepted):
    """Guards against a request that waits in the system and is cut."""

    async def check(host):
        host.host.leaving = True
        request_id = host.add_script([sound()])
        with socket.socket() as sock:
            # The loop does not run between these calls and the drain.
            sock.connect((host.callers.ip, host.callers.port))
            if accepted:
                await asyncio.sleep(0.1)
            sock.send(whole_request("once", request_id))
            sock.setblocking(False)
            assert await host.ingress.drain(1.0)
            reader, writer = await asyncio.open_connection(sock=sock)
            assert is_refusal(await read_response(reader))
            writer.close()
        assert sends(host, request_id) == 0

    with_host(check)


async def submit_job(callers) -> int:
    """Submit a job with one item; return the status."""
    item = {"id": "i1", "path": "/batch/i1", "headers": {}, "tokens": 10}
    body = json.dumps(
        {"requests": [item | {"body": base64.b64encode(b"q").decode()}]}
    ).encode()
    head = (
        "POST /batch/j1 HTTP/1.1\r\nHost: a.example\r\n"
        f"X-Aspenbridge-Attempt-Id: j1\r\nContent-Length: {len(body)}\r\n\r\n"
    )
    async with connection(callers) as (reader, writer):
        writer.write(head.encode() + body)
        return (await read_response(reader)).status


def test_process_refuses_late_requests_while_the_store_delays_its_release(tmp_path):
    """Guards against a request that is cut, since it came late in a stop."""
    stores = []

    def fill_store(store):
        stores.append(store)
        store.write("op", "config", configuration(4, [ROUTE, BATCH_ROUTE]))

    async def check():
        engine = SilentEngine()
        async with (
            host_process(tmp_path, engine, fill_store) as (process, ports, _),
            aiohttp.ClientSession() as session,
        ):
            await wait_status(session, f"http://{HOST_IP}:{ports[1]}/readyz", 200)
            reading = asyncio.create_task(process.stdout.read())
            callers = _serve.Address(HOST_IP, ports[0])
            assert await submit_job(callers) == 202
            stores[0].delay_s = 30.0
            process.send_signal(signal.SIGTERM)
            await asyncio.sleep(1.0)
            calling = asyncio.create_task(call_plainly(callers, "a", "early"))
            async with connection(callers) as (reader, writer):
                await asyncio.sleep(LATE_S - 1.0)
                writer.write(whole_request("a", "late"))
                late = await read_response(reader)
            assert is_whole(await calling)
            assert await process.wait() == 0
            await reading
            return late, engine.sends

    late, engine_sends = run_on_loop(check())
    assert is_refusal(late) or (late.status == 0 and not late.body)
    assert "late" not in engine_sends


def test_callers_that_wait_in_a_stopping_process_are_told_so_after_the_notice(tmp_path):
    """Guards against calls that are held to the end and told 502."""

    def fill_store(store):
        store.write("op", "config", configuration(4, [ROUTE, BATCH_ROUTE]))

    async def answer_of(callers, data, stopped_s):
        async with connection(callers) as (reader, writer):
            writer.write(data)
            return await read_response(reader), time.monotonic() - stopped_s

    async def check():
        async with (
            host_process(tmp_path, SilentEngine(), fill_store) as (process, ports, _),
            aiohttp.ClientSession() as session,
        ):
            await wait_status(session, f"http://{HOST_IP}:{ports[1]}/readyz", 200)
            reading = asyncio.create_task(process.stdout.read())
            callers = _serve.Address(HOST_IP, ports[0])
            assert await submit_job(callers) == 202
            process.send_signal(signal.SIGTERM)
            stopped_s = time.monotonic()
            await asyncio.sleep(2.4)
            results = (
                b"GET /lots/j1?after=0 HTTP/1.1\r\nHost: a.example\r\n"
                b"X-Aspenbridge-Wait-Ms: 5000\r\n\r\n"
            )
            body = request_head("a", "r1", f"Content-Length: {len(BODY)}") + BODY[:3]
            answers = await asyncio.gather(
                answer_of(callers, results, stopped_s),
                answer_of(callers, body, stopped_s),
            )
            assert await process.wait() == 0
            return answers, [json.loads(line) for line in (await reading).splitlines()]

    answers, lines = run_on_loop(check())
    for reply, after_s in answers:
        assert is_refusal(reply)
        assert after_s < LATE_S + BLOCK_S
    told = {line["event"]: line for line in lines}
    assert told["stop begins"]["signal"]
    assert told["drain begins"]["waiting"] == 2
    given_up = [line for line in lines if line["event"] == "request given up"]
    assert {line["request"] for line in given_up} == {"", "r1"}
    assert not any(line["passed_on"] for line in given_up)
    assert told["drain ended"]["running"] == 0
