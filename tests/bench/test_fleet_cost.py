"""The measurement of what the size of the fleet costs one host."""

from __future__ import annotations

import asyncio
import math

import attrs

from aspenbridge_bench._fleet_cost import fleet_cost


def test_each_cost_of_a_small_fleet_is_measured() -> None:
    cost = attrs.asdict(asyncio.run(fleet_cost(9, 9, seed=1, limit_s=0.0)))
    assert (cost.pop("hosts"), cost.pop("engines")) == (9, 9)
    assert all(math.isfinite(cost_s) for cost_s in cost.values())
    assert cost["choice_s"] > 0
