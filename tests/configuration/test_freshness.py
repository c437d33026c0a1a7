"""The rule on acting upon a revision."""

from __future__ import annotations

import attrs
import pytest

from aspenbridge.configuration import FreshnessPolicy, Knowledge, Verdict

POLICY = FreshnessPolicy(fresh_limit_s=12.0)
USUAL = Knowledge(
    now_s=100.0,
    revision=7,
    newest_heard=7,
    confirmed_s=95.0,
    reached_hosts=3,
    known_hosts=3,
)


@pytest.mark.parametrize(
    ("changes", "verdict"),
    [
        ({}, Verdict.CONFIRMED),
        ({"reached_hosts": 1}, Verdict.CONFIRMED),
        ({"confirmed_s": 80.0}, Verdict.MAJORITY),
        ({"confirmed_s": 80.0, "reached_hosts": 1}, Verdict.UNSURE),
        ({"confirmed_s": 80.0, "reached_hosts": 2, "known_hosts": 4}, Verdict.UNSURE),
        ({"confirmed_s": 80.0, "newest_heard": 8}, Verdict.UNSURE),
        ({"confirmed_s": None}, Verdict.UNSURE),
        ({"confirmed_s": 80.0, "list_was_read": False}, Verdict.UNSURE),
    ],
)
def test_judge_follows_the_rule_when(changes, verdict) -> None:
    assert POLICY.judge(attrs.evolve(USUAL, **changes)) is verdict
