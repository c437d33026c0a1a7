"""How answers end at the engine and at the caller, over real sockets."""

from __future__ import annotations

import asyncio
import base64
import itertools
import json
import socket
from typing import NamedTuple

import pytest

from aspenbridge.loop import NumericAddressLoop
from tests.support.engine_scripts import Answer, End, Framing, stream_of
from tests.support.scripted_host import HostUnderTest, read_reply

EVENTS = 4
STREAM = stream_of(EVENTS)
TEXT = "t0\nt1\nt2\nt3"
WHOLE = b"the body of an answer that is not a stream"


def with_host(check):
    async def main():
        async with HostUnderTest() as under_test:
            return await check(under_test)

    with asyncio.Runner(loop_factory=NumericAddressLoop) as runner:
        return runner.run(main())


class Moment(NamedTuple):
    """When an answer ends: after so much of its head or body."""

    name: str
    sent: dict[str, int]


STREAM_MOMENTS = (
    Moment("in the head", {"head_bytes": 90}),
    Moment("before the first event", {"sent_bytes": 0}),
    Moment("inside the first event", {"sent_bytes": 9}),
    Moment("inside an event", {"sent_bytes": len(stream_of(2)) + 9}),
    Moment("between events", {"sent_bytes": len(stream_of(2))}),
    Moment("after the last event", {"sent_bytes": len(STREAM)}),
    Moment("at the end", {}),
)
WHOLE_MOMENTS = (
    Moment("in the head", {"head_bytes": 90}),
    Moment("before the body", {"sent_bytes": 0}),
    Moment("in the body", {"sent_bytes": 9}),
    Moment("after the body", {"sent_bytes": len(WHOLE)}),
    Moment("at the end", {}),
)


def is_sound(framing: Framing, end: End, moment: Moment) -> bool:
    """
    Whether an answer that ends like this is whole, as far as it can be told.

    An answer without length and chunks that closes between two events, or in
    the body of an answer that is not a stream, looks like a shorter whole one.
    """
    if framing is Framing.NONE:
        ends = ("after the last event", "after the body", "at the end")
        whole = end is End.CLOSE and moment.name in ends
        return whole or is_cut_unnoticed(framing, end, moment)
    if framing is Framing.LENGTH:
        return moment.name.startswith("after the") or moment.name == "at the end"
    return moment.name == "at the end"


def is_cut_unnoticed(framing: Framing, end: End, moment: Moment) -> bool:
    closed = framing is Framing.NONE and end is End.CLOSE
    return closed and moment.name in ("between events", "in the body")


def broken(results, is_right) -> list[str]:
    """Return a line for each case that did not come out right."""
    return [
        f"{framing.value}, {end.value}, {moment.name}: {result[:3]}"
        for (framing, end, moment), result in results
        if not is_right(framing, end, moment, result)
    ]


async def play(run_case, moments):
    async def one(case):
        return case, await run_case(*case)

    return await asyncio.gather(
        *(one(case) for case in itertools.product(Framing, End, moments))
    )


def test_stream_that_may_run_once_is_complete_only_if_its_engine_ended_it():
    async def check(host):
        async def run_case(framing, end, moment):
            answer = Answer(STREAM, framing, end, **moment.sent)
            return await host.call("once", [answer])

        def is_right(framing, end, moment, reply):
            if is_sound(framing, end, moment):
                cut = is_cut_unnoticed(framing, end, moment)
                body = stream_of(2) if cut else STREAM
                return (reply.status, reply.body, reply.complete) == (200, body, True)
            return reply.status == 502 or not reply.complete

        assert broken(await play(run_case, STREAM_MOMENTS), is_right) == []

    with_host(check)


def test_resumable_stream_is_whole_although_its_first_run_breaks_off():
    async def check(host):
        async def run_case(framing, end, moment):
            rest = Answer(events=EVENTS)
            answer = Answer(STREAM, framing, end, **moment.sent)
            return await host.call("online", [answer, rest])

        def is_right(framing, end, moment, reply):
            cut = is_cut_unnoticed(framing, end, moment)
            body = stream_of(2) if cut else STREAM
            return (reply.status, reply.body, reply.complete) == (200, body, True)

        assert broken(await play(run_case, STREAM_MOMENTS), is_right) == []

    with_host(check)


