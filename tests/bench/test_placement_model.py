"""The queueing model by which rules of placement are compared."""

from __future__ import annotations

import pytest

from aspenbridge_bench._placement_model import RULES, ModelSize, PlacementModel


def waits(rule, size, seconds=8.0, **options):
    return PlacementModel(size, RULES[rule], seed=1, **options).run(seconds)


def test_requests_do_not_queue_while_engines_of_a_larger_fleet_stand_idle():
    size = ModelSize(69, 45, 204.0)
    assert waits("drawn", size).mean_s < 0.01
    assert waits("lowest", size).mean_s > 0.03


def test_rule_for_small_fleets_does_as_well_there():
    size = ModelSize(9, 9, 40.0)
    assert waits("lowest", size).mean_s < 0.005


def test_exact_news_at_any_size_make_the_lowest_engine_the_best_choice():
    size = ModelSize(69, 45, 204.0)
    assert waits("lowest", size, interval_s=0.0).mean_s < 0.005


@pytest.mark.parametrize("rule", sorted(RULES))
def test_more_requests_than_slots_wait(rule):
    assert waits(rule, ModelSize(9, 2, 40.0)).mean_s > 0.5
