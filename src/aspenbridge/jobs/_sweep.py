"""Removes jobs whose results are past their retention time."""

from __future__ import annotations

from typing import TYPE_CHECKING

from returns.result import Failure

from aspenbridge.fleet import rank
from aspenbridge.observability import log_decision

from ._records import JobState

if TYPE_CHECKING:
    from collections.abc import Set

    from aspenbridge.fleet import HostTable
    from aspenbridge.ports import Clock
    from aspenbridge.store import Stored

    from ._directory import JobDirectory
    from ._records import JobHead
    from ._repository import JobRepository

SWEEP_INTERVAL_S = 10.0  # a small part of the retention time
CLOCK_SLACK_S = 10.0  # exceeds the clock skew between hosts, clock steps included


class JobSweep:
    """
    Removes old jobs that are complete or ended.

    A job is old once ``retention_s`` have passed since its acceptance. A hash
    assigns each job to one live host, which removes it.
    """

    def __init__(
        self,
        host: str,
        directory: JobDirectory,
        hosts: HostTable,
        repository: JobRepository,
        clock: Clock,
        retention_s: float,
    ) -> None:
        self._host = host
        self._directory = directory
        self._hosts = hosts
        self._repository = repository
        self._clock = clock
        self._retention_s = retention_s

    async def run(self) -> None:
        """Remove old jobs at regular intervals until cancelled."""
        while True:
            await self._clock.sleep_until(self._clock.now_s() + SWEEP_INTERVAL_S)
            old = [s for s in self._directory if self._is_past_retention(s.record)]
            live_hosts = {self._host}
            if old:
                live_hosts.update(self._hosts.live_names())
            for stored in old:
                if self._is_assigned_here(stored.record.id, live_hosts):
                    await self._remove(stored)

    def _is_past_retention(self, head: JobHead) -> bool:
        if head.state is JobState.OPEN:
            return False
        age_s = self._clock.wall_s() - head.accepted_wall_s
        return age_s > self._retention_s + CLOCK_SLACK_S

    def _is_assigned_here(self, job_id: str, live_hosts: Set[str]) -> bool:
        return min(live_hosts, key=lambda host: rank(host, job_id)) == self._host

    async def _remove(self, stored: Stored[JobHead]) -> None:
        removed = await self._repository.remove(stored)
        if isinstance(removed, Failure):
            log_decision(
                "job not removed", job=stored.record.id, reason=str(removed.failure())
            )
        else:
            log_decision("job removed", job=stored.record.id)
