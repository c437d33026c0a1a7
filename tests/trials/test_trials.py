"""Bounds that the scheduling policy must keep in small, seeded trials."""

from __future__ import annotations

import pytest

from tests.support.virtual_loop import run_virtual
from tests.trials.bursts import run_burst
from tests.trials.faults import run_herding
from tests.trials.overload import run_overload
from tests.trials.shares import run_batch_shares

SMALL_FLEET = {"hosts": 4, "engines": 3, "sequences": 16}


def test_batch_slots_are_free_within_100_ms_when_a_burst_arrives() -> None:
    result = run_virtual(lambda clock: run_burst(clock, 1, bursts=1))
    assert max(result["room_back_ms"]) < 100
    assert result["failed"] == 0
    assert result["revoked"] > 0


def test_batch_tokens_are_equal_when_one_customer_has_ten_times_the_items() -> None:
    result = run_virtual(
        lambda clock: run_batch_shares(
            clock, 1, per_host=5, seconds=10.0, **SMALL_FLEET
        )
    )
    assert result["jain"] >= 0.98


def test_jain_index_falls_when_fairness_is_off() -> None:
    result = run_virtual(
        lambda clock: run_batch_shares(
            clock, 1, per_host=5, seconds=10.0, fairness=False, **SMALL_FLEET
        )
    )
    assert result["jain"] < 0.8


@pytest.mark.parametrize(
    ("policy", "even"), [("owner", True), ("least_reported", False)]
)
def test_engines_are_evenly_loaded_unless_stale_reports_decide(policy, even) -> None:
    result = run_virtual(
        lambda clock: run_herding(clock, 1, seconds=5.0, policy=policy)
    )
    assert (result["spread_mean"] < 3.0) is even


def test_refusals_end_soon_after_an_overload() -> None:
    result = run_virtual(
        lambda clock: run_overload(
            clock, 1, normal=24.0, peak=120.0, seconds=4.0, calm=6.0, **SMALL_FLEET
        )
    )
    assert result["refused"] > 0
    assert result["last_trace_after_s"] <= 5.0
    assert result["refusal_p99_ms"] < 500
