"""Whether a host may act on its revision, for each input of the policy."""

from __future__ import annotations

import attrs
import pytest

from aspenbridge.configuration import Freshness, FreshnessInputs, FreshnessPolicy

POLICY = FreshnessPolicy(fresh_limit_s=12.0)
CONFIRMED_INPUTS = FreshnessInputs(
    now_s=100.0,
    revision=7,
    newest_reported=7,
    confirmed_s=95.0,
    reached_hosts=3,
    known_hosts=3,
)


@pytest.mark.parametrize(
    ("changes", "expected"),
    [
        ({}, Freshness.CONFIRMED),
        ({"reached_hosts": 1}, Freshness.CONFIRMED),
        ({"confirmed_s": 80.0}, Freshness.MAJORITY),
        ({"confirmed_s": 80.0, "reached_hosts": 1}, Freshness.UNSURE),
        ({"confirmed_s": 80.0, "reached_hosts": 2, "known_hosts": 4}, Freshness.UNSURE),
        ({"confirmed_s": 80.0, "newest_reported": 8}, Freshness.UNSURE),
        ({"confirmed_s": None}, Freshness.UNSURE),
        ({"confirmed_s": 80.0, "host_list_read": False}, Freshness.UNSURE),
    ],
)
def test_policy_evaluates_to_the_expected_freshness_when(changes, expected) -> None:
    assert POLICY.evaluate(attrs.evolve(CONFIRMED_INPUTS, **changes)) is expected
