"""A host leaves without cutting a request and notices dead tasks."""

from __future__ import annotations

import asyncio
from contextlib import AsyncExitStack

import pytest

from tests.support.demo_host import start_host
from tests.support.virtual_loop import run_virtual


def test_drain_is_not_ready_before_it_refuses_when_told_to_stop() -> None:
    async def scenario(clock):
        async with AsyncExitStack() as stack:
            _, host = await start_host(stack, clock)
            seen = [(host.ready, host.accepting)]
            draining = asyncio.create_task(host.drain())
            await asyncio.sleep(1.0)
            seen.append((host.ready, host.accepting))
            await draining
            seen.append((host.ready, host.accepting))
            return seen, host.state

    seen, state = run_virtual(scenario)
    assert seen == [(True, True), (False, True), (False, False)]
    assert state == "stopped"


@pytest.mark.parametrize(("runs_s", "ended"), [(30.0, True), (100.0, False)])
def test_drain_waits_up_to_its_limit_when_requests_run(runs_s, ended) -> None:
    async def scenario(clock):
        async with AsyncExitStack() as stack:
            _, host = await start_host(stack, clock)
            request = asyncio.create_task(host.running.finish(asyncio.sleep(runs_s)))
            await asyncio.sleep(0)
            started_s = clock.now_s()
            result = await host.drain()
            waited_s = clock.now_s() - started_s
            request.cancel()
            return result, waited_s, host.settings.limits

    result, waited_s, limits = run_virtual(scenario)
    assert result is ended
    most_s = limits.shutdown_notice_s + limits.shutdown_limit_s
    assert waited_s == pytest.approx(runs_s if ended else most_s)


def test_accepted_work_ends_when_its_caller_goes_away() -> None:
    async def scenario(clock):
        done = []

        async def work():
            await asyncio.sleep(5.0)
            done.append(True)

        async with AsyncExitStack() as stack:
            _, host = await start_host(stack, clock)
            caller = asyncio.create_task(host.running.finish(work()))
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
            before = host.supervisor.fault.is_set()
            host._start(dies())
            await asyncio.sleep(1.0)
            return before, host.supervisor.fault.is_set()

    assert run_virtual(scenario) == (False, True)
