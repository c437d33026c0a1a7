from __future__ import annotations

import random

import pytest

from aspenbridge.peers._codec import decode_bytes, encode_bytes
from aspenbridge_bench._fit import Point, fit
from aspenbridge_bench._slopes_hosts import SimulatedPeers


def test_fit_finds_the_line_when_points_lie_on_one() -> None:
    slope = fit("n", "s", "x", [Point(x, 3.0 + 2.0 * x) for x in (1, 10, 100)])
    assert slope.at(1000) == pytest.approx(2003.0)
    assert slope.residual < 1e-9


def test_fit_states_the_distance_when_points_bend() -> None:
    slope = fit("n", "s", "x", [Point(x, float(x * x)) for x in (1, 10, 100)])
    assert slope.residual > 0.01


def test_fit_refuses_when_points_are_too_few() -> None:
    with pytest.raises(ValueError, match="2 points"):
        fit("n", "s", "x", [Point(1, 1.0), Point(2, 2.0)])


def test_probe_is_the_same_when_it_went_over_the_wire() -> None:
    probe = SimulatedPeers(10, random.Random(7)).probe()
    assert decode_bytes(encode_bytes(probe)) == probe
