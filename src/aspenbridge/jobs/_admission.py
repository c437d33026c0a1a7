"""
Accepts batch jobs in one order for all hosts, within the limit of their route.

The head of a job on a limited route is written together with the admission row
of the route, on condition that this row is as this host last saw it. All heads
accepted up to then are in this host's copy, since rows and changes of one
table arrive in the order of their versions. So of two hosts that see room for
one job, one writes; the other sees the new head before it decides again.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from returns.result import Failure, Result, Success

from aspenbridge.admission import AdmissionDecision
from aspenbridge.fleet import FRESH_LIMIT_S
from aspenbridge.observability import log_decision, metrics
from aspenbridge.ports import Conflict, Unavailable
from aspenbridge.store import Changes, Stored

from ._records import AdmissionRecord, JobHead, JobState, admission_key, head_key

if TYPE_CHECKING:
    from aspenbridge.admission import AdmissionQuota
    from aspenbridge.fleet import Follower, Route
    from aspenbridge.ports import Clock
    from aspenbridge.store import Store

    from ._directory import JobDirectory

ACCEPT_LIMIT_S = 2.5  # leaves a caller time to try another host by its deadline
# The age of this host's copy up to which a job is refused without a call to
# the store. A table with running jobs changes several times as often.
FRESH_COUNT_S = 0.25
LATE_COUNT = Unavailable(
    "the count of waiting tokens is not up to date", maybe_applied=False
)
NotAccepted = AdmissionDecision | Conflict | Unavailable


class JobAdmission:
    """Decides whether new jobs are accepted, and writes their heads."""

    def __init__(
        self,
        directory: JobDirectory,
        quota: AdmissionQuota,
        follower: Follower,
        store: Store,
        clock: Clock,
    ) -> None:
        self._directory = directory
        self._quota = quota
        self._follower = follower
        self._store = store
        self._clock = clock

    def head_changed(self, job_id: str) -> None:
        """Count a job anew whose head has changed or was removed."""
        stored = self._directory.get(job_id)
        if stored is None or stored.record.state is not JobState.OPEN:
            self._quota.forget(job_id)
        else:
            head = stored.record
            self._quota.track(job_id, head.route, head.waiting_tokens)

    async def refuse_early(
        self, job_id: str, route: Route, job_tokens: int
    ) -> Result[None, NotAccepted]:
        """
        Refuse a job that does not fit, before anything is written for it.

        Calls the store only if this host's copy is old: the job may then have
        been accepted by another host, and must not be refused.

        :return: a conflict for a job that is already accepted.
        """
        decision = self._decide(route.name, route.max_waiting_tokens, job_tokens)
        if decision.admitted:
            return Success(None)
        if self._follower.age_s > FRESH_COUNT_S:
            read = await self._store.get(head_key(job_id), JobHead)
            if isinstance(read, Failure):
                return read
            stored = read.unwrap()
            if stored is not None:
                self._directory.apply_head(stored)
                return Failure(Conflict({stored.key: None}))
            if self._follower.age_s > FRESH_LIMIT_S:
                return Failure(LATE_COUNT)
        self._record(job_id, decision)
        return Failure(decision)

    async def accept(
        self, head: JobHead, limit_tokens: int
    ) -> Result[Stored[JobHead], NotAccepted]:
        """
        Write the head of a new job, if the job fits.

        :param limit_tokens: the most tokens that may wait on the job's route;
            0 for no limit.
        :return: the head; or why it was not written: the decision against it,
            a conflict if the job is already accepted, or the store's failure.
        """
        deadline_s = self._clock.now_s() + ACCEPT_LIMIT_S
        key = head_key(head.id)
        while True:
            if self._directory.get(head.id) is not None:
                return Failure(Conflict({key: None}))
            # Without a pause, so that the version belongs to the decision.
            decision = self._decide(head.route, limit_tokens, head.waiting_tokens)
            self._record(head.id, decision)
            if not decision.admitted:
                return Failure(decision)
            written = await self._write_head(head, limit_tokens, deadline_s)
            if isinstance(written, Success):
                return written
            error = written.failure()
            if (
                isinstance(error, Unavailable)
                or not limit_tokens
                or error.rows.get(key) is not None
            ):
                return Failure(error)
            if not await self._learn_of_other_jobs(head.route, error, deadline_s):
                return Failure(LATE_COUNT)

    async def _write_head(
        self, head: JobHead, limit_tokens: int, deadline_s: float
    ) -> Result[Stored[JobHead], Conflict | Unavailable]:
        """Write a head unless another job came first on a limited route."""
        key, admission = head_key(head.id), admission_key(head.route)
        changes = Changes().absent(key).put(key, head)
        if limit_tokens:
            seen_version = self._directory.admission_version(head.route)
            changes.check(admission, seen_version)
            changes.put(admission, AdmissionRecord(head.id))
        committed = await self._store.commit(changes, deadline_s=deadline_s)
        if isinstance(committed, Failure):
            return committed
        versions = committed.unwrap().versions
        stored = Stored(key, head, versions[key])
        self._directory.apply_head(stored)
        if limit_tokens:
            self._directory.apply_admission(admission, versions[admission])
        return Success(stored)

    async def _learn_of_other_jobs(
        self, route: str, conflict: Conflict, deadline_s: float
    ) -> bool:
        """Wait until this host knows the jobs that were accepted before."""
        metrics.ADMISSIONS.labels("raced").inc()
        admission = admission_key(route)
        row = conflict.rows.get(admission)
        return row is not None and await self._directory.wait_admission(
            admission, row.version, deadline_s - self._clock.now_s()
        )

    def _decide(
        self, route: str, limit_tokens: int, job_tokens: int
    ) -> AdmissionDecision:
        decision = self._quota.decide(route, limit_tokens, job_tokens)
        metrics.WAITING_TOKENS.labels(route).set(decision.waiting_tokens)
        metrics.WAITING_TOKENS_LIMIT.labels(route).set(limit_tokens)
        return decision

    def _record(self, job_id: str, decision: AdmissionDecision) -> None:
        """Log and count a decision on a route with a limit."""
        if not decision.limit_tokens:
            return
        metrics.ADMISSIONS.labels(decision.verdict.value).inc()
        log_decision(
            "job admission",
            job=job_id,
            route=decision.route,
            decision=decision.verdict.value,
            tokens=decision.job_tokens,
            waiting_tokens=decision.waiting_tokens,
            limit_tokens=decision.limit_tokens,
            count_age_s=round(self._follower.age_s, 3),
            retry_after_s=decision.retry_after_s,
        )
