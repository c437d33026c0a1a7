"""
A generation yields each token once and frees its slot whatever happens.

Guards against lost or repeated text when a slot is revoked or an engine
crashes, against truncated streams that are taken as complete, and against
slots that stay occupied when the caller is cancelled or the deadline passes.
"""

from __future__ import annotations

import asyncio
from contextlib import aclosing

import pytest

from aspenbridge.embedded import token_text
from aspenbridge.limits import RetryBudget
from aspenbridge.online import Generation
from aspenbridge.ports import GeneratedChunk
from aspenbridge.result_codes import ProblemError, ResultCode
from tests.scheduling.hosts import TestFleet
from tests.support.virtual_loop import run_virtual


def expected_text(work) -> str:
    return "".join(token_text(work.prompt, n) for n in range(work.max_tokens))


async def finish(host, work) -> Generation:
    generation = Generation(work)
    async with aclosing(host.generator.run(generation)) as chunks:
        async for _ in chunks:
            pass
    return generation


def test_preempted_batch_work_yields_each_token_once_when_it_resumes() -> None:
    async def scenario(clock):
        fleet = TestFleet(clock, online_headroom=0.0)
        await fleet.wait_past_grace()
        origin, other = fleet.others
        batch_work = origin.work(clock, online=False, tokens=60)
        batch = [asyncio.ensure_future(finish(origin, batch_work)) for _ in range(8)]
        await asyncio.sleep(0.3)
        online = await finish(other, other.work(clock))
        done = await asyncio.gather(*batch)
        assert online.text == expected_text(online.work)
        assert {item.text for item in done} == {expected_text(batch_work)}
        assert sum(item.revocations for item in done) == 1
        assert not any(item.failed_on for item in done)

    run_virtual(scenario)


def test_generation_resumes_elsewhere_when_its_engine_crashes() -> None:
    async def scenario(clock):
        fleet = TestFleet(clock, engines=2)
        await fleet.wait_past_grace()
        host = fleet.others[0]
        work = host.work(clock)
        task = asyncio.ensure_future(finish(host, work))
        await asyncio.sleep(0.1)
        for engine in fleet.engines.engines.values():
            if engine.report().running:
                engine.crash()
        done = await task
        assert done.text == expected_text(work)
        assert len(done.failed_on) == 1

    run_virtual(scenario)


def test_generation_fails_as_truncated_when_the_budget_is_spent() -> None:
    async def scenario(clock):
        fleet = TestFleet(clock, engines=2)
        await fleet.wait_past_grace()
        host = fleet.others[0]
        host.generator._budget = RetryBudget(0.0, burst=0.0)
        task = asyncio.ensure_future(finish(host, host.work(clock)))
        await asyncio.sleep(0.1)
        for engine in fleet.engines.engines.values():
            engine.crash()
        with pytest.raises(ProblemError) as raised:
            await task
        assert raised.value.problem.code is ResultCode.STREAM_TRUNCATED

    run_virtual(scenario)


def test_stream_without_a_finish_reason_is_not_taken_as_complete() -> None:
    async def scenario(clock):
        fleet = TestFleet(clock)
        await fleet.wait_past_grace()
        host = fleet.others[0]

        async def generate_cut_stream(engine, call):
            yield GeneratedChunk("half ", 1)

        fleet.engines.generate = generate_cut_stream
        generation = Generation(host.work(clock))
        with pytest.raises(ProblemError) as raised:
            async for _ in host.generator.run(generation):
                pass
        assert raised.value.problem.code is ResultCode.STREAM_TRUNCATED

    run_virtual(scenario)


def test_engine_and_slot_are_free_when_the_caller_is_cancelled() -> None:
    async def scenario(clock):
        fleet = TestFleet(clock)
        await fleet.wait_past_grace()
        host = fleet.others[0]
        task = asyncio.ensure_future(finish(host, host.work(clock, tokens=500)))
        await asyncio.sleep(0.2)
        assert fleet.engines.engines["e0"].report().running == 1
        task.cancel()
        await asyncio.sleep(0.1)
        assert fleet.engines.engines["e0"].report().running == 0
        group = fleet.owner.scheduler.owner.groups()["m/r"]
        assert group.running == 0
        assert group.slots.engine("e0").state == "healthy"

    run_virtual(scenario)


def test_generation_stops_at_the_engine_when_its_deadline_passes() -> None:
    async def scenario(clock):
        fleet = TestFleet(clock)
        await fleet.wait_past_grace()
        host = fleet.others[0]
        work = host.work(clock, tokens=500, remaining_s=0.5)
        with pytest.raises(ProblemError) as raised:
            await finish(host, work)
        assert raised.value.problem.code is ResultCode.DEADLINE_EXCEEDED
        assert clock.now_s() == pytest.approx(work.deadline_s, abs=0.05)
        assert fleet.engines.engines["e0"].report().running == 0

    run_virtual(scenario)


@pytest.mark.parametrize("current_at_first", [False, True])
def test_generation_starts_nothing_when_the_revision_may_be_outdated(
    current_at_first,
) -> None:
    async def scenario(clock):
        fleet = TestFleet(clock)
        await fleet.wait_past_grace()
        host = fleet.others[0]
        answers = iter([current_at_first])
        host.generator.may_start = lambda: next(answers, False)
        with pytest.raises(ProblemError) as raised:
            await finish(host, host.work(clock))
        started = sum(
            item.generations_started for item in fleet.engines.engines.values()
        )
        return raised.value.problem.code, started

    code, started = run_virtual(scenario)
    assert code is ResultCode.CONFIGURATION_UNKNOWN
    assert started == 0
