"""
Reserves room for batch jobs, in one order for all hosts.

Before the head of a job is written on a route with a limit, its tokens are put
into the admission row of the route, on condition that this row is as this host
last saw it. What waits is the sum over the heads and over the reservations
whose heads are not known yet. Rows and changes of one table arrive in the
order of their versions, so a host knows the head of each job that the row has
left out. Of two hosts that see room for one job, one writes the row; the other
one sees that job before it decides again.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs
from returns.result import Failure, Result, Success

from aspenbridge.admission import AdmissionDecision, Reservation, ReservationBook
from aspenbridge.fleet import FRESH_LIMIT_S
from aspenbridge.observability import log_decision, metrics
from aspenbridge.ports import Conflict, Unavailable
from aspenbridge.store import Changes, Stored

from ._records import AdmissionRecord, JobHead, JobState, head_key

if TYPE_CHECKING:
    from random import Random

    from aspenbridge.admission import AdmissionQuota
    from aspenbridge.fleet import Follower
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


@attrs.frozen
class JobTokens:
    """A job that asks for room on a route; a limit of 0 means no limit."""

    job_id: str
    route: str
    tokens: int
    limit_tokens: int


class JobAdmission:
    """Decides whether new jobs are accepted, and reserves room for them."""

    def __init__(
        self,
        directory: JobDirectory,
        quota: AdmissionQuota,
        follower: Follower,
        store: Store,
        clock: Clock,
        random: Random,
    ) -> None:
        self._directory = directory
        self._quota = quota
        self._book = ReservationBook(clock)
        self._follower = follower
        self._store = store
        self._clock = clock
        self._random = random
        directory.on_admission = self._book.update

    def head_changed(self, job_id: str) -> None:
        """Count a job anew whose head has changed or was removed."""
        stored = self._directory.get(job_id)
        if stored is None or stored.record.state is not JobState.OPEN:
            self._quota.forget(job_id)
        else:
            head = stored.record
            self._quota.track(job_id, head.route, head.waiting_tokens)

    async def refuse_early(self, job: JobTokens) -> NotAccepted | None:
        """
        Return why a job is refused, before anything is written for it.

        Mostly without a call to the store.

        :return: None if the job seems to fit; the decision against it; or what
            the store told instead, a conflict if the job is already accepted.
        """
        if not job.limit_tokens:
            return None
        if not self._follower.loaded.is_set():
            return LATE_COUNT
        decision = self._decide(job)
        if decision.admitted:
            return None
        self._record(job.job_id, decision)
        return await self._confirm_refusal(job, decision)

    async def reserve(
        self, job: JobTokens, deadline_s: float
    ) -> Result[None, NotAccepted]:
        """
        Reserve room for a job; without a limit there is nothing to reserve.

        The head has to be written by ``deadline_s``, or not at all.

        :param deadline_s: monotonic time, at most ``ACCEPT_LIMIT_S`` ahead.
        :return: why there is no room: the decision against the job, a conflict
            if it is already accepted, or the store's failure.
        """
        while job.limit_tokens:
            # No pause before the write, which the decision's version guards.
            decision = self._decide(job)
            self._record(job.job_id, decision)
            if not decision.admitted:
                return Failure(decision)
            written = await self._write_reservation(job, deadline_s)
            if isinstance(written, Success):
                break
            error = written.failure()
            if isinstance(error, Unavailable):
                # The reservation lapses, so the job itself was not accepted.
                return Failure(attrs.evolve(error, maybe_applied=False))
            if not await self._learn_of_other_jobs(job.route, error, deadline_s):
                return Failure(LATE_COUNT)
            if self._directory.get(job.job_id) is not None:
                return Failure(error)
        return Success(None)

    async def _confirm_refusal(
        self, job: JobTokens, decision: AdmissionDecision
    ) -> NotAccepted:
        """
        Return the decision, unless this host's copy is too old to know.

        Another host may have accepted the job since; it must not be refused.
        """
        if self._follower.age_s <= FRESH_COUNT_S:
            return decision
        read = await self._store.get(head_key(job.job_id), JobHead)
        if isinstance(read, Failure):
            error: Unavailable = read.failure()
            return error
        stored = read.unwrap()
        if stored is not None:
            self._directory.apply_head(stored)
            return Conflict({stored.key: None})
        return decision if self._follower.age_s <= FRESH_LIMIT_S else LATE_COUNT

    async def _write_reservation(
        self, job: JobTokens, deadline_s: float
    ) -> Result[None, Conflict | Unavailable]:
        """Write the admission row with the job, without those now known."""
        before = self._directory.admission(job.route)
        replacements = self._directory.replacements
        mark = self._random.randbytes(4).hex()
        own = Reservation(job.job_id, job.tokens, mark)
        record = AdmissionRecord((*self._other_reservations(job), own))
        committed = await self._store.commit(
            Changes().unchanged(before).put(before.key, record), deadline_s=deadline_s
        )
        if isinstance(committed, Failure):
            return committed
        # A table read meanwhile may lack heads that the record leaves out; the
        # feed brings the row after them.
        if self._directory.replacements == replacements:
            version = committed.unwrap().versions[before.key]
            self._directory.apply_admission(Stored(before.key, record, version))
        return Success(None)

    async def _learn_of_other_jobs(
        self, route: str, conflict: Conflict, deadline_s: float
    ) -> bool:
        """Wait until this host knows the jobs that came before."""
        metrics.ADMISSIONS.labels("raced").inc()
        row = next(iter(conflict.rows.values()), None)
        limit_s = deadline_s - self._clock.now_s()
        if row is None or limit_s <= 0:
            return False
        return await self._directory.wait_admission(route, row.version, limit_s)

    def _other_reservations(self, job: JobTokens) -> list[Reservation]:
        """Return the reservations of other jobs whose heads are not known."""
        return [
            reservation
            for reservation in self._book.holding(job.route)
            if reservation.job_id != job.job_id
            and self._directory.get(reservation.job_id) is None
        ]

    def _decide(self, job: JobTokens) -> AdmissionDecision:
        reserved_tokens = sum(r.tokens for r in self._other_reservations(job))
        decision = self._quota.decide(
            job.route, job.limit_tokens, job.tokens, reserved_tokens
        )
        metrics.WAITING_TOKENS.labels(job.route).set(decision.waiting_tokens)
        metrics.WAITING_TOKENS_LIMIT.labels(job.route).set(job.limit_tokens)
        return decision

    def _record(self, job_id: str, decision: AdmissionDecision) -> None:
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
