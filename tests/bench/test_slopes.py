"""Tests of the line fit and of the messages whose cost is measured."""

from __future__ import annotations

import random

import pytest

from aspenbridge.peers._codec import decode_message, encode_message
from aspenbridge_bench._fit import Point, fit
from aspenbridge_bench._slopes_hosts import SimulatedPeers


def test_fit_returns_the_line_when_points_lie_on_one() -> None:
    slope = fit("n", "s", "x", [Point(x, 3.0 + 2.0 * x) for x in (1, 10, 100)])
    assert slope.at(1000) == pytest.approx(2003.0)
    assert slope.residual < 1e-9


def test_fit_reports_a_residual_when_points_lie_on_a_curve() -> None:
    slope = fit("n", "s", "x", [Point(x, float(x * x)) for x in (1, 10, 100)])
    assert slope.residual > 0.01


def test_fit_raises_when_there_are_too_few_points() -> None:
    with pytest.raises(ValueError, match="2 points"):
        fit("n", "s", "x", [Point(1, 1.0), Point(2, 2.0)])


def test_probe_is_unchanged_when_it_is_encoded_and_decoded() -> None:
    probe = SimulatedPeers(10, random.Random(7)).probe()
    assert decode_message(encode_message(probe)) == probe
