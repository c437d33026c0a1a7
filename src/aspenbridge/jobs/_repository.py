"""Stored records of jobs: results, claims, releases, progress and removal."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs
import msgspec
from returns.result import Failure, Success

from aspenbridge.observability import log_decision
from aspenbridge.ports import Conflict, Unavailable
from aspenbridge.store import Changes, Stored, readable_record, record_bytes

from ._messages import decode_items
from ._records import (
    PROGRESS_TABLE,
    JobHead,
    JobState,
    ProgressRecord,
    ResultRecord,
    items_object,
    part_of,
    progress_key,
    result_key,
)

if TYPE_CHECKING:
    from collections.abc import Iterable
    from random import Random

    from returns.result import Result

    from aspenbridge.ports import (
        ChangeFeed,
        Clock,
        Committed,
        ObjectStore,
        Row,
    )
    from aspenbridge.store import Store

    from ._directory import JobDirectory
    from ._messages import SubmittedItem
    from ._owned import FinishedItem, ItemState, OwnedJob

MAX_COMMIT_ROWS = 90  # a transaction may hold 100 rows
MAX_COMMIT_RESULTS = 20  # each writes a row and may delete a progress row
# Of the values in one transaction, which may hold one megabyte, in base64.
MAX_COMMIT_BYTES = 500_000
ROW_SHARE = 0.75  # of a row's size limit, which may count the value in base64
COMMIT_LIMIT_S = 3.0
SAVE_LIMIT_S = 1.0  # short, since the next save follows soon


async def read_items(
    objects: ObjectStore, job_id: str
) -> Result[tuple[SubmittedItem, ...] | None, Unavailable]:
    """
    Return a job's items from the store, or None if it does not hold them.

    An object that was not read whole counts as unavailable.
    """
    read = await objects.get(items_object(job_id))
    if isinstance(read, Failure) or (body := read.unwrap()) is None:
        return read.map(lambda _: None)
    try:
        return Success(decode_items(body))
    except msgspec.DecodeError as error:
        reason = f"items of {job_id!r} can't be decoded: {error}"
        return Failure(Unavailable(reason, maybe_applied=False))


class JobRepository:
    """
    Reads and writes the records of jobs.

    A write for the owner of a job requires that the job's head is unchanged,
    so it fails once another host has become the owner.
    """

    def __init__(
        self,
        store: Store,
        feed: ChangeFeed,
        objects: ObjectStore,
        directory: JobDirectory,
        clock: Clock,
        random: Random,
        incarnation: str,
        row_bytes: int,
    ) -> None:
        self._store = store
        self._feed = feed
        self._objects = objects
        self._directory = directory
        self._clock = clock
        self._random = random
        self._incarnation = incarnation
        self._max_record_bytes = int(row_bytes * ROW_SHARE)

    async def write_results(self, job: OwnedJob) -> bool:
        """
        Write the results of the first finished items, a batch in one write.

        The items get the next positions in the job's list of results.

        :return: True if the batch was written or there was nothing to write;
            more finished items may remain. False if a write failed; it may be
            tried again while the job is owned.
        """
        job.drop_listed()
        batch = self._first_batch(job)
        if not batch:
            return True
        head = job.head
        changes = Changes().unchanged(job.stored)
        for offset, (finished, record) in enumerate(batch):
            stored = await self._store_text(job, record)
            if stored is None:
                return False
            changes.put(result_key(head.id, len(head.listed) + offset), stored)
            if finished.state.maybe_saved:
                changes.delete(progress_key(head.id, finished.state.index))
        listed = (*head.listed, *(record.item for _, record in batch))
        state = JobState.COMPLETE if len(listed) == head.total else JobState.OPEN
        head = attrs.evolve(
            head,
            listed=listed,
            state=state,
            waiting_tokens=job.waiting_tokens(listed),
        )
        if await self._write_head(
            job, changes, head, self._clock.now_s() + COMMIT_LIMIT_S
        ):
            del job.finished[: len(batch)]
            log_decision("results listed", job=head.id, listed=len(listed))
            return True
        return False

    def _first_batch(self, job: OwnedJob) -> list[tuple[FinishedItem, ResultRecord]]:
        """
        Return the first finished items, as many as fit into one transaction.

        The first item is returned in any case.
        """
        batch: list[tuple[FinishedItem, ResultRecord]] = []
        total_bytes = 0
        for finished in job.finished[:MAX_COMMIT_RESULTS]:
            index = finished.state.index
            record = ResultRecord(index, job.items[index].id, finished.text)
            total_bytes += min(record_bytes(record), self._max_record_bytes)
            if batch and total_bytes > MAX_COMMIT_BYTES:
                break
            batch.append((finished, record))
        return batch

    async def _store_text(
        self, job: OwnedJob, record: ResultRecord
    ) -> ResultRecord | None:
        """
        Put the text of a result into an object if it is too long for a row.

        :return: the record to write, or None if the object was not written.
        """
        if record.text is None or record_bytes(record) <= self._max_record_bytes:
            return record
        token = self._random.randbytes(8).hex()
        name = f"text-{job.head.id}-{record.item}-{token}"
        encoded = record.text.encode()
        put = await self._objects.put(name, encoded)
        if isinstance(put, Failure):
            return None
        return attrs.evolve(record, text="", text_object=name, text_bytes=len(encoded))

    async def _write_head(
        self, job: OwnedJob, changes: Changes, head: JobHead, deadline_s: float
    ) -> bool:
        """Write a job's head with other changes; return whether it worked."""
        key = job.stored.key
        committed = await self._store.commit(
            changes.put(key, head), deadline_s=deadline_s
        )
        if isinstance(committed, Failure):
            error = committed.failure()
            if isinstance(error, Conflict):
                await self._reload_head(job)
            log_decision(
                "job not written",
                job=head.id,
                reason=getattr(error, "reason", "conflict"),
            )
            return False
        job.stored = Stored(key, head, committed.unwrap().versions[key])
        self._directory.apply_head(job.stored)
        return True

    async def _reload_head(self, job: OwnedJob) -> None:
        """
        Read a job's head again after a conflict.

        The directory calls ``JobWorker.head_changed`` when it applies a newer
        head, and the worker drops a job that has ended or has another owner.
        """
        read = await self._store.get(job.stored.key, JobHead)
        if isinstance(read, Failure) or (stored := read.unwrap()) is None:
            return
        self._directory.apply_head(stored)
        if stored.record.owner == self._incarnation:
            job.apply_head(stored)

    async def release(self, job: OwnedJob, deadline_s: float) -> bool:
        """
        Clear the owner of a job and save the progress of its items.

        Only progress that fits into the same transaction is saved.

        :return: whether the transaction was written.
        """
        head = attrs.evolve(job.head, owner="")
        changes = Changes().unchanged(job.stored)
        self._put_progress(job, job.unfinished(), changes)
        return await self._write_head(job, changes, head, deadline_s)

    async def save(self, job: OwnedJob, states: Iterable[ItemState]) -> None:
        """
        Save the progress of items, as far as it fits into one transaction.

        Nothing is saved if the job's head has changed.
        """
        changes = Changes().unchanged(job.stored)
        self._put_progress(job, states, changes)
        saved = await self._store.commit(
            changes, deadline_s=self._clock.now_s() + SAVE_LIMIT_S
        )
        if isinstance(saved, Failure):
            error = saved.failure()
            log_decision(
                "progress not saved",
                job=job.head.id,
                reason=getattr(error, "reason", "conflict"),
            )

    def _put_progress(
        self, job: OwnedJob, states: Iterable[ItemState], changes: Changes
    ) -> None:
        """
        Add the progress of items to the changes.

        Progress that is too large for a row or for the rest of the transaction
        is left out.
        """
        total_bytes, rows = 0, 0
        for state in states:
            if rows >= MAX_COMMIT_ROWS:
                break
            if not (state.events or state.failures):
                continue
            record = _progress_record(state)
            size_bytes = record_bytes(record)
            total_fits = total_bytes + size_bytes <= MAX_COMMIT_BYTES
            if total_fits and size_bytes <= self._max_record_bytes:
                total_bytes += size_bytes
                rows += 1
                changes.put(progress_key(job.head.id, state.index), record)
                # Marked before the commit, whose reply may be lost.
                state.mark_saved()

    async def remove(
        self, stored: Stored[JobHead]
    ) -> Result[Committed, Conflict | Unavailable]:
        """
        Remove the rows of a job and the object with its items.

        The objects that hold long result texts are not removed. The head is
        removed last, so that a removal that fails is repeated.
        """
        head = stored.record
        deadline_s = self._clock.now_s() + COMMIT_LIMIT_S
        keys = [result_key(head.id, position) for position in range(len(head.listed))]
        keys += [progress_key(head.id, item) for item in range(head.total)]
        for first in range(0, len(keys), MAX_COMMIT_ROWS):
            changes = Changes()
            for key in keys[first : first + MAX_COMMIT_ROWS]:
                changes.delete(key)
            removed = await self._store.commit(changes, deadline_s=deadline_s)
            if isinstance(removed, Failure):
                return removed
        deleted = await self._objects.delete(items_object(head.id))
        if isinstance(deleted, Failure):
            return deleted
        changes = Changes().unchanged(stored).delete(stored.key)
        return await self._store.commit(changes, deadline_s=deadline_s)

    async def claim(self, stored: Stored[JobHead]) -> Stored[JobHead] | None:
        """
        Make this host the owner of a job.

        :return: the head with its new version, or None if the write failed, as
            it does after another host's claim.
        """
        head = attrs.evolve(stored.record, owner=self._incarnation)
        committed = await self._store.commit(
            Changes().unchanged(stored).put(stored.key, head),
            deadline_s=self._clock.now_s() + COMMIT_LIMIT_S,
        )
        if isinstance(committed, Failure):
            return None
        claimed = Stored(stored.key, head, committed.unwrap().versions[stored.key])
        self._directory.apply_head(claimed)
        return claimed

    async def items(self, job_id: str) -> tuple[SubmittedItem, ...] | None:
        """
        Return a job's items, or None if they can't be read now.

        Also returns None when the object that holds them does not exist.
        """
        read = await read_items(self._objects, job_id)
        return None if isinstance(read, Failure) else read.unwrap()

    async def progress(self, job_id: str) -> list[tuple[int, ProgressRecord]] | None:
        """
        Return the saved progress of a job's items by their index.

        :return: pairs of index and record, or None if the store fails.
        """
        # All rows of a job are in one part, a partition of the table. "0"
        # follows "/" in key order, so the range holds all keys of the job.
        start, end = f"{job_id}/", f"{job_id}0"
        rows: list[Row] = []
        while True:
            read = await self._feed.rows(
                PROGRESS_TABLE, part_of(job_id), start=start, end=end
            )
            if isinstance(read, Failure):
                return None
            page = read.unwrap()
            rows.extend(page.rows)
            if page.complete or not page.rows:
                break
            start = page.rows[-1].key.key + "\0"
        progress: list[tuple[int, ProgressRecord]] = []
        for row in rows:
            index = row.key.key.removeprefix(f"{job_id}/")
            record = readable_record(row.key, row.value, ProgressRecord)
            if record is not None and index.isdecimal():
                progress.append((int(index), record))
        return progress


def _progress_record(state: ItemState) -> ProgressRecord:
    return ProgressRecord(state.last_event_id or 0, tuple(state.events), state.failures)
