"""Submits, cancels and reads batch jobs; any host serves each job."""

from __future__ import annotations

from contextlib import aclosing
from typing import TYPE_CHECKING

import attrs
from returns.result import Failure, Result, Success

from aspenbridge.lifecycle import load_chart
from aspenbridge.ports import Conflict, RowKey
from aspenbridge.result_codes import Problem, ProblemError, ResultCode
from aspenbridge.store import Changes
from aspenbridge.work import new_id

from ._records import (
    CANCELLED,
    QUEUED,
    ChunkRecord,
    FileRecord,
    JobRecord,
    Outcome,
    active_key,
    job_key,
)
from ._segments import read_segment

if TYPE_CHECKING:
    from collections.abc import AsyncGenerator, Callable
    from random import Random

    from aspenbridge.ports import Clock, ObjectStore, Unavailable
    from aspenbridge.store import Store, Stored

CHART = load_chart("job")
CANCEL_ATTEMPTS = 5


@attrs.frozen
class JobKeyRecord:
    """The job that was submitted with an idempotency key."""

    file_id: str
    job_id: str


@attrs.frozen
class JobStatus:
    """
    A job and its progress.

    :ivar done: the number of items with a counted result, failed ones
        included.
    :ivar failed: the number of items that failed.
    """

    job: JobRecord
    done: int
    failed: int


