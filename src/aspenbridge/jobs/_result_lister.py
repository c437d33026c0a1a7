"""Has the finished items of owned jobs listed, one write a job at a time."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from ._records import JobState

if TYPE_CHECKING:
    from ._owned import OwnedJob
    from ._repository import JobRepository

RETRY_S = 0.3  # a write was tried for seconds before


class Listings:
    """The writes of results that are under way."""

    def __init__(self, ledger: JobRepository, owned: dict[str, OwnedJob]) -> None:
        self._ledger = ledger
        self._owned = owned
        self._tasks: set[asyncio.Task[None]] = set()

    def begin(self, job: OwnedJob) -> None:
        """List what a job has finished, unless that is under way."""
        if job.listing:
            return
        job.listing = True
        task = asyncio.create_task(self._list(job))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def wait(self) -> None:
        """Wait until no write is under way."""
        await asyncio.gather(*self._tasks, return_exceptions=True)

    async def _list(self, job: OwnedJob) -> None:
        """List finished items until there are none or the job is lost."""
        try:
            while job.finished and job.head.id in self._owned:
                if not await self._ledger.list_finished(job):
                    await asyncio.sleep(RETRY_S)
        finally:
            job.listing = False
        if job.head.state is not JobState.OPEN:
            self._owned.pop(job.head.id, None)
