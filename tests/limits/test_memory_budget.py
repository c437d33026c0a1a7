"""Tests of what bodies may hold together."""

from __future__ import annotations

from aspenbridge.limits import MemoryBudget


def test_bodies_without_end_hold_no_more_than_the_budget_and_leave_some():
    budget = MemoryBudget(1000)
    greedy = [budget.hold() for _ in range(20)]
    for _ in range(100):
        for held in greedy:
            held.grow(10)
    assert budget.free_bytes >= 40
    assert budget.hold().grow(budget.free_bytes // 2)


def test_body_may_hold_half_of_the_budget_when_there_is_no_other():
    budget = MemoryBudget(1000)
    held = budget.hold()
    assert held.grow(500)
    assert not held.grow(1)


def test_memory_of_an_answered_request_is_free_again():
    budget = MemoryBudget(1000)
    with budget.hold() as held:
        assert held.grow(400)
        assert budget.free_bytes == 600
    assert budget.free_bytes == 1000
