"""
Which host takes over a batch job without a living owner.

Answers the loss of one host and of many at once: jobs are dealt out by a hash,
and a job that its first choice does not take goes to the next one.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

from aspenbridge.fleet import rank
from aspenbridge.observability import log_decision, metrics

from ._records import JobState

if TYPE_CHECKING:
    from collections.abc import Iterable

    from aspenbridge.fleet import Contact, HostTable
    from aspenbridge.ports import Clock
    from aspenbridge.store import Stored

    from ._directory import JobDirectory
    from ._records import JobHead
    from ._repository import JobRepository
    from ._worker import JobWorker

CLAIM_INTERVAL_S = 0.25
TURN_S = 1.0  # a claim and the reading of the items take a part of this


def should_claim(
    job_id: str, own: str, live: Iterable[str], orphaned_for_s: float
) -> bool:
    """
    Return whether this host is to claim a job now.

    :param own: this host's name.
    :param live: the names of the hosts that live.
    :param orphaned_for_s: how long the job has had no living owner.
    """
    order = sorted({*live, own}, key=lambda host: rank(host, job_id))
    return order.index(own) * TURN_S <= orphaned_for_s


@attrs.frozen
class _Orphan:
    version: int
    since_s: float


class JobClaims:
    """Takes over jobs whose owner is gone."""

    def __init__(
        self,
        host: str,
        directory: JobDirectory,
        hosts: HostTable,
        contact: Contact,
        ledger: JobRepository,
        worker: JobWorker,
        clock: Clock,
        incarnation: str,
    ) -> None:
        self._host = host
        self._directory = directory
        self._hosts = hosts
        self._contact = contact
        self._ledger = ledger
        self._worker = worker
        self._clock = clock
        self._incarnation = incarnation
        self._orphans: dict[str, _Orphan] = {}
        self.enabled = False

    async def run(self) -> None:
        """Claim jobs until cancelled."""
        while True:
            if self.enabled and self._contact.hosts_current:
                for stored in self._due():
                    await self._claim(stored)
            await self._clock.sleep_until(self._clock.now_s() + CLAIM_INTERVAL_S)

    def _due(self) -> list[Stored[JobHead]]:
        """Return the jobs that this host is to claim now."""
        now_s = self._clock.now_s()
        live = [record.host for record in self._hosts.live()]
        due: list[Stored[JobHead]] = []
        orphans: dict[str, _Orphan] = {}
        for stored in self._directory:
            head = stored.record
            if not self._orphaned(head):
                continue
            known = self._orphans.get(head.id)
            if known is None or known.version != stored.version:
                known = _Orphan(stored.version, now_s)
            orphans[head.id] = known
            own = head.owner == self._incarnation
            if own or should_claim(head.id, self._host, live, now_s - known.since_s):
                due.append(stored)
        self._orphans = orphans
        return due

    def _orphaned(self, head: JobHead) -> bool:
        if head.state is not JobState.OPEN:
            return False
        if head.owner == self._incarnation:
            return not self._worker.owns(head.id)
        return not self._hosts.lives(head.owner)

    async def _claim(self, stored: Stored[JobHead]) -> None:
        job_id = stored.record.id
        items = await self._ledger.items(job_id)
        progress = await self._ledger.progress(job_id)
        if items is None or progress is None:
            log_decision("job not claimed", job=job_id, reason="items can't be read")
            return
        claimed = await self._ledger.claim(stored)
        log_decision(
            "job claimed" if claimed else "job claimed by another host",
            job=job_id,
            owner=stored.record.owner,
            version=stored.version,
        )
        if claimed is not None:
            metrics.JOBS.labels("claimed").inc()
            self._worker.adopt(claimed, items).restore(progress)
