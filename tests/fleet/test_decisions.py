"""Placement, slot assignment, preemption and job claims, without I/O."""

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
    LoadView,
    Refused,
    assign_slots,
    items_to_preempt,
    place_online,
)
from aspenbridge.fleet._health import FIRST_PAUSE_S
from aspenbridge.jobs import should_claim
from tests.support.entry_fleet import make_configuration, make_engine, make_route


@attrs.define
class ManualClock:
    time_s: float = 100.0

    def now_s(self) -> float:
        return self.time_s

    def wall_s(self) -> float:
        return self.time_s


def candidate(name, online=0, batch=0, network_delay_s=0.0):
    return Candidate(make_engine(name), online, batch, network_delay_s)


def test_online_request_takes_a_free_slot_elsewhere_before_preempting_batch():
    near_full_of_batch = candidate("near", 2, 6)
    far_with_free_slots = candidate("far", 2, 2, network_delay_s=0.12)
    assert place_online([near_full_of_batch, far_with_free_slots], 0.2).id == "far"


def test_online_request_preempts_batch_when_no_slot_is_free():
    assert place_online([candidate("near", 2, 6)], 0.2).id == "near"


def test_online_request_that_would_wait_too_long_is_refused_with_a_retry_delay():
    placed = place_online([candidate("near", 12), candidate("far", 14)], 0.2)
    assert isinstance(placed, Refused)
    assert 0.2 < placed.retry_after_s < 1.0


def test_online_request_is_refused_when_there_is_no_engine():
    assert isinstance(place_online([], 0.2), Refused)


backlogs = st.dictionaries(
    st.sampled_from("abcdef"),
    st.builds(Backlog, st.integers(1, 9), st.floats(0, 50)),
    min_size=1,
)
free_slots = st.dictionaries(st.sampled_from(["e1", "e2", "e3"]), st.integers(1, 8))


@given(backlogs, free_slots)
def test_each_free_slot_is_assigned_to_one_host(waiting, free):
    assigned = [slot for host in waiting for slot in assign_slots(host, waiting, free)]
    assert all(assigned.count(engine) <= count for engine, count in free.items())
    wanted = sum(backlog.items for backlog in waiting.values())
    assert len(assigned) == min(wanted, sum(free.values()))


def test_host_with_the_job_due_first_is_assigned_slots_first():
    waiting = {"a": Backlog(3, 20.0), "b": Backlog(2, 10.0)}
    assert assign_slots("b", waiting, {"e1": 2}) == ["e1", "e1"]
    assert assign_slots("a", waiting, {"e1": 2}) == []


ENGINE_NAMES = ["e1", "e2", "e3"]
limited_backlogs = st.dictionaries(
    st.sampled_from("abcdef"),
    st.builds(
        Backlog,
        st.integers(1, 9),
        st.floats(0, 50),
        st.frozensets(st.sampled_from(ENGINE_NAMES)),
    ),
    min_size=1,
)


# Guards against slots that are kept for a host which can't use them.
@given(limited_backlogs, free_slots)
def test_each_slot_goes_to_a_host_that_reaches_its_engine_or_none_needs_it(
    waiting, free
):
    by_host = {host: assign_slots(host, waiting, free) for host in waiting}
    assigned = [slot for slots in by_host.values() for slot in slots]
    left = {name: count - assigned.count(name) for name, count in free.items()}
    assert all(count >= 0 for count in left.values())
    for host, backlog in waiting.items():
        assert not backlog.unreachable.intersection(by_host[host])
        reachable = [n for n in left if left[n] and n not in backlog.unreachable]
        assert len(by_host[host]) == backlog.items or not reachable


@given(backlogs, free_slots)
def test_engine_that_no_host_reaches_changes_no_share(waiting, free):
    dead = frozenset(["dead"])
    limited = {
        host: Backlog(backlog.items, backlog.due_wall_s, dead)
        for host, backlog in waiting.items()
    }
    for host in waiting:
        shares = assign_slots(host, limited, free | {"dead": 8})
        assert shares == assign_slots(host, waiting, free)


loads = st.dictionaries(
    st.sampled_from("abcdef"),
    st.builds(EngineLoad, st.integers(0, 6), st.integers(0, 6)),
    min_size=1,
)


@given(loads)
def test_hosts_together_preempt_the_items_beyond_the_slots(by_host):
    stopped = 0
    for host, own in by_host.items():
        others = {name: load for name, load in by_host.items() if name != host}
        count = items_to_preempt(8, host, own, others)
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


def test_removed_engine_is_dropped_at_once_while_the_store_is_available():
    clock = ManualClock()
    directory = EngineDirectory(clock)
    directory.put(make_engine("e1"))
    directory.remove("e1")
    assert directory.usable("llm") == []


