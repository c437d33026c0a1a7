"""Answers that come while their request is written, over real sockets."""

from __future__ import annotations

import asyncio
import itertools
import json

import aiohttp
import psutil
import pytest

from aspenbridge import client_connections
from aspenbridge.backends import open_session
from aspenbridge.client_connections import InvalidAnswerError
from aspenbridge.loop import NumericAddressLoop, listening_socket
from aspenbridge.platform._connections import open_engine_session, open_store_session
from tests.platform.test_answer_ends import TEXT, item_result, submit_item, with_host
from tests.support.engine_scripts import (
    READ_DELAY_S,
    Answer,
    End,
    Framing,
    ScriptedEngine,
    stream_of,
)

EVENTS = 4
STREAM = stream_of(EVENTS)
WHOLE = b"the body of an answer that is not a stream"
KINDS = {"text/event-stream": STREAM, "text/plain": WHOLE}
PART_BYTES = {"text/event-stream": len(stream_of(2)), "text/plain": 9}
# More than the kernel of an engine takes that does not read, and more than the
# kernels of both ends.
UPLOADS = [b"u" * 1_000_000, b"u" * 4_000_000]
SESSIONS = [open_engine_session, open_store_session, open_session]
SOUND_EVENTS = Answer(events=EVENTS)


def broken_answers(content_type="text/event-stream"):
    """Return answers that stop midway, and whose engine reads no more."""
    return [
        Answer(
            KINDS[content_type],
            framing,
            end,
            sent_bytes=PART_BYTES[content_type],
            content_type=content_type,
            early=True,
        )
        for framing, end in itertools.product(
            Framing, (End.CLOSE, End.RESET, End.RESET_BEHIND_DATA)
        )
    ]


def sound_answers(content_type="text/event-stream"):
    """Return whole answers, whose engine reads the request to its end."""
    return [
        Answer(
            KINDS[content_type],
            framing,
            content_type=content_type,
            early=True,
            reads_on=True,
        )
        for framing in Framing
    ]


async def play(run_case, answers):
    """Return each answer that came out wrong, and how."""
    wrong = []
    # One after the other, since a host refuses bodies that it can't hold.
    for answer, upload in itertools.product(answers, UPLOADS):
        result = await run_case(answer, upload)
        if result is not None:
            case = answer.framing.value, answer.end.value, len(upload)
            wrong.append((*case, result))
    return wrong


# Guards against a part of an answer that counts as whole: its engine ended
# while the request was written, which closes the connection before the reset.
@pytest.mark.parametrize("content_type", KINDS)
def test_answer_that_is_reset_while_its_request_is_written_is_not_whole(content_type):
    async def check(host):
        async def run_case(answer, upload):
            reply = await host.call("once", [answer], body=upload)
            if not reply.complete:
                return None
            if reply.status != 502:
                return reply[:3]
            execution = json.loads(reply.body)["execution"]
            return None if execution == "outcome unknown" else execution

        assert await play(run_case, broken_answers(content_type)) == []

    with_host(check)


@pytest.mark.parametrize("content_type", KINDS)
def test_engine_that_reads_on_behind_its_answer_has_answered(content_type):
    async def check(host):
        async def run_case(answer, upload):
            reply = await host.call("once", [answer], body=upload)
            right = (200, KINDS[content_type], True)
            return None if reply[:3] == right else reply[:3]

        assert await play(run_case, sound_answers(content_type)) == []

    with_host(check)


@pytest.mark.parametrize("content_type", KINDS)
def test_another_engine_answers_when_one_resets_while_it_is_sent_the_request(
    content_type,
):
    async def check(host):
        async def run_case(answer, upload):
            reply = await host.call("online", [answer, SOUND_EVENTS], body=upload)
            return None if reply[:3] == (200, STREAM, True) else reply[:3]

        assert await play(run_case, broken_answers(content_type)) == []

    with_host(check)


def test_item_is_run_again_when_its_engine_resets_while_it_is_sent():
    async def check(host):
        async def run_case(answer, upload):
            script = [answer, SOUND_EVENTS, SOUND_EVENTS]
            item_id = await submit_item(host, script, body=upload[:1_000_000])
            async with asyncio.timeout(15.0):
                text = await item_result(host, item_id)
            return None if text == TEXT else text

        assert await play(run_case, broken_answers()) == []

    with_host(check)


async def read_answer(session, answer, upload):
    async with ScriptedEngine() as engine:
        engine.scripts[""] = [answer]
        url = f"http://127.0.0.1:{engine.port}/"
        async with session.post(url, data=upload) as response:
            return await response.read()


