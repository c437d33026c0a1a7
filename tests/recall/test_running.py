"""
Running work on an engine whose model version is recalled.

Guards against work that goes on there although the recall stops it, and
against wrong text or a wrong result code when the work moves or ends.
"""

from __future__ import annotations

import asyncio
from contextlib import AsyncExitStack

import pytest

from aspenbridge.configuration import ConfigObject
from aspenbridge.embedded import token_text
from aspenbridge.online import Generation
from aspenbridge.result_codes import ProblemError, ResultCode
from aspenbridge.work import Work
from tests.support.control_fleet import ControlFleet, engine
from tests.support.virtual_loop import run_virtual

TOKENS = 100
ANSWER = "".join(token_text("p", index) for index in range(TOKENS))


def run_with_recall(running, *, streamed=False, second_engine=True):
    async def main(clock):
        fleet = ControlFleet(clock)
        fleet.add_engine("e1")
        fleet.add_engine("e2")
        async with AsyncExitStack() as stack:
            await fleet.start(stack, 2)
            await fleet.advance(5.0)
            host = fleet.hosts[0]
            (await fleet.put(host, engine("e1"))).unwrap()
            await host.follower.refresh()
            work = Work("w", "kgotso", "coder", "p", TOKENS, True, clock.now_s() + 60)
            generation = Generation(work, streamed=streamed)
            task = asyncio.ensure_future(consume(host, generation))
            await fleet.wait_until(lambda: generation.tokens > 10)
            if second_engine:
                await fleet.put(host, engine("e2", version="2"))
                await host.follower.refresh()
            spec = {"selector": "coder@1", "running": running}
            accepted = await fleet.put(host, ConfigObject("recall", "r", spec))
            await host.announce(accepted.unwrap().revision)
            await task
            return generation

    async def consume(host, generation):
        async for _ in host.generator.run(generation):
            pass

    return run_virtual(main)


def test_running_work_restarts_on_another_engine_when_its_version_is_recalled() -> None:
    generation = run_with_recall("stop")
    assert generation.served_by == ["coder@2"]
    assert generation.text == ANSWER


def test_running_work_completes_on_its_engine_when_the_recall_lets_it_finish() -> None:
    generation = run_with_recall("finish")
    assert generation.served_by == ["coder@1"]
    assert generation.text == ANSWER


def test_stream_ends_with_a_result_code_when_its_version_is_recalled() -> None:
    with pytest.raises(ProblemError) as caught:
        run_with_recall("stop", streamed=True)
    assert caught.value.problem.code is ResultCode.STREAM_TRUNCATED


def test_running_work_is_refused_when_no_other_engine_is_allowed() -> None:
    with pytest.raises(ProblemError) as caught:
        run_with_recall("stop", second_engine=False)
    assert caught.value.problem.code is ResultCode.NO_ENGINE_ALLOWED