def test_engine_that_expired_in_an_outage_is_kept_until_it_can_register_again():
    clock = ManualClock()
    directory = EngineDirectory(clock)
    directory.put(make_engine("e1"))
    directory.put(make_engine("e2"))
    directory.store_recovered()
    directory.replace([])
    assert len(directory.usable("llm")) == 2
    clock.time_s += 2.0
    directory.put(make_engine("e1"))
    clock.time_s += 0.6
    assert [engine.id for engine in directory.usable("llm")] == ["e1"]


def test_draining_engine_gets_no_requests():
    directory = EngineDirectory(ManualClock())
    directory.put(make_engine("e1", draining=True))
    assert directory.usable("llm") == []
    assert directory.get("e1") is not None


def test_unreachable_engine_is_paused_longer_after_each_failure():
    clock = ManualClock()
    health = EngineHealth(clock)
    pauses = []
    for _ in range(5):
        health.record_unreachable("e1")
        before_s = clock.time_s
        while health.is_paused("e1"):
            clock.time_s += 0.05
        pauses.append(clock.time_s - before_s)
    assert pauses == sorted(pauses)
    assert pauses[-1] == pytest.approx(3.0, abs=0.1)
    health.record_answer("e1")
    assert not health.is_paused("e1")


# Each request in hand at an engine that was cut off for a moment doubled its
# pause, so that the host left it alone for up to 3 s.
def test_engine_that_accepted_no_connection_is_unreachable_until_it_answers():
    clock = ManualClock()
    health = EngineHealth(clock)
    health.record_unreachable("e1")
    health.record_refusal("e2")
    assert health.unreachable() == {"e1"}
    clock.time_s += 10.0
    assert not health.paused() and health.unreachable() == {"e1"}
    health.record_answer("e1")
    assert not health.unreachable()


@pytest.mark.parametrize("outcome", ["fails", "refused", "answered"])
def test_engine_that_is_tried_again_gets_one_request_at_a_time(outcome):
    clock = ManualClock()
    health = EngineHealth(clock)
    health.record_unreachable("e1")
    clock.time_s += FIRST_PAUSE_S
    assert not health.is_paused("e1")
    health.record_retry("e1")
    assert health.is_paused("e1")
    if outcome == "fails":
        health.record_unreachable("e1")
        clock.time_s += 2 * FIRST_PAUSE_S - 0.01
        assert health.is_paused("e1") and health.unreachable() == {"e1"}
    elif outcome == "refused":
        health.record_refusal("e1")
        assert health.is_paused("e1") and not health.unreachable()
    else:
        health.record_answer("e1")
        assert not health.is_paused("e1") and not health.unreachable()


def test_requests_that_fail_together_pause_an_engine_once():
    clock = ManualClock()
    health = EngineHealth(clock)
    for pause_s in (0.4, 0.8):
        for _ in range(8):
            health.record_unreachable("e1")
        clock.time_s += pause_s - 0.01
        assert health.is_paused("e1")
        clock.time_s += 0.02
        assert not health.is_paused("e1")
    health.record_refusal("e1")
    health.record_unreachable("e1")
    clock.time_s += 0.3
    assert health.is_paused("e1")


def test_load_report_of_a_host_counts_only_while_it_is_valid():
    clock = ManualClock()
    load_view = LoadView(clock)
    load_view.add("e1", online=1)
    load_view.apply_report("h2", {"e1": EngineLoad(2, 3)}, {"llm": Backlog(4, 9.0)})
    assert load_view.load("e1") == EngineLoad(3, 3)
    assert load_view.backlogs("llm", "h1") == {"h2": Backlog(4, 9.0)}
    clock.time_s += 3.0
    assert load_view.load("e1") == EngineLoad(1, 0)
    assert load_view.backlogs("llm", "h1") == {}


def test_report_that_another_host_passed_on_is_valid_from_when_it_was_made():
    clock = ManualClock()
    load_view = LoadView(clock)
    load_view.apply_report("h2", {"e1": EngineLoad(2, 3)}, {"llm": Backlog(4, 9.0)})
    backlogs = {"llm": Backlog(1, 9.0)}
    load_view.apply_report("h3", {"e1": EngineLoad(1, 1)}, backlogs, age_s=1.5)
    assert load_view.load("e1") == EngineLoad(3, 4)
    clock.time_s += 1.0
    assert load_view.load("e1") == EngineLoad(2, 3)
    assert load_view.reporting_hosts() == 1


def test_route_has_the_longest_prefix_among_those_of_the_virtual_host():
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
