"""The number of retries is bounded by the number of new requests."""

from __future__ import annotations

from aspenbridge.limits import RetryBudget


def test_budget_allows_one_retry_per_ten_requests() -> None:
    budget = RetryBudget(0.1, burst=2.0)
    assert [budget.try_spend() for _ in range(3)] == [True, True, False]
    for _ in range(11):
        budget.count_request()
    assert [budget.try_spend() for _ in range(2)] == [True, False]
    assert budget.refused == 2
