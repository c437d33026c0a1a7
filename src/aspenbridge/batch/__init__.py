"""Batch files and jobs, and the chunks of jobs that hosts claim and run."""

from __future__ import annotations

from ._claims import ChunkClaims
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
    "ChunkClaims",
    "ChunkRecord",
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
