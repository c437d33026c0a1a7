"""The choice between a few drawn engines by hosts with late news."""

from __future__ import annotations

import asyncio
import random
from collections import Counter

import attrs
import pytest

from aspenbridge.fleet import (
    EngineDirectory,
    EngineHealth,
    EngineLoad,
    EngineView,
    LoadView,
    Refused,
    draw_engines,
)
from aspenbridge.fleet._fanout import SMALL_FLEET_PEERS
from tests.fleet.test_decisions import ManualClock
from tests.support.entry_fleet import EntryFleet, make_engine
from tests.support.virtual_loop import run_virtual

REGIONS = {"a-1": "a", "a-2": "a", "b-1": "b"}


@attrs.frozen
class Engine:
    """An engine with its load, as the index keeps it."""

    entry: object
    online: int = 0
    batch: int = 0
    network_delay_s: float = 0.0


def make_engines(*loads, delays_s=()):
    delays = list(delays_s) + [0.0] * len(loads)
    return [
        Engine(make_engine(f"e{n}", slots=4), online, batch, delays[n])
        for n, (online, batch) in enumerate(loads)
    ]


def drawn_names(engines, seeds=200):
    return {
        engine.entry.id
        for seed in range(seeds)
        for engine in draw_engines(engines, random.Random(seed))
    }


def make_view(loads, domains=None):
    """Return a host's view of engines with eight slots and these loads."""
    clock = ManualClock()
    directory, load_view = EngineDirectory(clock), LoadView(clock)
    for n in range(len(loads)):
        domain = domains[n] if domains else "a-1"
        directory.put(make_engine(f"e{n}", failure_domain=domain))
    view = EngineView(directory, load_view, EngineHealth(clock), "a-1", REGIONS)
    by_engine = {f"e{n}": EngineLoad(*load) for n, load in enumerate(loads)}
    load_view.apply_report("other", by_engine, {})
    view.draws = random.Random(1)
    return view


def test_hosts_with_the_same_late_news_do_not_all_choose_the_same_engine():
    loads = [(n % 3, 0) for n in range(40)]
    chosen = Counter()
    for seed in range(200):
        view = make_view(loads)
        view.draws = random.Random(seed)
        chosen[view.place("llm", 0.2).id] += 1
    assert max(chosen.values()) < 200 / 5


def test_full_engine_is_not_drawn_while_another_has_a_free_slot():
    engines = make_engines((4, 0), (9, 0), (3, 0), (4, 0), (0, 3), (2, 1))
    assert drawn_names(engines) == {"e2", "e4", "e5"}


def test_batch_item_is_not_preempted_while_another_engine_has_a_free_slot():
    engines = make_engines((0, 4), (1, 3), (2, 2), (3, 0), (3, 1))
    assert drawn_names(engines) == {"e3"}


def test_engine_with_batch_items_is_drawn_before_one_full_of_requests():
    engines = make_engines((4, 0), (3, 1), (4, 0), (5, 0), (2, 2))
    assert drawn_names(engines) == {"e1", "e4"}


def test_near_engine_is_always_among_the_drawn_ones():
    delays_s = [0.0] * 5 + [0.004] * 20
    engines = make_engines(*[(0, 0)] * 25, delays_s=delays_s)
    for seed in range(50):
        drawn = draw_engines(engines, random.Random(seed))
        assert len({engine.entry.id for engine in drawn}) == 2
        assert any(engine.network_delay_s == 0.0 for engine in drawn)


def test_engines_of_other_failure_domains_are_drawn_when_the_near_ones_are_full():
    engines = make_engines(*[(4, 0)] * 5, *[(0, 0)] * 20, delays_s=[0.0] * 5)
    assert drawn_names(engines, 500) == {f"e{n}" for n in range(5, 25)}


def test_request_is_not_refused_while_any_engine_can_serve_it_in_time():
    loads = [(20, 0)] * 30 + [(8, 0)]
    for seed in range(30):
        view = make_view(loads)
        view.draws = random.Random(seed)
        assert view.place("llm", 0.1).id == "e30"
        assert isinstance(view.place("llm", 0.01), Refused)


def test_excluded_engine_is_not_drawn():
    view = make_view([(0, 0)] * 4)
    placed = {view.place("llm", 0.2, exclude={"e0", "e1"}).id for _ in range(30)}
    assert placed == {"e2", "e3"}


@pytest.mark.parametrize(
    ("hosts", "draws"), [(SMALL_FLEET_PEERS + 1, False), (SMALL_FLEET_PEERS + 2, True)]
)
def test_hosts_draw_once_their_reports_wait_for_their_turn(hosts, draws):
    async def main(clock):
        async with EntryFleet(clock, hosts=hosts) as fleet:
            await asyncio.sleep(3.0)
            return {host.view.draws is not None for host in fleet.hosts.values()}

    assert run_virtual(main) == {draws}
