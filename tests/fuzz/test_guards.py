"""The oracle can fail: it catches the removal of each guard."""

from __future__ import annotations

import pytest

from tests.fuzz.guards import without
from tests.fuzz.scripts import SCRIPTS, play


@pytest.mark.parametrize("guard", SCRIPTS)
def test_promises_hold_when_the_guard_is_there(guard: str) -> None:
    script, _ = SCRIPTS[guard]
    assert play(script) == set()


@pytest.mark.parametrize("guard", SCRIPTS)
def test_oracle_objects_when_the_guard_is_removed(guard: str) -> None:
    script, promise = SCRIPTS[guard]
    with without(guard):
        assert promise in play(script)
