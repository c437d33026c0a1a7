"""A short seeded run of the soak: real processes, faults from outside."""

from __future__ import annotations

from tests.soak.__main__ import run_seed
from tests.soak._run import Options

SECONDS = 6.0
SLOT = 9  # addresses that no run by hand uses


def test_short_run_keeps_all_promises():
    promises = run_seed(Options(seed=7, seconds=SECONDS, hosts=3, slot=SLOT))
    assert promises.broken == []
    assert promises.faults.total() > 0
    assert promises.answers["whole"] > 0
    assert any(job.accepted and job.done for job in promises.jobs.values())
