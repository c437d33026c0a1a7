"""A host shuts down without interrupting requests, and reports dead tasks."""

from __future__ import annotations

import asyncio
from contextlib import AsyncExitStack

import pytest

from tests.support.demo_host import start_host
from tests.support.virtual_loop import run_virtual


def test_drain_reports_not_ready_before_it_refuses_work_when_told_to_stop() -> None:
    async def scenario(clock):
        async with AsyncExitStack() as stack:
            _, host = await start_host(stack, clock)
            states = [(host.ready, host.accepting)]
            draining = asyncio.create_task(host.drain())
            await asyncio.sleep(1.0)
            states.append((host.ready, host.accepting))
            await draining
            states.append((host.ready, host.accepting))
            return states, host.state

    states, state = run_virtual(scenario)
    assert states == [(True, True), (False, True), (False, False)]
    assert state == "stopped"


@pytest.mark.parametrize(("runs_s", "ended"), [(30.0, True), (100.0, False)])
def test_drain_waits_up_to_its_limit_when_requests_run(runs_s, ended) -> None:
    async def scenario(clock):
        async with AsyncExitStack() as stack:
            _, host = await start_host(stack, clock)
            request = asyncio.create_task(
                host.running.run_shielded(asyncio.sleep(runs_s))
            )
            await asyncio.sleep(0)
            started_s = clock.now_s()
            result = await host.drain()
            waited_s = clock.now_s() - started_s
            request.cancel()
            return result, waited_s, host.settings.limits

    result, waited_s, limits = run_virtual(scenario)
    assert result is ended
    limit_s = limits.shutdown_notice_s + limits.shutdown_limit_s
    assert waited_s == pytest.approx(runs_s if ended else limit_s)


def test_accepted_work_runs_to_its_end_when_its_caller_is_cancelled() -> None:
    async def scenario(clock):
        done = []

        async def work():
            await asyncio.sleep(5.0)
            done.append(True)

        async with AsyncExitStack() as stack:
            _, host = await start_host(stack, clock)
            caller = asyncio.create_task(host.running.run_shielded(work()))
            await asyncio.sleep(1.0)
            caller.cancel()
            await host.running.wait_idle()
        return done

    assert run_virtual(scenario) == [True]


def test_supervisor_reports_a_fault_when_a_task_dies() -> None:
    async def scenario(clock):
        async def dies():
            raise ValueError("broken loop")

        async with AsyncExitStack() as stack:
            _, host = await start_host(stack, clock)
            before = host.supervisor.task_died.is_set()
            host._start(dies())
            await asyncio.sleep(1.0)
            return before, host.supervisor.task_died.is_set()

    assert run_virtual(scenario) == (False, True)
