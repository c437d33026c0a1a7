"""Requests beside signals to the process of a host, and its restart."""

from __future__ import annotations

import asyncio
import signal

import aiohttp
from aiohttp import web

from aspenbridge.entry import Address
from tests.platform.test_process import (
    HOST_IP,
    host_process,
    run_on_loop,
    wait_status,
)
from tests.support.raw_callers import (
    BODY,
    call_after_another,
    call_plainly,
    call_twice,
    connection,
    read_response,
    request_head,
)

EVENTS = 4
STREAM = b"".join(b"id: %d\ndata: w\n\n" % number for number in range(EVENTS))
SILENCE_S = 1.5  # the longest of a sound engine
LATE_S = 3.5  # after SIGTERM, when the load balancer has had its notice
RELOAD_INTERVAL_S = 0.2


class SilentEngine:
    """
    Answers with a stream and counts the sends by id.

    Is silent before the head and after the first event, in seconds.
    """

    def __init__(self, event_silence_s=SILENCE_S):
        self._event_silence_s = event_silence_s
        self.sends = {}

    async def __call__(self, request):
        await request.read()
        request_id = request.headers["X-Aspenbridge-Attempt-Id"]
        self.sends[request_id] = self.sends.get(request_id, 0) + 1
        response = web.StreamResponse(
            headers={
                "X-Aspenbridge-Attempt-Id": request_id,
                "X-Aspenbridge-Server-Stamp": "s",
                "Content-Type": "text/event-stream",
            }
        )
        response.enable_chunked_encoding()
        await asyncio.sleep(SILENCE_S)
        await response.prepare(request)
        first = STREAM.find(b"\n\n") + 2
        await response.write(STREAM[:first])
        await asyncio.sleep(self._event_silence_s)
        await response.write(STREAM[first:])
        return response


def is_whole(reply) -> bool:
    return reply[:3] == (200, STREAM, True)


def with_process(tmp_path, engine, check):
    async def main():
        async with (
            host_process(tmp_path, engine) as (process, ports, path),
            aiohttp.ClientSession() as session,
        ):
            ready_url = f"http://{HOST_IP}:{ports[1]}/readyz"
            await wait_status(session, ready_url, 200)
            # Output that is not read would fill the pipe.
            reading = asyncio.create_task(process.stdout.read())
            callers = Address(HOST_IP, ports[0])
            await check(engine, callers, process, path)
            reading.cancel()

    run_on_loop(main())


def test_reloads_do_no_harm_to_requests_whose_engine_is_silent(tmp_path):
    async def check(engine, callers, process, path):
        async def reload():
            for number in range(12):
                if number % 2:
                    path.write_text(path.read_text() + f"\n# change {number}\n")
                process.send_signal(signal.SIGHUP)
                await asyncio.sleep(RELOAD_INTERVAL_S)

        reloading = asyncio.create_task(reload())
        replies = await asyncio.gather(
            call_plainly(callers, "a", "r1"),
            call_after_another(callers, "a", "r2", "r3"),
            call_twice(callers, "a", "r4", "r5"),
        )
        await reloading
        assert is_whole(replies[0])
        assert all(is_whole(reply) for reply in [*replies[1], *replies[2]])
        assert engine.sends == dict.fromkeys(("r1", "r2", "r3", "r4", "r5"), 1)

    # Two requests in a row have to end within the route's time limit.
    with_process(tmp_path, SilentEngine(event_silence_s=0.5), check)


def test_each_request_that_a_stopping_process_reads_is_answered_or_refused(tmp_path):
    async def check(engine, callers, process, path):
        head = request_head("a", "late", f"Content-Length: {len(BODY)}")
        async with connection(callers) as (reader, writer):
            writer.write(head + BODY[:2])
            running = [
                asyncio.create_task(call_plainly(callers, "a", "r1")),
                asyncio.create_task(call_twice(callers, "a", "r2", "r3")),
            ]
            await asyncio.sleep(0.2)
            process.send_signal(signal.SIGTERM)
            await asyncio.sleep(0.2)
            running.append(asyncio.create_task(call_plainly(callers, "a", "r4")))
            await asyncio.sleep(LATE_S)
            writer.write(BODY[2:])
            late = await read_response(reader)
        first, (second, queued), during = await asyncio.gather(*running)
        assert all(is_whole(reply) for reply in (first, second, during))
        assert (late.status, queued.status) == (503, 503)
        assert all(float(r.headers["Retry-After"]) < 1 for r in (late, queued))
        assert engine.sends == {"r1": 1, "r2": 1, "r4": 1}
        assert await process.wait() == 0

    with_process(tmp_path, SilentEngine(), check)
