"""Rows of batch jobs: heads, results and the progress of unfinished items."""

from __future__ import annotations

from enum import Enum

import attrs
import xxhash

from aspenbridge.ports import RowKey

HEADS_TABLE = "job_heads"
RESULTS_TABLE = "job_results"
PROGRESS_TABLE = "job_progress"
# All rows of a job share a part, so that one transaction can write them. A
# host that starts reads every part once; a part takes 200 writes a second.
PARTS = 8


class JobState(Enum):
    """Where a batch job is in its life."""

    OPEN = "open"
    COMPLETE = "complete"
    ENDED = "ended"


@attrs.frozen
class JobHead:
    """
    A batch job without its items.

    ``listed`` holds the item at each position of the results. ``owner`` is
    the host incarnation that runs the items, or empty.
    """

    id: str
    host: str
    owner: str
    state: JobState
    total: int
    accepted_wall_s: float
    due_wall_s: float
    expires_wall_s: float
    listed: tuple[int, ...] = ()


@attrs.frozen
class ResultRecord:
    """One result; without a text the item was given up."""

    item: int
    item_id: str
    text: str | None
    text_object: str = ""  # the object with a text that no row can hold


@attrs.frozen
class ProgressRecord:
    """What was generated of an item and how often it failed, when saved."""

    last_event_id: int
    events: tuple[str, ...]
    failures: int = 0


def part_of(job_id: str) -> str:
    """Return the part that holds all rows of a job."""
    return f"p{xxhash.xxh32_intdigest(job_id.encode()) % PARTS}"


def head_key(job_id: str) -> RowKey:
    """Return the key of a job's head."""
    return RowKey(HEADS_TABLE, job_id, part_of(job_id))


def result_key(job_id: str, position: int) -> RowKey:
    """Return the key of the result at a position."""
    return RowKey(RESULTS_TABLE, f"{job_id}/{position:04d}", part_of(job_id))


def progress_key(job_id: str, item: int) -> RowKey:
    """Return the key of an item's progress."""
    return RowKey(PROGRESS_TABLE, f"{job_id}/{item:04d}", part_of(job_id))


def items_object(job_id: str) -> str:
    """Return the name of the object that holds the items."""
    return f"job-{job_id}"
