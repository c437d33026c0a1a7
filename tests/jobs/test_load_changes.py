"""What changes of the load make a host's job worker do, and how soon."""

from __future__ import annotations

import asyncio

import pytest

from aspenbridge.fleet import Backlog, EngineLoad
from tests.jobs.test_jobs import make_job, submit, with_fleet

OTHER = "other-1"
DUE_FIRST = {"llm": Backlog(5, 0.0)}


def report(fleet, online, backlogs=None):
    loads = {"e0": EngineLoad(online)}
    fleet.hosts["h0"].load_view.apply_report(OTHER, loads, backlogs or {})


def count_rounds(fleet) -> list[int]:
    """Return a list that grows with each round of the worker."""
    worker, rounds = fleet.hosts["h0"].worker, []
    configuration = worker._configuration
    worker._configuration = lambda: rounds.append(1) or configuration()
    return rounds


@pytest.mark.parametrize("items", [0, 5])
def test_reports_that_give_no_item_a_slot_do_not_make_the_worker_look(items):
    async def check(fleet):
        report(fleet, 7)
        if items:
            await submit(fleet, "h0", make_job(items=items))
        await asyncio.sleep(0.3)
        rounds = count_rounds(fleet)
        for number in range(100):
            report(fleet, 7 + number % 3, {"llm": Backlog(number % 4, 0.0)})
            await asyncio.sleep(0.001)
        assert len(rounds) <= 1  # the look that is due each 0.25 s
        assert not fleet.engines.runs

    with_fleet(check, hosts=1, engines=1)


@pytest.mark.parametrize(
    ("before", "after"),
    [
        pytest.param((7,), (6,), id="a slot becomes free"),
        pytest.param((6, DUE_FIRST), (6,), id="items of another host have started"),
        pytest.param((6, DUE_FIRST), None, id="another host is removed"),
    ],
)
def test_waiting_item_starts_at_once_when_it_gets_a_slot(before, after):
    async def check(fleet):
        report(fleet, *before)
        await submit(fleet, "h0", make_job(items=1))
        await asyncio.sleep(0.31)
        assert not fleet.engines.runs
        if after is None:
            fleet.hosts["h0"].load_view.remove_host(OTHER)
        else:
            report(fleet, *after)
        await asyncio.sleep(0.01)
        assert len(fleet.engines.runs) == 1

    with_fleet(check, hosts=1, engines=1)


def test_items_give_way_at_once_to_online_requests_of_the_same_host():
    async def check(fleet):
        fleet.engines.events = 100
        await submit(fleet, "h0", make_job(items=7))
        await asyncio.sleep(0.5)
        ended = [run for run in fleet.engines.runs if run.ended_s is not None]
        assert len(fleet.engines.runs) == 7 and not ended
        fleet.hosts["h0"].load_view.add("e0", online=2)
        await asyncio.sleep(0.01)
        ended = [run for run in fleet.engines.runs if run.ended_s is not None]
        assert len(ended) == 1

    with_fleet(check, hosts=1, engines=1)


def test_item_whose_retry_delay_is_over_starts_with_the_next_report():
    async def check(fleet):
        fleet.engines.events = 100
        await submit(fleet, "h0", make_job(items=7))
        await asyncio.sleep(0.5)
        view = fleet.hosts["h0"].load_view
        view.add("e0", online=2)
        await asyncio.sleep(0.03)
        view.add("e0", online=-2)
        for _ in range(20):  # retry delay of 0.1 s, report delay of 0.06 s
            report(fleet, 0)
            await asyncio.sleep(0.01)
        assert len(fleet.engines.runs) == 8

    with_fleet(check, hosts=1, engines=1)
