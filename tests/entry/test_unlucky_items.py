"""Batch items under which engines crash of themselves."""

from __future__ import annotations

import asyncio

import pytest

from aspenbridge.quarantine import CRASHES_TABLE
from tests.entry.test_crashing_requests import (
    CRASHING,
    crashes_of,
    read_results,
    stored_crashes,
    submit,
    with_fleet,
)

ITEMS = 12
EVENTS = 150  # three seconds of an engine's work
TEXT = "\n".join(f"t{number}" for number in range(EVENTS))
CRASHING_S = 36.0  # shorter than the jobs may last
CRASH_INTERVAL_S = 0.4
CALM_S = 5.0  # after which each item has to be placed
RUN_S = 4.0  # longer than a whole run


async def crash_under_items(fleet):
    """Crash each engine that runs an item, again and again."""
    until_s = fleet.clock.now_s() + CRASHING_S
    while fleet.clock.now_s() < until_s:
        busy = {run.engine for run in fleet.engines.runs if run.ended_s is None}
        for engine in busy - fleet.engines.down:
            fleet.engines.crash(engine)
        await asyncio.sleep(CRASH_INTERVAL_S)


async def all_done(fleet):
    results = {}
    for name in fleet.hosts:
        results = await read_results(fleet, host=name)
    return results == {f"j1-{n}": TEXT for n in range(ITEMS)}


def bodies():
    return [b"item %d" % number for number in range(ITEMS)]


@pytest.mark.parametrize("new_id", [False, True])
@pytest.mark.parametrize("down_s", [0.4, 2.0])
def test_item_under_which_engines_crashed_is_finished_once_all_is_calm(new_id, down_s):
    async def check(fleet):
        fleet.returns_under_new_id, fleet.engine_down_s = new_id, down_s
        await submit(fleet, bodies())
        await crash_under_items(fleet)
        await asyncio.sleep(CALM_S + RUN_S)
        assert await all_done(fleet)

    with_fleet(check, events=EVENTS)


@pytest.mark.parametrize("restarted", [["h0"], ["h0", "h1", "h2"]])
def test_item_under_which_engines_crashed_is_finished_by_another_owner(restarted):
    async def check(fleet):
        fleet.engine_down_s = 0.4
        await submit(fleet, bodies())
        await crash_under_items(fleet)
        for name in restarted:
            await fleet.kill(name)
        for name in restarted[1:]:
            await fleet.start(name)
        takeover_s = 6.0
        await asyncio.sleep(takeover_s + CALM_S + RUN_S)
        assert await all_done(fleet)

    with_fleet(check, events=EVENTS)


def test_item_under_which_engines_crashed_is_finished_while_hosts_change():
    async def check(fleet):
        fleet.engine_down_s = 0.4
        await submit(fleet, bodies())
        crashing = asyncio.create_task(crash_under_items(fleet))
        for number in range(3):
            await asyncio.sleep(10.0)
            await fleet.kill(f"h{number}")
            await fleet.start(f"h{number}")
        await crashing
        await asyncio.sleep(CALM_S + RUN_S)
        assert await all_done(fleet)

    with_fleet(check, events=EVENTS)


def test_item_is_never_quarantined():
    async def check(fleet):
        fleet.engine_down_s = 0.4
        await submit(fleet, bodies())
        await crash_under_items(fleet)
        for host in fleet.hosts.values():
            assert len(host.quarantine._ledger) == 0
        assert stored_crashes(fleet) == []

    with_fleet(check, events=EVENTS)


def test_item_that_crashes_each_engine_is_retried_with_delays_until_its_job_expires():
    async def check(fleet):
        await submit(fleet, [b"one", CRASHING, b"three"])
        await asyncio.sleep(59.0)
        assert set(await read_results(fleet)) == {"j1-0", "j1-2"}
        # Delays of 0.1 s, doubled up to 4 s, leave room for so many runs.
        assert 10 <= len(crashes_of(fleet)) <= 7 + 60 / 4.0
        await asyncio.sleep(10.0)
        assert (await read_results(fleet))["j1-1"] is None

    with_fleet(check)


def test_item_that_waits_for_its_next_run_takes_no_slot_from_others():
    async def check(fleet):
        await submit(fleet, [CRASHING])
        async with asyncio.timeout(40.0):
            while len(crashes_of(fleet)) < 8:
                await asyncio.sleep(0.1)
        host = fleet.hosts["h0"]
        assert not host.load_view.own_loads()

        def fail():
            raise AssertionError("a slot was taken")

        host.load_view.on_own_change = fail
        await asyncio.sleep(2.5)
        assert not host.task_died.is_set()

    with_fleet(check)


def test_item_under_which_engines_crashed_is_finished_during_an_outage_of_the_store():
    async def check(fleet):
        await submit(fleet, [CRASHING])
        await asyncio.sleep(10.0)
        fleet.engines.crashing_bodies.clear()
        fleet.store.unreachable_for = {"*"}
        runs = len(fleet.engines.runs)
        await asyncio.sleep(CALM_S + RUN_S)
        assert len(fleet.engines.runs) == runs + 1
        fleet.store.unreachable_for = set()
        await asyncio.sleep(5.0)
        assert await read_results(fleet) == {"j1-0": TEXT}

    with_fleet(check, events=EVENTS)


def test_host_claims_jobs_before_it_has_read_the_crashes():
    async def check(fleet):
        await submit(fleet, bodies())
        await asyncio.sleep(1.0)
        await fleet.kill("h0")
        fleet.store.unreadable_tables = {CRASHES_TABLE}
        await fleet.start("late")
        await asyncio.sleep(15.0)
        assert len(await read_results(fleet, host="late")) == ITEMS

    with_fleet(check, hosts=1, events=EVENTS)