@pytest.mark.parametrize("open_client_session", SESSIONS)
def test_clients_fail_an_answer_that_is_reset_while_they_write(open_client_session):
    async def main():
        async with open_client_session() as session:

            async def run_case(answer, upload):
                try:
                    return await read_answer(session, answer, upload)
                except aiohttp.ClientError:
                    return None

            return await play(run_case, broken_answers("text/plain"))

    with asyncio.Runner(loop_factory=NumericAddressLoop) as runner:
        assert runner.run(main()) == []


@pytest.mark.parametrize("open_client_session", SESSIONS)
def test_clients_read_an_early_answer_whose_server_reads_on(open_client_session):
    async def main():
        async with open_client_session() as session:

            async def run_case(answer, upload):
                body = await read_answer(session, answer, upload)
                return None if body == WHOLE else body

            return await play(run_case, sound_answers("text/plain"))

    with asyncio.Runner(loop_factory=NumericAddressLoop) as runner:
        assert runner.run(main()) == []


@pytest.mark.parametrize("open_client_session", SESSIONS)
def test_answer_is_given_up_whose_server_does_not_read_the_rest(
    open_client_session, monkeypatch
):
    monkeypatch.setattr(client_connections, "DELIVERY_LIMIT_S", READ_DELAY_S / 4)

    async def main():
        (answer,) = (
            answer
            for answer in sound_answers("text/plain")
            if answer.framing is Framing.NONE
        )
        async with open_client_session() as session:
            await read_answer(session, answer, UPLOADS[0])

    with (
        asyncio.Runner(loop_factory=NumericAddressLoop) as runner,
        pytest.raises(InvalidAnswerError, match="bytes of the request"),
    ):
        runner.run(asyncio.wait_for(main(), 5.0))


@pytest.mark.parametrize("open_client_session", SESSIONS)
def test_reset_that_empties_the_queue_between_two_looks_fails_the_answer(
    open_client_session, monkeypatch
):
    looks = []

    def empty_queue(transport):
        looks.append(transport)
        return 0

    def reset_by_then(transport):
        return ConnectionResetError("reset") if looks else None

    monkeypatch.setattr(client_connections, "undelivered_bytes", empty_queue)
    monkeypatch.setattr(client_connections, "pending_error", reset_by_then)

    async def main():
        answer = Answer(WHOLE, Framing.NONE)
        async with open_client_session() as session:
            await read_answer(session, answer, b"q")

    with (
        asyncio.Runner(loop_factory=NumericAddressLoop) as runner,
        pytest.raises(aiohttp.ClientPayloadError),
    ):
        runner.run(asyncio.wait_for(main(), 5.0))


@pytest.mark.parametrize("open_client_session", SESSIONS)
def test_refused_answer_leaves_no_connection_whose_server_reads_nothing(
    open_client_session,
):
    async def main():
        loop = asyncio.get_running_loop()
        with listening_socket("127.0.0.1", 0) as listener:
            port = listener.getsockname()[1]

            async def serve():
                sock, _ = await loop.sock_accept(listener)
                await loop.sock_recv(sock, 1)
                await loop.sock_sendall(sock, b"HTTP/1.1 000 Status\r\n\r\n")
                return sock

            serving = asyncio.create_task(serve())
            async with open_client_session() as session:
                with pytest.raises(aiohttp.ClientError):
                    await session.post(f"http://127.0.0.1:{port}/", data=UPLOADS[1] * 4)
                await asyncio.sleep(READ_DELAY_S)
                connections = psutil.Process().net_connections()
                (await serving).close()
            return [c for c in connections if c.raddr and c.raddr.port == port]

    with asyncio.Runner(loop_factory=NumericAddressLoop) as runner:
        assert runner.run(asyncio.wait_for(main(), 5.0)) == []


@pytest.mark.parametrize("open_client_session", SESSIONS)
def test_body_without_a_length_is_broken_off_when_the_client_closes(
    open_client_session,
):
    async def main():
        async with ScriptedEngine() as engine, open_client_session() as session:
            engine.scripts[""] = [Answer(WHOLE, Framing.NONE, End.SILENCE)]
            async with session.get(f"http://127.0.0.1:{engine.port}/") as response:
                await response.content.readexactly(len(WHOLE))
                rest = asyncio.create_task(response.content.read())
                await asyncio.sleep(0)
                response.connection.protocol.close()
                return await rest

    with (
        asyncio.Runner(loop_factory=NumericAddressLoop) as runner,
        pytest.raises(aiohttp.ClientPayloadError),
    ):
        runner.run(asyncio.wait_for(main(), 5.0))
