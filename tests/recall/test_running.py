"""Running work leaves an engine that a new revision forbids."""

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


def recalled_while_running(running, *, streamed=False, second=True):
    async def main(clock):
        fleet = ControlFleet(clock)
        fleet.add_engine("e1")
        fleet.add_engine("e2")
        async with AsyncExitStack() as stack:
            await fleet.start(stack, 2)
            await fleet.pass_s(5.0)
            host = fleet.hosts[0]
            (await fleet.put(host, engine("e1"))).unwrap()
            await host.follower.refresh()
            work = Work("w", "kgotso", "coder", "p", TOKENS, True, clock.now_s() + 60)
            generation = Generation(work, streamed=streamed)
            task = asyncio.ensure_future(consume(host, generation))
            await fleet.until(lambda: generation.tokens > 10)
            if second:
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


def test_running_work_starts_again_elsewhere_when_its_version_is_recalled() -> None:
    generation = recalled_while_running("stop")
    assert generation.served_by == ["coder@2"]
    assert generation.text == ANSWER


def test_running_work_ends_where_it_is_when_the_recall_lets_it_finish() -> None:
    generation = recalled_while_running("finish")
    assert generation.served_by == ["coder@1"]
    assert generation.text == ANSWER


def test_stream_ends_with_a_code_when_its_version_is_recalled() -> None:
    with pytest.raises(ProblemError) as caught:
        recalled_while_running("stop", streamed=True)
    assert caught.value.problem.code is ResultCode.STREAM_TRUNCATED


def test_running_work_is_refused_when_no_other_engine_is_left() -> None:
    with pytest.raises(ProblemError) as caught:
        recalled_while_running("stop", second=False)
    assert caught.value.problem.code is ResultCode.NO_ENGINE_ALLOWED
