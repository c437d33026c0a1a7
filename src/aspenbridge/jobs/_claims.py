"""
Claims batch jobs whose owner is lost.

A hash of host and job orders the live hosts for each job, which spreads the
jobs of a lost host. If the first host in the order does not claim the job
within its turn, the next one may claim it as well, so jobs are taken over also
when many hosts are lost at once.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

from aspenbridge.fleet import rank
from aspenbridge.observability import log_decision, metrics

if TYPE_CHECKING:
    from collections.abc import Iterable

    from aspenbridge.fleet import HostTable, Reachability
    from aspenbridge.ports import Clock
    from aspenbridge.store import Stored

    from ._directory import JobDirectory
    from ._records import JobHead
    from ._repository import JobRepository
    from ._worker import JobWorker

CLAIM_INTERVAL_S = 0.25
CLAIM_TURN_S = 1.0  # reading the items and writing the claim take less


def should_claim(
    job_id: str, own_host: str, live_hosts: Iterable[str], orphaned_for_s: float
) -> bool:
    """
    Return whether this host may claim a job now.

    :param own_host: the name of this host.
    :param live_hosts: the names of the live hosts.
    :param orphaned_for_s: the time since this host first saw the present
        version of the job's head without a live owner.
    """
    order = sorted({*live_hosts, own_host}, key=lambda host: rank(host, job_id))
    return order.index(own_host) * CLAIM_TURN_S <= orphaned_for_s


@attrs.frozen
class _Orphan:
    """A head version with no live owner, and when this host first saw it."""

    version: int
    since_s: float


class JobClaims:
    """Takes over jobs whose owner is lost."""

    def __init__(
        self,
        host: str,
        directory: JobDirectory,
        hosts: HostTable,
        reachability: Reachability,
        repository: JobRepository,
        worker: JobWorker,
        clock: Clock,
        incarnation: str,
    ) -> None:
        self._host = host
        self._directory = directory
        self._hosts = hosts
        self._reachability = reachability
        self._repository = repository
        self._worker = worker
        self._clock = clock
        self._incarnation = incarnation
        self._orphans: dict[str, _Orphan] = {}
        # Set by the host once it has read the tables of hosts and of jobs, and
        # cleared when it releases its jobs at shutdown.
        self.enabled = False

    async def run(self) -> None:
        """Check for orphaned jobs and claim them until cancelled."""
        while True:
            if self.enabled and self._reachability.hosts_current:
                for stored in self._jobs_to_claim():
                    if self._is_newest(stored) and self.enabled:
                        await self._claim(stored)
            await self._clock.sleep_until(self._clock.now_s() + CLAIM_INTERVAL_S)

    def _is_newest(self, stored: Stored[JobHead]) -> bool:
        """Whether nobody has changed a head while others were claimed."""
        known = self._directory.get(stored.record.id)
        return known is not None and known.version == stored.version

    def _jobs_to_claim(self) -> list[Stored[JobHead]]:
        """
        Update the orphaned jobs; return those that this host may claim now.

        A job that this incarnation of the host owns but does not run may be
        claimed at once, whatever the order of the hosts.
        """
        now_s = self._clock.now_s()
        orphaned = [
            stored
            for stored in self._directory.open_heads()
            if self._is_orphaned(stored.record)
        ]
        live_hosts = self._hosts.live_names() if orphaned else []
        due: list[Stored[JobHead]] = []
        orphans: dict[str, _Orphan] = {}
        for stored in orphaned:
            head = stored.record
            orphan = self._orphans.get(head.id)
            if orphan is None or orphan.version != stored.version:
                orphan = _Orphan(stored.version, now_s)
            orphans[head.id] = orphan
            owned_here = head.owner == self._incarnation
            if owned_here or should_claim(
                head.id, self._host, live_hosts, now_s - orphan.since_s
            ):
                due.append(stored)
        self._orphans = orphans
        return due

    def _is_orphaned(self, head: JobHead) -> bool:
        if head.owner == self._incarnation:
            return not self._worker.owns(head.id)
        return not self._hosts.is_live(head.owner)

    async def _claim(self, stored: Stored[JobHead]) -> None:
        job_id = stored.record.id
        items = await self._repository.items(job_id)
        progress = await self._repository.progress(job_id)
        if items is None or progress is None:
            log_decision(
                "job not claimed", job=job_id, reason="items or progress can't be read"
            )
            return
        claimed = await self._repository.claim(stored)
        # A claim also fails when the store is unavailable; the log text is the
        # same as for a claim by another host.
        log_decision(
            "job claimed" if claimed else "job claimed by another host",
            job=job_id,
            owner=stored.record.owner,
            version=stored.version,
        )
        if claimed is not None:
            metrics.JOBS.labels("claimed").inc()
            self._worker.add_job(claimed, items).restore(progress)
