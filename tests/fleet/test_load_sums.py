"""The kept sums equal those over all valid reports, after any history."""

from __future__ import annotations

import attrs
from hypothesis import given
from hypothesis import strategies as st

from aspenbridge.fleet import Backlog, EngineLoad, LoadView
from tests.fleet.test_decisions import ManualClock

LIFETIME_S = 2.2
NONE = EngineLoad()
ENGINES = ["e0", "e1", "e2", "e3"]
SERVICES = ["s0", "s1"]
loads = st.builds(EngineLoad, st.integers(0, 4), st.integers(0, 4))
reports = st.tuples(
    st.sampled_from("abcd"),
    st.dictionaries(st.sampled_from(ENGINES), loads),
    st.dictionaries(
        st.sampled_from(SERVICES),
        st.builds(Backlog, st.integers(0, 2), st.floats(0, 9)),
    ),
    st.sampled_from([0.0, 0.7, 1.5, 2.5]),
)
own_changes = st.tuples(st.sampled_from(ENGINES), st.integers(0, 2), st.integers(0, 2))
load_steps = st.one_of(
    reports.map(lambda report: ("report", report)),
    own_changes.map(lambda change: ("own", change)),
    st.sampled_from("abcd").map(lambda host: ("removed", host)),
    st.sampled_from([0.1, 0.7, 1.5]).map(lambda step_s: ("time", step_s)),
)


@attrs.define
class PlainView:
    """Looks at all reports for each answer."""

    clock: ManualClock
    own: dict = attrs.field(factory=dict)
    reports: dict = attrs.field(factory=dict)

    def valid(self):
        return {
            host: (by_engine, backlogs)
            for host, (by_engine, backlogs, until_s) in self.reports.items()
            if self.clock.now_s() < until_s
        }

    def loads_by_host(self, engine_id):
        return {
            host: by_engine[engine_id]
            for host, (by_engine, _) in self.valid().items()
            if by_engine.get(engine_id, NONE) != NONE
        }

    def load(self, engine_id):
        own = EngineLoad(*self.own.get(engine_id, (0, 0)))
        parts = [own, *self.loads_by_host(engine_id).values()]
        return EngineLoad(sum(p.online for p in parts), sum(p.batch for p in parts))


def apply_step(step, clock, view, plain):
    """Apply a step of a history to both views."""
    kind, change = step
    if kind == "time":
        clock.time_s += change
    elif kind == "removed":
        view.remove_host(change)
        plain.reports.pop(change, None)
    elif kind == "own":
        engine_id, online, batch = change
        before = plain.own.get(engine_id, (0, 0))
        plain.own[engine_id] = (online, batch)
        view.add(engine_id, online=online - before[0], batch=batch - before[1])
    else:
        host, by_engine, backlogs, age_s = change
        view.apply_report(host, by_engine, backlogs, age_s)
        until_s = clock.now_s() + LIFETIME_S - age_s
        plain.reports[host] = (by_engine, backlogs, until_s)


@given(st.lists(load_steps, max_size=30))
def test_kept_sums_equal_those_over_all_valid_reports(history):
    clock = ManualClock()
    view, plain = LoadView(clock), PlainView(clock)
    for number, step in enumerate(history):
        own = Backlog(1, 3.0 + number // 8)
        view.set_backlogs(dict.fromkeys(SERVICES, own))
        apply_step(step, clock, view, plain)
        for engine_id in ENGINES:
            assert view.load(engine_id) == plain.load(engine_id)
            by_host = view.loads_by_host(engine_id).items()
            kept = {host: load for host, load in by_host if load != NONE}
            assert kept == plain.loads_by_host(engine_id)
        valid = plain.valid()
        assert view.reporting_hosts() == len(valid)
        for service in SERVICES:
            check_queue(view, service, own, valid)


def check_queue(view, service, own, valid):
    """Compare the backlogs of a service with those of all valid reports."""
    reported = {host: backlogs.get(service) for host, (_, backlogs) in valid.items()}
    backlogs = {host: b for host, b in reported.items() if b is not None and b.items}
    assert view.backlogs(service, "own") == {**backlogs, "own": own}
    turns = {host: (b.due_wall_s, host) for host, b in backlogs.items()}
    ahead = [host for host, turn in turns.items() if turn < (own.due_wall_s, "own")]
    items = sum(backlogs[host].items for host in ahead)
    assert view.items_ahead(service, "own") == items


def test_nothing_is_kept_of_hosts_and_engines_without_load():
    clock = ManualClock()
    view = LoadView(clock)
    for number in range(100):
        view.add(f"own-{number}", online=1)
        view.add(f"own-{number}", online=-1)
        loads = {f"e{number}": EngineLoad(1, 1), f"idle-{number}": EngineLoad(0, 0)}
        view.apply_report(f"h{number}", loads, {f"s{number}": Backlog(1, 9.0)})
        clock.time_s += LIFETIME_S
    view.reporting_hosts()
    kept = (view._own, view._reports, view._sums, view._queues, view._checks)
    assert [len(part) for part in kept] == [0] * 5
