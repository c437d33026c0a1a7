"""This host's copy of the heads of all batch jobs, followed from the store."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, TypeVar

from aspenbridge.store import Stored, readable_record

from ._records import (
    ADMISSION_PART,
    AdmissionRecord,
    JobHead,
    JobState,
    admission_key,
)

if TYPE_CHECKING:
    from collections.abc import Callable, Iterator

    from aspenbridge.admission import Reservation
    from aspenbridge.ports import Row, RowChange, RowKey

Key = TypeVar("Key")
# Between two reads of the changes of all jobs, so that the reads of a host
# don't grow with the results that all hosts list. A host learns up to this
# much later that a job was ended, released or listed elsewhere.
HEADS_READ_INTERVAL_S = 0.2


class JobDirectory:
    """
    Newest known head of each job; notifies listeners of changes.

    Also holds the admission rows. It has the head of each job that a row had
    before the version that it has, and does not have any more.
    """

    def __init__(self) -> None:
        self._heads: dict[str, Stored[JobHead]] = {}
        self._open: dict[str, Stored[JobHead]] = {}  # of jobs that are run
        self._waiters: dict[str, set[asyncio.Event]] = {}
        self._admissions: dict[RowKey, Stored[AdmissionRecord]] = {}
        self.replacements = 0  # how often the whole table was applied
        self._admission_waiters: dict[RowKey, set[asyncio.Event]] = {}
        self.on_change: Callable[[str], None] = lambda job_id: None
        # Called when a change is waited for that the store has already.
        self.on_late: Callable[[], None] = lambda: None
        # Called with a route and the reservations that its row has now.
        self.on_admission: Callable[[str, tuple[Reservation, ...]], None] = (
            lambda route, reservations: None
        )

    def __iter__(self) -> Iterator[Stored[JobHead]]:
        return iter(list(self._heads.values()))

    def open_heads(self) -> list[Stored[JobHead]]:
        """Return the heads of the jobs that are open."""
        return list(self._open.values())

    def get(self, job_id: str) -> Stored[JobHead] | None:
        """Return the newest known head of a job, or None."""
        return self._heads.get(job_id)

    def apply_head(self, stored: Stored[JobHead]) -> None:
        """Apply a head unless the same or a newer version is known."""
        job_id = stored.record.id
        current = self._heads.get(job_id)
        if current is not None and current.version >= stored.version:
            return
        self._heads[job_id] = stored
        if stored.record.state is JobState.OPEN:
            self._open[job_id] = stored
        else:
            self._open.pop(job_id, None)
        self._notify(job_id)

    def replace(self, rows: tuple[Row, ...]) -> None:
        """
        Apply the whole table; heads of jobs that it lacks are dropped.

        That may drop a head which this host wrote while the table was read, so
        the admission rows become those of the table, too.
        """
        self.replacements += 1
        heads = [row for row in rows if row.key.part != ADMISSION_PART]
        self._admissions.clear()
        for row in rows:
            if row.key.part == ADMISSION_PART:
                self._apply_admission_row(row.key, row.value, row.version)
        table_ids = {row.key.key for row in heads}
        for job_id in [
            known_id for known_id in self._heads if known_id not in table_ids
        ]:
            self._remove(job_id)
        for row in heads:
            self._apply_head_row(row.key, row.value, row.version)
        for key in list(self._admission_waiters):
            _wake(self._admission_waiters, key)

    def apply_change(self, change: RowChange) -> None:
        """Apply one change of the table."""
        if change.key.part == ADMISSION_PART:
            if change.value is None:
                self._admissions.pop(change.key, None)
            else:
                self._apply_admission_row(change.key, change.value, change.version)
        elif change.value is not None:
            self._apply_head_row(change.key, change.value, change.version)
        elif change.key.key in self._heads:
            self._remove(change.key.key)

    async def wait_change(self, job_id: str, limit_s: float) -> None:
        """Wait until the head of a job changes, for at most ``limit_s``."""
        await _wait(self._waiters, job_id, limit_s)

    def admission(self, route: str) -> Stored[AdmissionRecord]:
        """Return the admission row of a route; version 0 if it has none."""
        key = admission_key(route)
        return self._admissions.get(key, Stored(key, AdmissionRecord(()), 0))

    def apply_admission(self, stored: Stored[AdmissionRecord]) -> None:
        """Apply an admission row unless the same or a newer one is known."""
        route = stored.key.key
        if stored.version > self.admission(route).version:
            self._admissions[stored.key] = stored
            self.on_admission(route, stored.record.reservations)
            _wake(self._admission_waiters, stored.key)

    async def wait_admission(self, route: str, version: int, limit_s: float) -> bool:
        """
        Wait until an admission row is known by this version or a newer one.

        :return: False if it is not after ``limit_s``.
        """
        key = admission_key(route)
        loop = asyncio.get_running_loop()
        deadline_s = loop.time() + limit_s
        while self.admission(route).version < version:
            self.on_late()
            if not await _wait(self._admission_waiters, key, deadline_s - loop.time()):
                return False
        return True

    def _apply_head_row(self, key: RowKey, value: bytes, version: int) -> None:
        head = readable_record(key, value, JobHead)
        if head is not None and head.id == key.key:
            self.apply_head(Stored(key, head, version))

    def _apply_admission_row(self, key: RowKey, value: bytes, version: int) -> None:
        record = readable_record(key, value, AdmissionRecord)
        if record is not None:
            self.apply_admission(Stored(key, record, version))

    def _remove(self, job_id: str) -> None:
        del self._heads[job_id]
        self._open.pop(job_id, None)
        self._notify(job_id)

    def _notify(self, job_id: str) -> None:
        _wake(self._waiters, job_id)
        self.on_change(job_id)


async def _wait(
    waiters: dict[Key, set[asyncio.Event]], key: Key, limit_s: float
) -> bool:
    """Wait to be woken under a key; return False after ``limit_s``."""
    event = asyncio.Event()
    waiters.setdefault(key, set()).add(event)
    try:
        async with asyncio.timeout(limit_s):
            await event.wait()
    except TimeoutError:
        return False
    finally:
        waiters[key].discard(event)
        if not waiters[key]:
            del waiters[key]
    return True


def _wake(waiters: dict[Key, set[asyncio.Event]], key: Key) -> None:
    for event in waiters.get(key, ()):
        event.set()
