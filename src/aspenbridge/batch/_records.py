"""Durable records of batch work."""

from __future__ import annotations

import attrs

from aspenbridge.ports import RowKey

QUEUED = "queued"
RUNNING = "running"
COMPLETED = "completed"
CANCELLED = "cancelled"
CHUNK_DIGITS = 6


@attrs.frozen
class Item:
    """One line of a batch file."""

    custom_id: str
    model: str
    prompt: str
    max_tokens: int
    adapter: str | None = None


@attrs.frozen
class Outcome:
    """
    The result of one item.

    :ivar code: a ``ResultCode``, OK if the item has an answer.
    :ivar text: the answer.
    :ivar tokens: the number of generated tokens.
    :ivar served_by: the model versions of the attempts that led to the answer,
        each with its adapter if one was used; failed attempts count, too.
    :ivar detail: why the item failed.
    """

    custom_id: str
    code: int
    text: str = ""
    tokens: int = 0
    served_by: tuple[str, ...] = ()
    detail: str = ""


@attrs.frozen
class FileRecord:
    """
    An uploaded batch file, stored as chunks in the object store.

    :ivar chunk_items: the number of items in each chunk but the last.
    """

    file_id: str
    customer: str
    items: int
    chunks: int
    size_bytes: int
    chunk_items: int


@attrs.frozen
class JobRecord:
    """
    A batch job.

    :ivar state: a state of the ``job`` chart.
    :ivar chunk_items: the number of items in each chunk but the last, as in
        the file.
    """

    job_id: str
    customer: str
    file_id: str
    items: int
    chunks: int
    state: str
    created_wall_s: float
    due_wall_s: float
    chunk_items: int
    labels: dict[str, str] = attrs.field(factory=dict)

    def items_in(self, number: int) -> int:
        """Return the number of items of a chunk."""
        return min(self.chunk_items, self.items - number * self.chunk_items)

    @property
    def open(self) -> bool:
        """Whether the job has not ended, so that its items may start."""
        return self.state in (QUEUED, RUNNING)


@attrs.frozen
class Segment:
    """
    Summary of one object with the results of some items of a chunk.

    :ivar name: the name of the object.
    :ivar items: the number of results.
    :ivar failed: the number of items that failed.
    :ivar served_by: the model versions in ``served_by`` of any of the results.
    """

    name: str
    items: int
    failed: int
    served_by: tuple[str, ...]


@attrs.frozen
class ChunkRecord:
    """
    Row of a chunk that has been claimed at least once.

    :ivar number: the position of the chunk in the job, from 0.
    :ivar owner: the incarnation that runs the chunk; empty after the chunk was
        released or is complete.
    :ivar claim: how many times the chunk has been claimed.
    :ivar items: the number of items.
    :ivar segments: the segments whose results count.
    """

    job_id: str
    number: int
    owner: str
    claim: int
    items: int
    segments: tuple[Segment, ...] = ()

    @property
    def counted_items(self) -> int:
        """The number of items with a counted result."""
        return sum(segment.items for segment in self.segments)

    @property
    def complete(self) -> bool:
        """Whether every item has a counted result."""
        return self.counted_items == self.items

    @property
    def claimable(self) -> bool:
        """Whether any host may claim the chunk."""
        return not self.owner and not self.complete


def job_key(job_id: str) -> RowKey:
    """Return the key of a job's row."""
    return RowKey("jobs", job_id)


def active_key(job_id: str) -> RowKey:
    """Return the key of the index row of a job that has not ended."""
    return RowKey("active", job_id)


def file_key(file_id: str) -> RowKey:
    """Return the key of a file's row."""
    return RowKey("files", file_id)


def chunk_key(job_id: str, number: int) -> RowKey:
    """Return the key of a chunk's row."""
    return RowKey("chunks", f"{job_id}/{number:0{CHUNK_DIGITS}d}")


def chunk_name(job_id: str, number: int) -> str:
    """Return the name of a chunk, which is the key of its row."""
    return chunk_key(job_id, number).key


def input_name(file_id: str, number: int) -> str:
    """Return the name of the object with the items of a chunk."""
    return f"files/{file_id}/{number:0{CHUNK_DIGITS}d}"


def segment_name(job_id: str, number: int, claim: int, part: int) -> str:
    """
    Return the name of the object with the results of a segment.

    :param claim: the number of the claim, so that two owners of a chunk
        never write the same object.
    :param part: the position of the segment among those of the claim.
    """
    return f"results/{job_id}/{number:0{CHUNK_DIGITS}d}/{claim}-{part}"
