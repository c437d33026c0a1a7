"""This host's copy of the heads of all batch jobs, followed from the store."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from aspenbridge.store import Stored, decode_record

from ._records import JobHead, JobState

if TYPE_CHECKING:
    from collections.abc import Callable, Iterator

    from aspenbridge.ports import Row, RowChange


class JobDirectory:
    """Newest known head of each job; notifies listeners of changes."""

    def __init__(self) -> None:
        self._heads: dict[str, Stored[JobHead]] = {}
        self._open: dict[str, Stored[JobHead]] = {}  # of jobs that are run
        self._waiters: dict[str, set[asyncio.Event]] = {}
        self.on_change: Callable[[str], None] = lambda job_id: None

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
        """Apply the whole table; heads of jobs that it lacks are dropped."""
        table_ids = {row.key.key for row in rows}
        for job_id in [
            known_id for known_id in self._heads if known_id not in table_ids
        ]:
            self._remove(job_id)
        for row in rows:
            self.apply_head(
                Stored(row.key, decode_record(row.value, JobHead), row.version)
            )

    def apply_change(self, change: RowChange) -> None:
        """Apply one change of the table."""
        if change.value is not None:
            head = decode_record(change.value, JobHead)
            self.apply_head(Stored(change.key, head, change.version))
        elif change.key.key in self._heads:
            self._remove(change.key.key)

    async def wait_change(self, job_id: str, limit_s: float) -> None:
        """Wait until the head of a job changes, for at most ``limit_s``."""
        event = asyncio.Event()
        self._waiters.setdefault(job_id, set()).add(event)
        try:
            async with asyncio.timeout(limit_s):
                await event.wait()
        except TimeoutError:
            return
        finally:
            waiters = self._waiters[job_id]
            waiters.discard(event)
            if not waiters:
                del self._waiters[job_id]

    def _remove(self, job_id: str) -> None:
        del self._heads[job_id]
        self._open.pop(job_id, None)
        self._notify(job_id)

    def _notify(self, job_id: str) -> None:
        for event in self._waiters.get(job_id, ()):
            event.set()
        self.on_change(job_id)
