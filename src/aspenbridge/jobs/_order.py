"""
Which item of which job runs next.

Answers jobs that arrive in lumps and that count whole: the job that is due
first gets its items through before a later one starts.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable

    from ._owned import ItemState, OwnedJob


def next_item(
    jobs: Iterable[OwnedJob], now_s: float
) -> tuple[OwnedJob, ItemState] | None:
    """Return the first item that may be tried of the job due first."""
    for job in sorted(jobs, key=lambda job: job.head.due_wall_s):
        state = job.ready(now_s)
        if state is not None:
            return job, state
    return None
