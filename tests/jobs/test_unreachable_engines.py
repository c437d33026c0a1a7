"""Batch items beside engines that some or all hosts can't reach."""

from __future__ import annotations

import asyncio

import pytest

from aspenbridge.ports import AttemptError, CallOutcome
from tests.jobs.test_jobs import TEXT, make_job, submit, wait_done, with_fleet
from tests.support.entry_fleet import make_engine

# By when an item is placed once engines are up and have free slots, and the
# time that its run takes.
PLACED_LIMIT_S = 5.0
RUN_S = 0.2
DEAD_FIRST, DEAD_LAST = "a0", "z0"  # before and after the ids of the others


async def list_dead_engine(fleet, name):
    """List an engine at whose address nothing listens."""
    fleet.engines.down.add(name)
    fleet.entries[name] = make_engine(name)
    fleet.store.write("servers", name, name.encode())
    await asyncio.sleep(0.5)


def cut_engines_from(fleet, host, engines=None):
    """Have a host's connections to some or all engines be refused."""
    caller = fleet.hosts[host].ports.engine_caller
    reach = caller.open

    async def refuse(engine_id, *call):
        if engines is None or engine_id in engines:
            raise AttemptError(CallOutcome.NOT_SENT, "connection refused")
        return await reach(engine_id, *call)

    caller.open = refuse


# Guards against items that wait for the slots of an engine that can't be
# reached, since it looks the most idle one, while the others are idle.
@pytest.mark.parametrize("name", [DEAD_FIRST, DEAD_LAST])
@pytest.mark.parametrize("items", [1, 4, 40])
def test_items_complete_while_a_listed_engine_accepts_no_connection(name, items):
    async def check(fleet):
        await list_dead_engine(fleet, name)
        for number, host in enumerate(sorted(fleet.hosts)):
            await submit(fleet, host, make_job(f"j{number}", items))
        limit_s = PLACED_LIMIT_S + RUN_S * (1 + 9 * items / 35)
        for number in range(9):
            done = await wait_done(fleet, "h0", f"j{number}", items, limit_s)
            assert {result.text for result in done} == {TEXT}

    with_fleet(check, hosts=9, engines=5)


# Guards against shares that no host takes because each one's view of the
# others' engines and backlogs differs.
@pytest.mark.parametrize("items", [1, 40])
def test_items_complete_while_hosts_have_different_views_of_a_dead_engine(items):
    async def check(fleet):
        fleet.datagrams.groups = [{fleet.address(host)} for host in ("h0", "h1")]
        await list_dead_engine(fleet, DEAD_FIRST)
        for number, host in enumerate(sorted(fleet.hosts)):
            await submit(fleet, host, make_job(f"j{number}", items))
        limit_s = PLACED_LIMIT_S + 2 * RUN_S * (1 + 5 * items / 21)
        for number in range(5):
            await wait_done(fleet, "h0", f"j{number}", items, limit_s)

    with_fleet(check, hosts=5, engines=3)


# Guards against a host whose items can't run anywhere, and whose share of the
# slots is kept from the items of the other hosts.
def test_items_complete_while_the_host_whose_items_come_first_reaches_no_engine():
    async def check(fleet):
        cut_engines_from(fleet, "h0")
        await submit(fleet, "h0", make_job("first", 40))
        await asyncio.sleep(1.0)
        await submit(fleet, "h1", make_job("second", 4))
        limit_s = PLACED_LIMIT_S + RUN_S
        await wait_done(fleet, "h1", "second", 4, limit_s)

    with_fleet(check, hosts=3, engines=2)


# Guards against a division in which a host is given slots that only another
# host reaches.
def test_items_of_each_host_run_on_the_engines_that_it_reaches():
    async def check(fleet):
        fleet.engines.events = 50
        cut_engines_from(fleet, "h0", {"e0"})
        await submit(fleet, "h0", make_job("first", 10))
        await asyncio.sleep(1.0)
        await submit(fleet, "h1", make_job("second", 3))
        await asyncio.sleep(0.5)
        placed = {run.request_id: run.engine for run in fleet.engines.runs}
        assert {placed[f"second-{n}"] for n in range(3)} == {"e0"}
        await wait_done(fleet, "h0", "first", 10)

    with_fleet(check, hosts=3, engines=2)


# Guards against an engine that is given up for good after failed connections.
def test_items_use_an_engine_again_soon_after_it_accepts_connections():
    async def check(fleet):
        fleet.engines.down.add("e1")
        fleet.engines.events = 100
        await submit(fleet, "h0", make_job(items=80))
        await asyncio.sleep(10.0)
        assert {run.engine for run in fleet.engines.runs} == {"e0"}
        fleet.engines.down.discard("e1")
        await asyncio.sleep(PLACED_LIMIT_S)
        running = [run for run in fleet.engines.runs if run.ended_s is None]
        assert sum(run.engine == "e1" for run in running) == 7

    with_fleet(check, hosts=3, engines=2)


# Guards against waits of an item that grow with each engine that it could not
# be sent to.
def test_item_starts_at_once_when_a_slot_is_free_after_many_failed_connections():
    async def check(fleet):
        fleet.engines.down.add("e1")
        view = fleet.hosts["h0"].load_view
        view.add("e0", online=8)
        await submit(fleet, "h0", make_job(items=1))
        await asyncio.sleep(40.0)
        assert not fleet.engines.runs
        view.add("e0", online=-8)
        await asyncio.sleep(0.5)
        assert len(fleet.engines.runs) == 1

    with_fleet(check, hosts=1, engines=2)