class Jobs:
    """
    Reads and writes the durable records of batch jobs.

    :ivar on_submitted: is called after a job was created.
    :ivar on_cancelled: is called with the id of a job that was cancelled.
    """

    def __init__(
        self, store: Store, objects: ObjectStore, clock: Clock, random: Random
    ) -> None:
        self._store = store
        self._objects = objects
        self._clock = clock
        self._random = random
        self.on_submitted: Callable[[], None] = lambda: None
        self.on_cancelled: Callable[[str], None] = lambda job_id: None

    async def submit(
        self,
        file: FileRecord,
        idempotency_key: str | None,
        due_wall_s: float,
        labels: dict[str, str],
    ) -> Result[JobRecord, Problem]:
        """
        Create a job.

        :param idempotency_key: a resend with the same key and file gets the
            job that the first submission created.
        """
        job = JobRecord(
            job_id=new_id("job", self._random),
            customer=file.customer,
            file_id=file.file_id,
            items=file.items,
            chunks=file.chunks,
            state=QUEUED,
            created_wall_s=self._clock.wall_s(),
            due_wall_s=due_wall_s,
            chunk_items=file.chunk_items,
            labels=labels,
        )
        idempotency_row = RowKey(
            "keys", f"{file.customer}/job/{idempotency_key or job.job_id}"
        )
        key = job_key(job.job_id)
        changes = Changes().absent(key).put(key, job).absent(idempotency_row)
        changes.put(idempotency_row, JobKeyRecord(file.file_id, job.job_id))
        changes.put(active_key(job.job_id), job)
        result = await self._store.commit(changes)
        if isinstance(result, Success):
            self.on_submitted()
            return Success(job)
        error = result.failure()
        if isinstance(error, Conflict):
            return await self._read_earlier_job(idempotency_row, file)
        return Failure(_submit_problem(job, error))

    async def status(self, customer: str, job_id: str) -> Result[JobStatus, Problem]:
        """Return a customer's job with its progress."""
        found = await self._find(customer, job_id)
        if isinstance(found, Failure):
            return found
        chunks = await self.chunks(job_id)
        if isinstance(chunks, Failure):
            return chunks
        segments = [
            segment for chunk in chunks.unwrap() for segment in chunk.record.segments
        ]
        done = sum(segment.items for segment in segments)
        failed = sum(segment.failed for segment in segments)
        return Success(JobStatus(found.unwrap().record, done, failed))

    async def cancel(self, customer: str, job_id: str) -> Result[JobRecord, Problem]:
        """Cancel a job; results that already count stay readable."""
        for _ in range(CANCEL_ATTEMPTS):
            found = await self._find(customer, job_id)
            if isinstance(found, Failure):
                return found
            stored = found.unwrap()
            job = stored.record
            if not CHART.allows(job.state, "cancel"):
                return Success(job)
            cancelled = attrs.evolve(job, state=CHART.next_state(job.state, "cancel"))
            changes = Changes().unchanged(stored).put(stored.key, cancelled)
            changes.delete(active_key(job_id))
            result = await self._store.commit(changes)
            if isinstance(result, Success):
                self.on_cancelled(job_id)
                return Success(cancelled)
            error = result.failure()
            if not isinstance(error, Conflict):
                return Failure(_unavailable(error.reason))
        detail = f"job {job_id!r} changed during each attempt to cancel it"
        return Failure(Problem(ResultCode.REVISION_CONFLICT, detail))

    async def pages(
        self, customer: str, job_id: str
    ) -> AsyncGenerator[tuple[Outcome, ...], None]:
        """
        Yield the results that count, one stored segment at a time.

        :raises ProblemError: if there is no such job, or if the store is
            unavailable.
        """
        found = await self._find(customer, job_id)
        if isinstance(found, Failure):
            raise found.failure().error()
        chunks = await self.chunks(job_id)
        if isinstance(chunks, Failure):
            raise chunks.failure().error()
        for chunk in chunks.unwrap():
            for segment in chunk.record.segments:
                read = await read_segment(self._objects, segment)
                if isinstance(read, Failure):
                    raise _unavailable(read.failure()).error()
                yield read.unwrap()

    async def outcomes(
        self, customer: str, job_id: str
    ) -> Result[tuple[Outcome, ...], Problem]:
        """Return all results that count, in the order of the chunks."""
        outcomes: list[Outcome] = []
        try:
            async with aclosing(self.pages(customer, job_id)) as pages:
                async for page in pages:
                    outcomes.extend(page)
        except ProblemError as error:
            return Failure(error.problem)
        return Success(tuple(outcomes))

    async def chunks(
        self, job_id: str
    ) -> Result[tuple[Stored[ChunkRecord], ...], Problem]:
        """Return the rows of the chunks of a job that have been claimed."""
        scanned = await self._store.scan("chunks", f"{job_id}/", ChunkRecord)
        return scanned.alt(lambda error: _unavailable(error.reason))

    async def _find(
        self, customer: str, job_id: str
    ) -> Result[Stored[JobRecord], Problem]:
        read = await self._store.get(job_key(job_id), JobRecord)
        if isinstance(read, Failure):
            return Failure(_unavailable(read.failure().reason))
        stored = read.unwrap()
        if stored is None or stored.record.customer != customer:
            detail = f"there is no job {job_id!r}"
            return Failure(Problem(ResultCode.NOT_FOUND, detail))
        return Success(stored)

    async def _read_earlier_job(
        self, idempotency_row: RowKey, file: FileRecord
    ) -> Result[JobRecord, Problem]:
        read = await self._store.get(idempotency_row, JobKeyRecord)
        if isinstance(read, Failure):
            return Failure(_unavailable(read.failure().reason))
        stored = read.unwrap()
        if stored is None or stored.record.file_id != file.file_id:
            detail = f"key {idempotency_row.key!r} was already used with another file"
            return Failure(Problem(ResultCode.IDEMPOTENCY_CONFLICT, detail))
        found = await self._find(file.customer, stored.record.job_id)
        return found.map(lambda stored_job: stored_job.record)


def _submit_problem(job: JobRecord, error: Unavailable) -> Problem:
    if not error.maybe_applied:
        return _unavailable(error.reason)
    detail = f"job {job.job_id!r} may exist; send it again with the same key"
    return Problem(ResultCode.OUTCOME_UNKNOWN, detail)


def _unavailable(reason: str) -> Problem:
    return Problem(ResultCode.STORE_UNAVAILABLE, f"the store is unavailable: {reason}")


__all__ = ["CANCELLED", "JobKeyRecord", "JobStatus", "Jobs"]
