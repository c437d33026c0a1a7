"""Tests of the verdict on a failure run."""

from __future__ import annotations

import attrs

from aspenbridge_bench._failures import ITEMS, FailureReport


def _complete_report() -> FailureReport:
    report = FailureReport.broken_off("test")
    return attrs.evolve(report, results=ITEMS, missing=0, state="completed")


def test_report_passes_when_each_item_has_one_result() -> None:
    assert _complete_report().passed


def test_report_fails_when_a_result_is_duplicated_missing_or_failed() -> None:
    for field in ("twice", "missing", "failed"):
        assert not attrs.evolve(_complete_report(), **{field: 1}).passed


def test_report_fails_when_the_run_was_aborted() -> None:
    assert not FailureReport.broken_off("host lost").passed
