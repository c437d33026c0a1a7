"""Writes what a job's owner decides: listed results, claims, releases."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs
from returns.result import Failure

from aspenbridge.observability import log_decision
from aspenbridge.ports import Conflict
from aspenbridge.store import Changes, Stored, decode_record

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
        Unavailable,
    )
    from aspenbridge.store import Store

    from ._directory import JobDirectory
    from ._messages import SubmittedItem
    from ._owned import FinishedItem, ItemState, OwnedJob

ROWS_AT_ONCE = 90  # a transaction takes 100 rows
LISTED_AT_ONCE = 20  # results, each a row, perhaps with its progress
BYTES_AT_ONCE = 500_000  # a transaction takes one megabyte, in base64
ROW_TEXT_SHARE = 0.6  # of a row's limit; JSON may escape characters
COMMIT_LIMIT_S = 3.0
SAVE_LIMIT_S = 1.0  # the next save comes soon


class JobRepository:
    """Conditional writes to jobs; they fail once the ownership is lost."""

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
        self._text_bytes = int(row_bytes * ROW_TEXT_SHARE)

    async def list_finished(self, job: OwnedJob) -> bool:
        """
        Give the finished items the next positions.

        :return: whether something is settled: they are listed, or the job is
            lost. False asks for another try.
        """
        job.drop_listed()
        batch = _fitting(job.finished)
        if not batch:
            return True
        head = job.head
        changes = Changes().unchanged(job.stored)
        for offset, finished in enumerate(batch):
            record = await self._result(job, finished)
            if record is None:
                return False
            changes.put(result_key(head.id, len(head.listed) + offset), record)
            if finished.state.saved:
                changes.delete(progress_key(head.id, finished.state.index))
        listed = (*head.listed, *(finished.state.index for finished in batch))
        state = JobState.COMPLETE if len(listed) == head.total else JobState.OPEN
        head = attrs.evolve(head, listed=listed, state=state)
        if await self._write(job, changes, head, self._clock.now_s() + COMMIT_LIMIT_S):
            del job.finished[: len(batch)]
            log_decision("results listed", job=head.id, listed=len(listed))
            return True
        return False

    async def _result(
        self, job: OwnedJob, finished: FinishedItem
    ) -> ResultRecord | None:
        """Return a result's record, or None if its text can't be stored."""
        index, text = finished.state.index, finished.text
        item_id = job.items[index].id
        if text is None or len(text.encode()) <= self._text_bytes:
            return ResultRecord(index, item_id, text)
        name = f"text-{job.head.id}-{index}-{self._random.randbytes(8).hex()}"
        stored = await self._objects.put(name, text.encode())
        if isinstance(stored, Failure):
            return None
        return ResultRecord(index, item_id, "", name)

    async def _write(
        self, job: OwnedJob, changes: Changes, head: JobHead, deadline_s: float
    ) -> bool:
        """Write a job's head with other changes; tell whether it was."""
        key = job.stored.key
        committed = await self._store.commit(
            changes.put(key, head), deadline_s=deadline_s
        )
        if isinstance(committed, Failure):
            error = committed.failure()
            if isinstance(error, Conflict):
                await self._refresh(job)
            log_decision(
                "job not written",
                job=head.id,
                reason=getattr(error, "reason", "conflict"),
            )
            return False
        job.stored = Stored(key, head, committed.unwrap().versions[key])
        self._directory.take(job.stored)
        return True

    async def _refresh(self, job: OwnedJob) -> None:
        """Read the head again; the directory tells the worker of it."""
        read = await self._store.get(job.stored.key, JobHead)
        if isinstance(read, Failure) or (stored := read.unwrap()) is None:
            return
        self._directory.take(stored)
        if stored.record.owner == self._incarnation:
            job.adopt(stored)

    async def release(self, job: OwnedJob, deadline_s: float) -> bool:
        """Give a job up with the progress of its items."""
        head = attrs.evolve(job.head, owner="")
        changes = Changes().unchanged(job.stored)
        self._put_progress(job, job.unfinished(), changes)
        return await self._write(job, changes, head, deadline_s)

    async def save(self, job: OwnedJob, states: Iterable[ItemState]) -> None:
        """Write the progress of items, unless the job is lost."""
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
        """Add as much progress as a row and a transaction hold."""
        size_bytes, rows = 0, 0
        for state in states:
            item_bytes = sum(len(event) for event in state.events)
            fits = size_bytes + item_bytes <= BYTES_AT_ONCE and rows < ROWS_AT_ONCE
            begun = state.events or state.failures
            if begun and item_bytes <= self._text_bytes and fits:
                size_bytes += item_bytes
                rows += 1
                changes.put(progress_key(job.head.id, state.index), _progress(state))
                # Also if no answer comes: it may be written all the same.
                state.note_saved()

    async def remove(
        self, stored: Stored[JobHead]
    ) -> Result[Committed, Conflict | Unavailable]:
        """Remove a job's rows and its items; the head goes last."""
        head = stored.record
        deadline_s = self._clock.now_s() + COMMIT_LIMIT_S
        keys = [result_key(head.id, place) for place in range(len(head.listed))]
        keys += [progress_key(head.id, item) for item in range(head.total)]
        for first in range(0, len(keys), ROWS_AT_ONCE):
            changes = Changes()
            for key in keys[first : first + ROWS_AT_ONCE]:
                changes.delete(key)
            removed = await self._store.commit(changes, deadline_s=deadline_s)
            if isinstance(removed, Failure):
                return removed
        dropped = await self._objects.delete(items_object(head.id))
        if isinstance(dropped, Failure):
            return dropped
        changes = Changes().unchanged(stored).delete(stored.key)
        return await self._store.commit(changes, deadline_s=deadline_s)

    async def claim(self, stored: Stored[JobHead]) -> Stored[JobHead] | None:
        """Make this host the owner; None when another one was faster."""
        head = attrs.evolve(stored.record, owner=self._incarnation)
        committed = await self._store.commit(
            Changes().unchanged(stored).put(stored.key, head),
            deadline_s=self._clock.now_s() + COMMIT_LIMIT_S,
        )
        if isinstance(committed, Failure):
            return None
        claimed = Stored(stored.key, head, committed.unwrap().versions[stored.key])
        self._directory.take(claimed)
        return claimed

    async def items(self, job_id: str) -> tuple[SubmittedItem, ...] | None:
        """Return a job's items; None when they can't be read now."""
        read = await self._objects.get(items_object(job_id))
        if isinstance(read, Failure) or (body := read.unwrap()) is None:
            return None
        return decode_items(body)

    async def progress(self, job_id: str) -> list[tuple[int, ProgressRecord]] | None:
        """Return the progress of a job's items; None when it can't be read."""
        read = await self._feed.rows(
            PROGRESS_TABLE, part_of(job_id), start=f"{job_id}/", end=f"{job_id}0"
        )
        if isinstance(read, Failure):
            return None
        return [
            (
                int(row.key.key.rpartition("/")[2]),
                decode_record(row.value, ProgressRecord),
            )
            for row in read.unwrap().rows
        ]


def _progress(state: ItemState) -> ProgressRecord:
    return ProgressRecord(state.last_event_id or 0, tuple(state.events), state.failures)


def _fitting(finished: list[FinishedItem]) -> list[FinishedItem]:
    """Return the first items that fit into one transaction."""
    batch: list[FinishedItem] = []
    size_bytes = 0
    for entry in finished[:LISTED_AT_ONCE]:
        size_bytes += len(entry.text or "")
        if batch and size_bytes > BYTES_AT_ONCE:
            break
        batch.append(entry)
    return batch
