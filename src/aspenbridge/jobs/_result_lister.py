"""Lists the results of owned jobs, with one write in progress per job."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from ._records import JobState

if TYPE_CHECKING:
    from ._owned import OwnedJob
    from ._repository import JobRepository

RETRY_S = 0.3  # short, since a write has already been retried for seconds


class ResultLister:
    """Runs the tasks that write the results of finished items."""

    def __init__(self, repository: JobRepository, owned: dict[str, OwnedJob]) -> None:
        self._repository = repository
        self._owned = owned
        self._tasks: set[asyncio.Task[None]] = set()

    def start(self, job: OwnedJob) -> None:
        """Start to list the finished items of a job, unless in progress."""
        if job.listing:
            return
        job.listing = True
        task = asyncio.create_task(self._list_results(job))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _list_results(self, job: OwnedJob) -> None:
        """
        List finished items until none is left or the job is no longer owned.

        A job that is not open any more is removed from the owned jobs.
        """
        try:
            while self._is_listed_here(job):
                if not await self._repository.write_results(job):
                    await asyncio.sleep(RETRY_S)
        finally:
            job.listing = False
        if job.head.state is not JobState.OPEN:
            self._owned.pop(job.head.id, None)

    def _is_listed_here(self, job: OwnedJob) -> bool:
        if job.head.state is not JobState.OPEN or not job.finished:
            return False
        return job.head.id in self._owned
