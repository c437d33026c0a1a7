"""The heads of all batch jobs, kept up to date from the store."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from aspenbridge.store import Stored, decode_record

from ._records import JobHead

if TYPE_CHECKING:
    from collections.abc import Callable, Iterator

    from aspenbridge.ports import Change, Row


class JobDirectory:
    """Heads by job; tells who listens when one changes."""

    def __init__(self) -> None:
        self._heads: dict[str, Stored[JobHead]] = {}
        self._waiting: dict[str, set[asyncio.Event]] = {}
        self.on_change: Callable[[str], None] = lambda job_id: None

    def __iter__(self) -> Iterator[Stored[JobHead]]:
        return iter(list(self._heads.values()))

    def get(self, job_id: str) -> Stored[JobHead] | None:
        """Return the newest head that is known of a job."""
        return self._heads.get(job_id)

    def take(self, stored: Stored[JobHead]) -> None:
        """Take in a head unless a newer one is known."""
        job_id = stored.record.id
        known = self._heads.get(job_id)
        if known is not None and known.version >= stored.version:
            return
        self._heads[job_id] = stored
        self._notify(job_id)

    def replace(self, rows: tuple[Row, ...]) -> None:
        """Take in the whole table."""
        listed = {row.key.key for row in rows}
        for job_id in [known for known in self._heads if known not in listed]:
            del self._heads[job_id]
            self._notify(job_id)
        for row in rows:
            self.take(Stored(row.key, decode_record(row.value, JobHead), row.version))

    def apply_change(self, change: Change) -> None:
        """Take in one change of the table."""
        if change.value is not None:
            head = decode_record(change.value, JobHead)
            self.take(Stored(change.key, head, change.version))
        elif self._heads.pop(change.key.key, None) is not None:
            self._notify(change.key.key)

    async def wait_change(self, job_id: str, limit_s: float) -> None:
        """Return when the head of a job changes, or after a time."""
        event = asyncio.Event()
        self._waiting.setdefault(job_id, set()).add(event)
        try:
            async with asyncio.timeout(limit_s):
                await event.wait()
        except TimeoutError:
            return
        finally:
            waiting = self._waiting[job_id]
            waiting.discard(event)
            if not waiting:
                del self._waiting[job_id]

    def _notify(self, job_id: str) -> None:
        for event in self._waiting.get(job_id, ()):
            event.set()
        self.on_change(job_id)
