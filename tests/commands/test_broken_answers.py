"""Commands whose host answers with what is no answer, over real sockets."""

from __future__ import annotations

import asyncio

import attrs
import pytest
from cleo.testers.command_tester import CommandTester

import aspenbridge.loop
from aspenbridge.commands import application
from aspenbridge.commands._client import ApiClient, UnreachableError
from aspenbridge.commands._exit_codes import UNREACHABLE
from aspenbridge.loop import NumericAddressLoop
from tests.platform.test_broken_heads import BROKEN_HEADS, play
from tests.support.engine_scripts import Answer, End, Framing, ScriptedEngine

REPLY = b'{"state":"done"}'
# Bodies that end with their connection, which is reset instead.
BROKEN_BODIES = [
    Answer(REPLY, Framing.NONE, end) for end in (End.RESET, End.RESET_BEHIND_DATA)
]


def run(main):
    with asyncio.Runner(loop_factory=NumericAddressLoop) as runner:
        return runner.run(asyncio.wait_for(main, 20.0))


async def job_reply(answer):
    """Return the reply to a job command if it takes the answer for one."""
    async with ScriptedEngine() as server:
        server.scripts[""] = [answer]
        async with ApiClient(f"http://127.0.0.1:{server.port}", "k") as client:
            try:
                return await client.call("POST", "/x", b"{}")
            except UnreachableError:
                return None


def test_job_command_takes_no_reply_with_a_broken_head():
    async def run_case(answer):
        return await job_reply(attrs.evolve(answer, body=REPLY))

    assert run(play(run_case, BROKEN_HEADS, "text/plain")) == []


@pytest.mark.parametrize("answer", BROKEN_BODIES, ids=lambda answer: answer.end.value)
def test_job_command_takes_no_reply_that_is_reset(answer):
    assert run(job_reply(answer)) is None


async def operator_exit_code(answer, monkeypatch):
    async with ScriptedEngine() as server:
        server.scripts[""] = [answer]
        coroutines = []
        with monkeypatch.context() as patch:
            patch.setattr(
                aspenbridge.loop, "run_on_loop", lambda main: coroutines.append(main)
            )
            url = f"http://127.0.0.1:{server.port}"
            tester = CommandTester(application().find("operator status"))
            tester.execute(f"--json --url {url} --key k")
        return await coroutines.pop()


def test_operator_command_takes_no_reply_with_a_broken_head(monkeypatch):
    async def run_case(answer):
        code = await operator_exit_code(attrs.evolve(answer, body=REPLY), monkeypatch)
        return None if code == UNREACHABLE else code

    assert run(play(run_case, BROKEN_HEADS, "text/plain")) == []


@pytest.mark.parametrize("answer", BROKEN_BODIES, ids=lambda answer: answer.end.value)
def test_operator_command_takes_no_reply_that_is_reset(answer, monkeypatch):
    assert run(operator_exit_code(answer, monkeypatch)) == UNREACHABLE
