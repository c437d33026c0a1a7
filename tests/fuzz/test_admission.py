"""A few seeded histories of a route with a limit of waiting tokens."""

from __future__ import annotations

import pytest

from tests.fuzz.admission import run_history


@pytest.mark.parametrize("seed", range(1, 13))
def test_tokens_that_wait_stay_within_the_limit_at_every_acceptance(seed):
    violations, counts = run_history(seed)
    assert violations == []
    assert counts["accepted"]
