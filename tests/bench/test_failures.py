from __future__ import annotations

import attrs

from aspenbridge_bench._failures import ITEMS, FailureReport


def _complete() -> FailureReport:
    report = FailureReport.broken_off("test")
    return attrs.evolve(report, results=ITEMS, missing=0, state="completed")


def test_report_passes_when_each_item_has_one_result() -> None:
    assert _complete().passed


def test_report_fails_when_a_result_is_doubled_missing_or_failed() -> None:
    for field in ("twice", "missing", "failed"):
        assert not attrs.evolve(_complete(), **{field: 1}).passed


def test_report_fails_when_the_run_was_broken_off() -> None:
    assert not FailureReport.broken_off("host lost").passed
