"""
Batch jobs: submission, execution and results.

One host at a time owns a job and runs its items. A finished item is listed: it
gets the next position in the results of its job. Callers read results by
position.
"""

from __future__ import annotations

from ._admission import JobAdmission
from ._claims import JobClaims, should_claim
from ._directory import HEADS_READ_INTERVAL_S, JobDirectory
from ._messages import ItemResult, JobSubmission, ResultPage, SubmittedItem
from ._records import HEADS_TABLE
from ._repository import JobRepository
from ._service import JobService
from ._sweep import JobSweep
from ._worker import JobWorker

__all__ = [
    "HEADS_READ_INTERVAL_S",
    "HEADS_TABLE",
    "ItemResult",
    "JobAdmission",
    "JobClaims",
    "JobDirectory",
    "JobRepository",
    "JobService",
    "JobSubmission",
    "JobSweep",
    "JobWorker",
    "ResultPage",
    "SubmittedItem",
    "should_claim",
]
