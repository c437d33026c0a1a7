"""
In which order the items of this host's jobs run.

Answers jobs that arrive in lumps and that count whole: the job that is due
first gets its items through before a later one starts.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable

    from ._owned import ItemState, OwnedJob


def ready_items(
    jobs: Iterable[OwnedJob], now_s: float
) -> list[tuple[OwnedJob, ItemState]]:
    """Return the items that may be tried, those of the job due first ahead."""
    return [
        (job, state)
        for job in sorted(jobs, key=lambda job: job.head.due_wall_s)
        for state in job.ready(now_s)
    ]
