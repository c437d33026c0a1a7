"""Tests of the load and the capacity that follow from measured slopes."""

from __future__ import annotations

import json
from pathlib import Path

import pytest

from aspenbridge_bench._capacity import Figure, figures, read_reports

RESULTS = Path(__file__).parents[2] / "results"


@pytest.fixture
def figures_by_name() -> dict[tuple[str, str, str], Figure]:
    slopes = json.loads((RESULTS / "slopes.json").read_text())
    relay = json.loads((RESULTS / "relay.json").read_text())
    measurements = read_reports(slopes, relay)
    return {
        (figure.role, figure.what, figure.unit): figure
        for figure in figures(measurements)
    }


def test_loads_of_the_fleet_are_divided_by_the_hosts(
    figures_by_name: dict[tuple[str, str, str], Figure],
) -> None:
    assert figures_by_name["relay", "requests", "1/s"].value == pytest.approx(
        19_000 / 420
    )
    assert figures_by_name["relay", "tokens", "1/s"].value == pytest.approx(
        6_400_000 / 420
    )
    assert figures_by_name["chunk runner", "items", "1/s"].value == pytest.approx(
        1.24, rel=0.01
    )


def test_share_is_relative_to_the_limit_when_there_is_one(
    figures_by_name: dict[tuple[str, str, str], Figure],
) -> None:
    probes = figures_by_name["node", "probes, both ways", "bytes/s"]
    assert probes.share == pytest.approx(probes.value / 3_000)
    assert figures_by_name["relay", "requests", "1/s"].share is None
