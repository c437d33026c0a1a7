"""Batch files, jobs and the chunks that hosts claim and run."""

from __future__ import annotations

from ._claims import Claims
from ._files import Files
from ._jobs import Jobs, JobStatus
from ._records import (
    ChunkRecord,
    FileRecord,
    Item,
    JobRecord,
    Outcome,
    Segment,
    input_name,
    job_key,
)
from ._runner import BatchRunner

__all__ = [
    "BatchRunner",
    "ChunkRecord",
    "Claims",
    "FileRecord",
    "Files",
    "Item",
    "JobRecord",
    "JobStatus",
    "Jobs",
    "Outcome",
    "Segment",
    "input_name",
    "job_key",
]
