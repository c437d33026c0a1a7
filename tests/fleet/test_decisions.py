"""Placement, sharing, yielding, claims: decisions without I/O."""

from __future__ import annotations

import attrs
import pytest
from hypothesis import given
from hypothesis import strategies as st

from aspenbridge.fleet import (
    Backlog,
    Candidate,
    EngineDirectory,
    EngineHealth,
    EngineLoad,
    LoadBoard,
    Refused,
    deal_places,
    items_to_stop,
    place_online,
)
from aspenbridge.jobs import should_claim
from tests.support.entry_fleet import make_configuration, make_engine, make_route


@attrs.define
class StepClock:
    time_s: float = 100.0

    def now_s(self) -> float:
        return self.time_s

    def wall_s(self) -> float:
        return self.time_s


def candidate(name, online=0, batch=0, distance_s=0.0):
    return Candidate(make_engine(name), online, batch, distance_s)


def test_online_goes_to_free_places_elsewhere_before_batch_has_to_leave():
    near_full_of_batch = candidate("near", 2, 6)
    far_with_room = candidate("far", 2, 2, distance_s=0.12)
    assert place_online([near_full_of_batch, far_with_room], 0.2).id == "far"


def test_online_takes_a_place_from_batch_when_no_other_is_free():
    assert place_online([candidate("near", 2, 6)], 0.2).id == "near"


def test_online_is_refused_with_a_time_when_it_can_not_be_served_in_time():
    placed = place_online([candidate("near", 12), candidate("far", 14)], 0.2)
    assert isinstance(placed, Refused)
    assert 0.2 < placed.retry_after_s < 1.0


def test_online_is_refused_when_there_is_no_engine():
    assert isinstance(place_online([], 0.2), Refused)


backlogs = st.dictionaries(
    st.sampled_from("abcdef"),
    st.builds(Backlog, st.integers(1, 9), st.floats(0, 50)),
    min_size=1,
)
free_places = st.dictionaries(st.sampled_from(["e1", "e2", "e3"]), st.integers(1, 8))


@given(backlogs, free_places)
def test_hosts_together_take_each_place_once(waiting, free):
    dealt = [place for host in waiting for place in deal_places(host, waiting, free)]
    assert all(dealt.count(engine) <= count for engine, count in free.items())
    wanted = sum(backlog.items for backlog in waiting.values())
    assert len(dealt) == min(wanted, sum(free.values()))


def test_host_with_the_job_due_first_is_dealt_first():
    waiting = {"a": Backlog(3, 20.0), "b": Backlog(2, 10.0)}
    assert deal_places("b", waiting, {"e1": 2}) == ["e1", "e1"]
    assert deal_places("a", waiting, {"e1": 2}) == []


loads = st.dictionaries(
    st.sampled_from("abcdef"),
    st.builds(EngineLoad, st.integers(0, 6), st.integers(0, 6)),
    min_size=1,
)


@given(loads)
def test_hosts_together_stop_as_many_items_as_there_are_requests_too_many(by_host):
    stopped = 0
    for host, own in by_host.items():
        others = {name: load for name, load in by_host.items() if name != host}
        count = items_to_stop(8, host, own, others)
        assert count <= own.batch
        stopped += count
    excess = max(0, sum(load.total for load in by_host.values()) - 8)
    assert stopped == min(excess, sum(load.batch for load in by_host.values()))


def test_claim_turns_pass_from_host_to_host():
    hosts = ["h1", "h2", "h3"]
    at_once = [host for host in hosts if should_claim("job", host, hosts, 0.0)]
    later = [host for host in hosts if should_claim("job", host, hosts, 2.0)]
    assert len(at_once) == 1
    assert later == hosts


def test_engine_that_is_removed_is_gone_at_once_while_the_store_is_there():
    clock = StepClock()
    directory = EngineDirectory(clock)
    directory.put(make_engine("e1"))
    directory.remove("e1")
    assert directory.usable("llm") == []


def test_engine_that_lapsed_during_an_outage_is_kept_until_it_can_be_back():
    clock = StepClock()
    directory = EngineDirectory(clock)
    directory.put(make_engine("e1"))
    directory.put(make_engine("e2"))
    directory.store_returned()
    directory.replace([])
    assert len(directory.usable("llm")) == 2
    clock.time_s += 2.0
    directory.put(make_engine("e1"))
    clock.time_s += 0.6
    assert [engine.id for engine in directory.usable("llm")] == ["e1"]


def test_draining_engine_gets_no_work():
    directory = EngineDirectory(StepClock())
    directory.put(make_engine("e1", draining=True))
    assert directory.usable("llm") == []
    assert directory.get("e1") is not None


def test_unreachable_engine_is_left_alone_longer_each_time():
    clock = StepClock()
    health = EngineHealth(clock)
    pauses = []
    for _ in range(5):
        health.unreachable("e1")
        before_s = clock.time_s
        while health.paused("e1"):
            clock.time_s += 0.05
        pauses.append(clock.time_s - before_s)
    assert pauses == sorted(pauses)
    assert pauses[-1] == pytest.approx(3.0, abs=0.1)
    health.answered("e1")
    assert not health.paused("e1")


def test_report_of_a_host_counts_only_while_it_is_fresh():
    clock = StepClock()
    board = LoadBoard(clock)
    board.add("e1", online=1)
    board.hear("h2", {"e1": EngineLoad(2, 3)}, Backlog(4, 9.0))
    assert board.load("e1") == EngineLoad(3, 3)
    assert board.backlogs("h1") == {"h2": Backlog(4, 9.0)}
    clock.time_s += 3.0
    assert board.load("e1") == EngineLoad(1, 0)
    assert board.backlogs("h1") == {}


def test_longest_prefix_wins_and_the_virtual_host_counts():
    routes = [
        make_route("short", prefix="/a/"),
        make_route("long", prefix="/a/b/"),
        make_route("other", prefix="/a/b/c/", host="b.example"),
    ]
    configuration = make_configuration(1, routes)
    assert configuration.route_for("a.example", "/a/b/c/d").name == "long"
    assert configuration.route_for("a.example", "/a/x").name == "short"
    assert configuration.route_for("a.example", "/a") is None
    assert configuration.route_for("c.example", "/a/b/") is None