def test_resumed_stream_is_complete_only_if_its_second_engine_ended_it():
    async def check(host):
        async def run_case(framing, end, moment):
            first = Answer(STREAM, end=End.RESET, sent_bytes=len(stream_of(1)))
            sent = dict(moment.sent)
            if "sent_bytes" in sent:
                sent["sent_bytes"] = max(0, sent["sent_bytes"] - len(stream_of(1)))
            if moment.name == "inside the first event":
                sent["sent_bytes"] = 9
            second = Answer(stream_of(EVENTS, 1), framing, end, **sent)
            return await host.call("online", [first, second])

        def is_right(framing, end, moment, reply):
            if is_sound(framing, end, moment):
                cut = is_cut_unnoticed(framing, end, moment)
                body = stream_of(2) if cut else STREAM
                return (reply.status, reply.body, reply.complete) == (200, body, True)
            return not reply.complete

        assert broken(await play(run_case, STREAM_MOMENTS), is_right) == []

    with_host(check)


def test_whole_answer_is_a_success_only_if_its_engine_ended_it():
    async def check(host):
        async def run_case(framing, end, moment):
            kind = "application/octet-stream"
            answer = Answer(WHOLE, framing, end, content_type=kind, **moment.sent)
            return await host.call("once", [answer])

        def is_right(framing, end, moment, reply):
            if is_sound(framing, end, moment):
                cut = is_cut_unnoticed(framing, end, moment)
                body = WHOLE[:9] if cut else WHOLE
                return (reply.status, reply.body, reply.complete) == (200, body, True)
            return reply.status == 502 or not reply.complete

        assert broken(await play(run_case, WHOLE_MOMENTS), is_right) == []

    with_host(check)


async def submit_item(host, answers, *, body=None) -> str:
    """
    Submit a job with one item; its id and the item's are the same.

    :param body: the item's; None for its id.
    """
    with await host.connect() as sock:
        item_id = host.add_script(answers)
        encoded = base64.b64encode(body or item_id.encode()).decode()
        item = {"id": item_id, "path": f"/batch/{item_id}", "headers": {}}
        job = {"requests": [item | {"body": encoded, "tokens": 10}]}
        data = json.dumps(job)
        lines = [
            f"POST /batch/{item_id} HTTP/1.1",
            "Host: a.example",
            f"X-Aspenbridge-Attempt-Id: {item_id}",
            f"Content-Length: {len(data)}",
        ]
        request = "\r\n".join([*lines, "", data]).encode()
        await asyncio.get_running_loop().sock_sendall(sock, request)
        assert (await read_reply(sock)).status == 202
        return item_id


async def item_result(host, item_id):
    service = host.host.job_service
    while not (page := (await service.results(item_id, 0, 1.0)).unwrap()).results:
        await asyncio.sleep(0.05)
    return page.results[0].text


@pytest.mark.parametrize("resumed", [False, True])
def test_item_has_its_whole_text_although_a_run_breaks_off(resumed):
    async def check(host):
        async def run_case(framing, end, moment):
            begun = 1 if resumed else 0
            before = len(stream_of(begun))
            first = Answer(STREAM, end=End.RESET, sent_bytes=before)
            sent = dict(moment.sent)
            if "sent_bytes" in sent:
                sent["sent_bytes"] = max(0, sent["sent_bytes"] - before)
            run = Answer(stream_of(EVENTS, begun), framing, end, **sent)
            rests = [Answer(events=EVENTS)] * 2
            script = [first, run, *rests] if resumed else [run, *rests]
            item_id = await submit_item(host, script)
            async with asyncio.timeout(15.0):
                return await item_result(host, item_id)

        def is_right(framing, end, moment, text):
            cut = is_cut_unnoticed(framing, end, moment)
            return text == ("t0\nt1" if cut else TEXT)

        moments = [m for m in STREAM_MOMENTS if m.name != "inside the first event"]
        assert broken(await play(run_case, moments), is_right) == []

    with_host(check)


def test_item_ends_although_all_its_answers_end_with_the_connection():
    async def check(host):
        unfinished = Answer(events=EVENTS, end=End.RESET, sent_bytes=len(STREAM))
        sound = Answer(events=EVENTS, framing=Framing.NONE)
        item_id = await submit_item(host, [unfinished, sound, sound])
        async with asyncio.timeout(15.0):
            assert await item_result(host, item_id) == TEXT
        assert host.engine.resumed_after[item_id] == [None, EVENTS - 1, EVENTS - 2]

    with_host(check)


BIG_EVENTS = 60_000  # more bytes than the buffers between host and caller hold
KERNEL_BUFFER_BYTES = 4096
BROKEN_OFF = {"sent_bytes": len(stream_of(2)) + 9}


