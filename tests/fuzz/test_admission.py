"""A few seeded histories of a route with a limit of waiting tokens."""

from __future__ import annotations

import pytest

from tests.fuzz.admission import run_history


# In 4644 a host reads the whole table while it writes a reservation.
@pytest.mark.parametrize("seed", [*range(1, 13), 4644])
def test_tokens_that_wait_stay_within_the_limit_at_every_acceptance(seed):
    violations, counts = run_history(seed)
    assert violations == []
    assert counts["accepted"]
