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
    """The one answer of one item."""

    custom_id: str
    code: int
    text: str = ""
    tokens: int = 0
    served_by: tuple[str, ...] = ()
    detail: str = ""


@attrs.frozen
class FileRecord:
    """An uploaded batch file, cut into chunks in the object store."""

    file_id: str
    customer: str
    items: int
    chunks: int
    size_bytes: int
    chunk_items: int


@attrs.frozen
class JobRecord:
    """A batch job."""

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
        """Whether items of the job may start."""
        return self.state in (QUEUED, RUNNING)


@attrs.frozen
class Segment:
    """Results of some items of a chunk, in one object."""

    name: str
    items: int
    failed: int
    served_by: tuple[str, ...]


@attrs.frozen
class ChunkRecord:
    """
    A chunk that was claimed: who runs it and which results count.

    The owner is empty once the chunk was given back, or has ended.
    """

    job_id: str
    number: int
    owner: str
    claim: int
    items: int
    segments: tuple[Segment, ...] = ()

    @property
    def counted(self) -> int:
        """The number of items whose result counts."""
        return sum(segment.items for segment in self.segments)

    @property
    def complete(self) -> bool:
        """Whether each item has its result."""
        return self.counted == self.items

    @property
    def free(self) -> bool:
        """Whether another host may claim it."""
        return not self.owner and not self.complete


def job_key(job_id: str) -> RowKey:
    """Return the row of a job."""
    return RowKey("jobs", job_id)


def active_key(job_id: str) -> RowKey:
    """Return the index row of a job that has not ended."""
    return RowKey("active", job_id)


def file_key(file_id: str) -> RowKey:
    """Return the row of a file."""
    return RowKey("files", file_id)


def chunk_key(job_id: str, number: int) -> RowKey:
    """Return the row of a claimed chunk."""
    return RowKey("chunks", f"{job_id}/{number:0{CHUNK_DIGITS}d}")


def chunk_name(job_id: str, number: int) -> str:
    """Return the name of a chunk, the key of its row."""
    return chunk_key(job_id, number).key


def input_name(file_id: str, number: int) -> str:
    """Return the object with the items of a chunk."""
    return f"files/{file_id}/{number:0{CHUNK_DIGITS}d}"


def segment_name(job_id: str, number: int, claim: int, part: int) -> str:
    """Return the object with a part of a chunk's results."""
    return f"results/{job_id}/{number:0{CHUNK_DIGITS}d}/{claim}-{part}"
