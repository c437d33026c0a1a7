"""Rows of batch jobs: heads, results and the progress of unfinished items."""

from __future__ import annotations

from enum import Enum

import attrs
import xxhash

from aspenbridge.admission import Reservation
from aspenbridge.ports import RowKey

HEADS_TABLE = "job_heads"
RESULTS_TABLE = "job_results"
PROGRESS_TABLE = "job_progress"
# The part of the table of heads that holds the admission rows. Followers read
# the unnamed part first, so their copies have the heads that a row leaves out.
ADMISSION_PART = ""
# The number of parts of each table; a part is a partition of the table in the
# store. All rows of a job are in one part, since a transaction writes rows of
# one part only. More parts allow more writes (200 a second for each), but a
# host reads every part once when it starts.
PARTS = 8


class JobState(Enum):
    """
    The state of a batch job.

    ``OPEN``: items are run. ``COMPLETE``: every item is listed. ``ENDED``: the
    caller has ended the job, and its unlisted items are not run any more.
    """

    OPEN = "open"
    COMPLETE = "complete"
    ENDED = "ended"


@attrs.frozen
class JobHead:
    """
    A batch job without its items.

    ``host`` is the virtual host that the job was submitted to. ``owner`` is
    the incarnation of the host that runs the items, or empty. ``total`` is the
    number of items. ``listed`` holds the index of the item at each position of
    the results. ``configuration`` is the version under which the job was
    accepted; 0 in rows of builds without it. ``route`` is the name of the
    route that the job came by, and ``waiting_tokens`` the tokens of the items
    that are not listed; both are empty in rows of builds without them.
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
    configuration: int = 0
    route: str = ""
    waiting_tokens: int = 0


@attrs.frozen
class AdmissionRecord:
    """
    The jobs that are being accepted on a route with a limit of waiting tokens.

    A job is left out once whoever writes the row knows its head.
    """

    reservations: tuple[Reservation, ...]


@attrs.frozen
class ResultRecord:
    """
    The result of one item; ``text`` is None if it failed permanently.

    ``item`` is the index of the item in the job.
    """

    item: int
    item_id: str
    text: str | None
    text_object: str = ""  # name of the object with a text too long for a row
    # Size of that object; 0 in records of builds that did not store it.
    text_bytes: int = 0


@attrs.frozen
class ProgressRecord:
    """Saved progress: the events of an item and how often it failed."""

    last_event_id: int
    events: tuple[str, ...]
    failures: int = 0


def part_of(job_id: str) -> str:
    """
    Return the name of the part that holds all rows of a job.

    A part is the store's partition of a table. The name is the same in each of
    the job tables.
    """
    return f"p{xxhash.xxh32_intdigest(job_id.encode()) % PARTS}"


def head_key(job_id: str) -> RowKey:
    """Return the key of a job's head."""
    return RowKey(HEADS_TABLE, job_id, part_of(job_id))


def admission_key(route: str) -> RowKey:
    """Return the key of the admission row of a route."""
    return RowKey(HEADS_TABLE, route, ADMISSION_PART)


def result_key(job_id: str, position: int) -> RowKey:
    """Return the key of the result at a position."""
    return RowKey(RESULTS_TABLE, f"{job_id}/{position:04d}", part_of(job_id))


def progress_key(job_id: str, item: int) -> RowKey:
    """Return the key of the progress row of an item, given its index."""
    return RowKey(PROGRESS_TABLE, f"{job_id}/{item:04d}", part_of(job_id))


def items_object(job_id: str) -> str:
    """Return the name of the object that holds the items of a job."""
    return f"job-{job_id}"