@pytest.mark.parametrize("version", ["1.0", "1.1"])
@pytest.mark.parametrize("framing", Framing)
def test_sound_answers_reach_callers_of_each_http_version_whole(version, framing):
    async def check(host):
        stream = await host.call("once", [Answer(STREAM, framing)], version=version)
        assert stream[:3] == (200, STREAM, True)
        whole = Answer(WHOLE, framing, content_type="text/plain")
        reply = await host.call("once", [whole], version=version)
        assert reply[:3] == (200, WHOLE, True)
        assert reply.headers["Content-Length"] == str(len(WHOLE))

    with_host(check)


@pytest.mark.parametrize("version", ["1.0", "1.1"])
@pytest.mark.parametrize("end", End)
def test_broken_stream_does_not_look_complete_to_a_slow_caller(version, end):
    async def check(host):
        body = stream_of(BIG_EVENTS)
        answer = Answer(body, Framing.NONE, end, sent_bytes=len(body) - 3)
        with await host.connect() as sock:
            await host.send(sock, "once", [answer], version=version)
            await asyncio.sleep(0.3)
            reply = await read_reply(sock)
        assert not reply.complete

    with_host(check)


def test_whole_stream_reaches_a_slow_caller_whole():
    async def check(host):
        body = stream_of(BIG_EVENTS)
        with await host.connect() as sock:
            await host.send(sock, "once", [Answer(body, Framing.NONE)])
            await asyncio.sleep(0.3)
            assert (await read_reply(sock))[:3] == (200, body, True)

    with_host(check)


@pytest.mark.parametrize("version", ["1.0", "1.1"])
def test_kept_connection_ends_with_a_broken_stream_and_brings_nothing_more(version):
    async def check(host):
        keep = ("Connection: keep-alive",)
        whole = Answer(WHOLE, content_type="text/plain")
        with await host.connect() as sock:
            await host.send(sock, "once", [whole], version=version, headers=keep)
            assert (await read_reply(sock))[:3] == (200, WHOLE, True)
            broken_off = Answer(STREAM, Framing.NONE, End.RESET, **BROKEN_OFF)
            await host.send(sock, "once", [broken_off], version=version, headers=keep)
            reply = await read_reply(sock)
            assert not reply.complete
            assert b"HTTP/1" not in reply.body[len(b"HTTP/1") :]

    with_host(check)


@pytest.mark.parametrize("version", ["1.0", "1.1"])
def test_stream_cut_by_a_stop_of_the_host_does_not_look_complete(version):
    async def check(host):
        answer = Answer(STREAM, Framing.NONE, End.SILENCE, sent_bytes=len(stream_of(2)))
        with await host.connect() as sock:
            await host.send(sock, "once", [answer], version=version)
            await asyncio.sleep(0.2)
            assert not await host.ingress.drain(0.1)
            await host.ingress.__aexit__(None, None, None)
            reply = await read_reply(sock)
        assert not reply.complete

    with_host(check)


def test_stream_by_http_1_0_is_cut_if_the_host_is_killed_before_all_has_left():
    """Guards against an orderly close by the kernel without the last part."""

    async def check(host):
        body = stream_of(5000)  # fits into the write buffer of the process
        with await host.connect() as sock:
            await asyncio.sleep(0.1)
            (connection,) = host.ingress._caller_server.connections
            transport = connection.transport
            # The kernel keeps little, so that the rest waits in the process.
            for end in (sock, transport.get_extra_info("socket")):
                for option in (socket.SO_SNDBUF, socket.SO_RCVBUF):
                    end.setsockopt(socket.SOL_SOCKET, option, KERNEL_BUFFER_BYTES)
            await host.send(sock, "once", [Answer(body)], version="1.0")
            await asyncio.sleep(0.3)
            assert transport.get_write_buffer_size() > 0
            # As when the process is killed, what it has not written is lost.
            transport.abort()
            reply = await read_reply(sock)
        assert not reply.complete

    with_host(check)


def test_request_whose_body_is_cut_off_reaches_no_engine():
    async def check(host):
        for headers in (("Content-Length: 9",), ("Transfer-Encoding: chunked",)):
            with await host.connect() as sock:
                lines = ["POST /once/cut HTTP/1.1", "Host: a.example", *headers]
                part = "5\r\nabc" if "chunked" in headers[0] else "abc"
                data = "\r\n".join([*lines, "", part]).encode()
                await asyncio.get_running_loop().sock_sendall(sock, data)
                await asyncio.sleep(0.1)
                sock.shutdown(socket.SHUT_WR)
                assert (await read_reply(sock)).status != 200
        assert host.engine.resumed_after == {}

    with_host(check)
