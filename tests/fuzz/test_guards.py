"""
Tests of the oracle: it detects the removal of each guard.

Guards against an oracle that passes whatever the code does.
"""

from __future__ import annotations

import pytest

from tests.fuzz.guards import without_guard
from tests.fuzz.scripts import SCRIPTS, run_script


@pytest.mark.parametrize("guard", SCRIPTS)
def test_promises_hold_when_the_guard_is_enabled(guard: str) -> None:
    script, _ = SCRIPTS[guard]
    assert run_script(script) == set()


@pytest.mark.parametrize("guard", SCRIPTS)
def test_oracle_reports_a_violation_when_the_guard_is_removed(guard: str) -> None:
    script, promise = SCRIPTS[guard]
    with without_guard(guard):
        assert promise in run_script(script)
