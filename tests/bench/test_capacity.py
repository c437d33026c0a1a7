from __future__ import annotations

import json
from pathlib import Path

import pytest

from aspenbridge_bench._capacity import Figure, figures, read_reports

RESULTS = Path(__file__).parents[2] / "results"


@pytest.fixture
def found() -> dict[tuple[str, str, str], Figure]:
    slopes = json.loads((RESULTS / "slopes.json").read_text())
    relay = json.loads((RESULTS / "relay.json").read_text())
    measured = read_reports(slopes, relay)
    return {(f.role, f.what, f.unit): f for f in figures(measured)}


def test_loads_divide_by_the_hosts_when_worked_out(
    found: dict[tuple[str, str, str], Figure],
) -> None:
    assert found["relay", "requests", "1/s"].value == pytest.approx(19_000 / 420)
    assert found["relay", "tokens", "1/s"].value == pytest.approx(6_400_000 / 420)
    assert found["chunk runner", "items", "1/s"].value == pytest.approx(1.24, rel=0.01)


def test_share_is_of_the_limit_when_there_is_one(
    found: dict[tuple[str, str, str], Figure],
) -> None:
    probes = found["node", "probes, both ways", "bytes/s"]
    assert probes.share == pytest.approx(probes.value / 3_000)
    assert found["relay", "requests", "1/s"].share is None
