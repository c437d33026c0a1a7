"""Engines that said that they leave, in the directory of one host."""

from __future__ import annotations

import attrs

from aspenbridge.fleet import EngineDirectory
from aspenbridge.fleet._engines import EXPIRY_GRACE_S, MAX_LEAVING_MARKS
from tests.support.entry_fleet import make_engine


@attrs.define
class ManualClock:
    time_s: float = 100.0

    def now_s(self) -> float:
        return self.time_s

    def wall_s(self) -> float:
        return self.time_s


def usable(directory):
    return [engine.id for engine in directory.all_usable()]


def test_engine_that_leaves_stays_registered_for_what_runs_there():
    directory = EngineDirectory(ManualClock())
    directory.put(make_engine("e1"))
    assert directory.mark_leaving("e1", 1)
    assert usable(directory) == []
    assert directory.get("e1").draining
    assert directory.ids() == {"e1"}


def test_mark_that_is_known_is_no_news():
    directory = EngineDirectory(ManualClock())
    directory.put(make_engine("e1"))
    assert directory.mark_leaving("e1", 1)
    assert not directory.mark_leaving("e1", 1)


def test_engine_that_leaves_stays_out_of_use_whatever_its_entry_says():
    directory = EngineDirectory(ManualClock())
    directory.put(make_engine("e1"))
    directory.mark_leaving("e1", 1)
    directory.put(make_engine("e1"))
    directory.replace([make_engine("e1", slots=9)])
    assert usable(directory) == []


def test_engine_that_leaves_stays_out_of_use_when_its_lapsed_entry_returns():
    clock = ManualClock()
    directory = EngineDirectory(clock)
    directory.put(make_engine("e1"))
    directory.mark_leaving("e1", 1)
    directory.store_recovered()
    directory.replace([])
    assert usable(directory) == []
    clock.time_s += EXPIRY_GRACE_S + 0.1
    assert directory.get("e1") is None
    directory.put(make_engine("e1"))
    assert usable(directory) == []


def test_mark_does_not_keep_a_lapsed_entry_beyond_its_grace():
    clock = ManualClock()
    directory = EngineDirectory(clock)
    directory.put(make_engine("e1"))
    directory.store_recovered()
    directory.remove("e1")
    directory.mark_leaving("e1", 1)
    clock.time_s += EXPIRY_GRACE_S + 0.1
    assert directory.get("e1") is None


def test_engine_that_started_again_is_used_whatever_old_reports_say():
    directory = EngineDirectory(ManualClock())
    directory.put(make_engine("e1"))
    directory.mark_leaving("e1", 1)
    directory.put(make_engine("e1", started_ms=2))
    assert usable(directory) == ["e1"]
    assert not directory.mark_leaving("e1", 1)
    assert usable(directory) == ["e1"]
    assert directory.leaving() == []


def test_old_report_that_comes_before_the_new_entry_does_not_mark_it():
    directory = EngineDirectory(ManualClock())
    directory.mark_leaving("e1", 1)
    directory.put(make_engine("e1", started_ms=2))
    assert usable(directory) == ["e1"]


def test_mark_that_comes_before_the_entry_applies_to_it():
    directory = EngineDirectory(ManualClock())
    assert directory.mark_leaving("e1", 5)
    assert directory.leaving() == []
    directory.put(make_engine("e1", started_ms=4))
    assert usable(directory) == []
    directory.put(make_engine("e1", started_ms=5))
    assert usable(directory) == []
    assert directory.leaving() == [("e1", 5)]


def test_old_mark_does_not_replace_a_newer_one():
    directory = EngineDirectory(ManualClock())
    directory.mark_leaving("e1", 5)
    assert not directory.mark_leaving("e1", 4)
    directory.put(make_engine("e1", started_ms=5))
    assert usable(directory) == []


def test_marks_are_bounded_and_those_of_registered_engines_are_kept():
    directory = EngineDirectory(ManualClock())
    directory.put(make_engine("e1"))
    directory.mark_leaving("e1", 1)
    for number in range(2 * MAX_LEAVING_MARKS):
        directory.mark_leaving(f"gone-{number}", 1)
    assert len(directory._leaving_ms) == MAX_LEAVING_MARKS
    directory.put(make_engine("e1"))
    assert usable(directory) == []
