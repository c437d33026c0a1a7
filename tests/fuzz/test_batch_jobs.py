"""A few seeded histories of batch jobs beside stops, losses and late hosts."""

from __future__ import annotations

import pytest

from tests.fuzz.batch_jobs import run_history


# 106, 108, 115: a host that handles its feed late is asked for results.
@pytest.mark.parametrize("seed", [1, 2, 106, 108, 115])
def test_accepted_jobs_and_results_that_were_read_are_not_lost(seed):
    violations, counts = run_history(seed)
    assert violations == []
    assert counts["accepted"]
