"""Serves callers of batch jobs: submit, read results and item bodies, end."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Protocol

import attrs
import msgspec
from returns.result import Failure, Result, Success

from aspenbridge.admission import AdmissionDecision, Verdict
from aspenbridge.fleet import FRESH_LIMIT_S
from aspenbridge.observability import log_decision, metrics
from aspenbridge.ports import Conflict, Unavailable
from aspenbridge.result_codes import Problem, ResultCode, stopping_problem
from aspenbridge.store import Changes, Stored, readable_record

from ._admission import ACCEPT_LIMIT_S, JobTokens, NotAccepted
from ._messages import ItemResult, ResultPage, encode_items
from ._records import (
    JobHead,
    JobState,
    ResultRecord,
    head_key,
    items_object,
    result_key,
)
from ._repository import read_items

if TYPE_CHECKING:
    from collections.abc import Callable

    from aspenbridge.fleet import Follower, Reachability, Route
    from aspenbridge.ports import ChangeFeed, Clock, ObjectStore
    from aspenbridge.store import Store

    from ._admission import JobAdmission
    from ._directory import JobDirectory
    from ._messages import JobSubmission, SubmittedItem

END_LIMIT_S = 2.0
STORE_RETRY_S = 0.5
OTHER_HOST_RETRY_S = 0.02  # short, since the retry goes to another host
STORE_UNREACHABLE = Unavailable("the store is unreachable", maybe_applied=False)
UNREADABLE = Unavailable("a result can't be read", maybe_applied=False)
# Of the results of one page, as JSON encodes them; callers accept up to one
# megabyte.
MAX_PAGE_BYTES = 900_000
# Pages and items that are read from the store at one time. Each takes a few
# times its size while it is decoded.
MAX_READS = 2
MAX_LOGGED_AGE_S = 1e6  # of a copy that was never current


def _always() -> bool:
    return True


class OwnedJobs(Protocol):
    """The batch jobs that this host owns."""

    def add_job(
        self, stored: Stored[JobHead], items: tuple[SubmittedItem, ...]
    ) -> object:
        """Start to run a job that this host has just accepted."""

    def items(self, job_id: str) -> tuple[SubmittedItem, ...] | None:
        """Return the items of a job, or None if it is not run here."""


class JobService:
    """Serves callers from the store and from this host's copy of the heads."""

    def __init__(
        self,
        directory: JobDirectory,
        admission: JobAdmission,
        follower: Follower,
        reachability: Reachability,
        store: Store,
        feed: ChangeFeed,
        objects: ObjectStore,
        owned: OwnedJobs,
        clock: Clock,
        incarnation: str,
        configuration_version: Callable[[], int],
    ) -> None:
        self._directory = directory
        self._admission = admission
        self._follower = follower
        self._reachability = reachability
        self._store = store
        self._feed = feed
        self._objects = objects
        self._owned = owned
        self._clock = clock
        self._incarnation = incarnation
        self._configuration_version = configuration_version
        self._reads = asyncio.Semaphore(MAX_READS)

    async def submit(
        self,
        submission: JobSubmission,
        route: Route,
        may_write: Callable[[], bool] = _always,
    ) -> Result[None, Problem]:
        """
        Accept a job; a repeated submission succeeds and has no effect.

        Items are stored before the head, so every head has its items. So is
        room on the route reserved, if the tokens that may wait there are
        limited; a job that does not fit is refused before that.

        :param may_write: asked before the head is written; without a head the
            job does not exist.
        """
        if self._directory.get(submission.id) is not None:
            return Success(None)
        if not self._reachability.reaches_store:
            return self._not_accepted(submission.id, STORE_UNREACHABLE)
        job = JobTokens(
            submission.id, route.name, submission.tokens, route.max_waiting_tokens
        )
        refusal = await self._admission.refuse_early(job)
        if refusal is not None:
            return self._not_accepted(submission.id, refusal)
        deadline_s = self._clock.now_s() + ACCEPT_LIMIT_S
        # Together, since either takes a round trip to the store.
        reserved, stored = await asyncio.gather(
            self._admission.reserve(job, deadline_s),
            self._objects.put(
                items_object(submission.id), encode_items(submission.items)
            ),
        )
        if isinstance(reserved, Failure):
            return self._not_accepted(submission.id, reserved.failure())
        if isinstance(stored, Failure):
            reason = stored.failure().reason
            # Without a head the object has no effect, even if it was written.
            not_applied = Unavailable(reason, maybe_applied=False)
            return self._not_accepted(submission.id, not_applied)
        if not may_write():
            return Failure(stopping_problem())
        head = self._new_head(submission, route)
        accepted = await self._write_head(head, deadline_s)
        if isinstance(accepted, Failure):
            return self._not_accepted(head.id, accepted.failure())
        self._owned.add_job(accepted.unwrap(), submission.items)
        metrics.JOBS.labels("accepted").inc()
        log_decision("job accepted", job=head.id, items=head.total, route=route.name)
        return Success(None)

    async def _write_head(
        self, head: JobHead, deadline_s: float
    ) -> Result[Stored[JobHead], Conflict | Unavailable]:
        """Write the head of a new job, unless its time to do so is over."""
        if self._clock.now_s() > deadline_s:
            return Failure(Unavailable("the store is slow", maybe_applied=False))
        key = head_key(head.id)
        committed = await self._store.commit(
            Changes().absent(key).put(key, head), deadline_s=deadline_s
        )
        if isinstance(committed, Failure):
            return committed
        accepted = Stored(key, head, committed.unwrap().versions[key])
        self._directory.apply_head(accepted)
        return Success(accepted)

    def _new_head(self, submission: JobSubmission, route: Route) -> JobHead:
        now_s = self._clock.wall_s()
        return JobHead(
            id=submission.id,
            host=submission.host,
            owner=self._incarnation,
            state=JobState.OPEN,
            total=len(submission.items),
            accepted_wall_s=now_s,
            due_wall_s=now_s + route.completion_goal_s,
            expires_wall_s=now_s + route.retention_s,
            configuration=self._configuration_version(),
            route=route.name,
            waiting_tokens=submission.tokens,
        )

    def _not_accepted(self, job_id: str, error: NotAccepted) -> Result[None, Problem]:
        if isinstance(error, Conflict):
            log_decision("job known", job=job_id)
            return Success(None)
        metrics.JOBS.labels("not accepted").inc()
        if isinstance(error, AdmissionDecision):
            return Failure(_route_full(error))
        log_decision(
            "job not accepted",
            job=job_id,
            reason=error.reason,
            maybe_applied=error.maybe_applied,
        )
        return Failure(self._store_problem(error, maybe_applied=error.maybe_applied))

    async def results(
        self, job_id: str, first: int, wait_s: float
    ) -> Result[ResultPage, Problem]:
        """
        Return results from position ``first`` on.

        Waits up to ``wait_s`` for the result at this position, unless all
        items are listed.
        """
        until_s = self._clock.now_s() + wait_s
        while True:
            head_result = await self._read_head(job_id)
            if isinstance(head_result, Failure):
                return head_result
            head = head_result.unwrap().record
            remaining_s = until_s - self._clock.now_s()
            listed = len(head.listed)
            if first < listed or listed == head.total or remaining_s <= 0:
                break
            await self._directory.wait_change(job_id, remaining_s)
        if first < listed:
            async with self._reads:
                return await self._read_page(head, first, listed)
        if listed == head.total:
            return Success(ResultPage(head.total, first, ()))
        return await self._read_unlisted(job_id, first, listed)

    async def _read_unlisted(
        self, job_id: str, first: int, copied: int
    ) -> Result[ResultPage, Problem]:
        """
        Return results from a position on that this host's copy lacks.

        The store tells, since callers may have read them at another host: a
        feed may deliver nothing for seconds, and a host may handle it late.

        :param copied: how many results the copy lists.
        """
        head_result = await self._read_head(job_id, current=True)
        if isinstance(head_result, Failure):
            return head_result
        head = head_result.unwrap().record
        listed = len(head.listed)
        log_decision(
            "no result yet" if first >= listed else "copy was late",
            job=job_id,
            first=first,
            copied=copied,
            listed=listed,
            copy_age_ms=round(min(self._follower.age_s, MAX_LOGGED_AGE_S) * 1000),
        )
        if first >= listed:
            return Success(ResultPage(head.total, first, ()))
        async with self._reads:
            return await self._read_page(head, first, listed)

    async def body(self, job_id: str, item_id: str) -> Result[bytes, Problem]:
        """Return the request body of an item, while its job is stored."""
        head_result = await self._read_head(job_id)
        if isinstance(head_result, Failure):
            return head_result
        items = self._owned.items(job_id)
        if items is None:
            async with self._reads:
                read = await read_items(self._objects, job_id)
            if isinstance(read, Failure):
                return Failure(self._store_problem(read.failure(), maybe_applied=False))
            items = read.unwrap() or ()
        for item in items:
            if item.id == item_id:
                return Success(item.body)
        detail = f"batch job {job_id!r} has no item {item_id!r}"
        return Failure(Problem(ResultCode.NOT_FOUND, detail))

    async def end(
        self, job_id: str, may_write: Callable[[], bool] = _always
    ) -> Result[None, Problem]:
        """
        End a job: its listed results stay, its other items are not run.

        :param may_write: asked before the head is written.
        """
        head_result = await self._read_head(job_id, current=True)
        deadline_s = self._clock.now_s() + END_LIMIT_S
        while not isinstance(head_result, Failure):
            stored = head_result.unwrap()
            if stored.record.state is not JobState.OPEN:
                return Success(None)
            if not may_write():
                return Failure(stopping_problem())
            ended = attrs.evolve(stored.record, state=JobState.ENDED)
            committed = await self._store.commit(
                Changes().unchanged(stored).put(stored.key, ended),
                deadline_s=deadline_s,
            )
            if not isinstance(committed, Failure):
                version = committed.unwrap().versions[stored.key]
                self._directory.apply_head(Stored(stored.key, ended, version))
                log_decision("job ended", job=job_id, listed=len(ended.listed))
                return Success(None)
            error = committed.failure()
            if isinstance(error, Unavailable):
                return Failure(self._store_problem(error, maybe_applied=True))
            head_result = await self._read_head(job_id, current=True)
        return head_result

    async def _read_head(
        self, job_id: str, *, current: bool = False
    ) -> Result[Stored[JobHead], Problem]:
        """
        Return a job's head from this host's copy, or else from the store.

        The copy is used if the job is complete, since such a head does not
        change, or if the copy is up to date. With ``current``, the head is
        always read from the store.
        """
        cached = self._directory.get(job_id)
        if cached is not None and not current:
            complete = cached.record.state is JobState.COMPLETE
            if complete or self._follower.age_s < FRESH_LIMIT_S:
                return Success(cached)
        if not self._reachability.reaches_store:
            return Failure(self._store_problem(STORE_UNREACHABLE, maybe_applied=False))
        read = await self._store.get(head_key(job_id), JobHead)
        if isinstance(read, Failure):
            return Failure(self._store_problem(read.failure(), maybe_applied=False))
        stored = read.unwrap()
        if stored is None:
            detail = f"there is no batch job {job_id!r}"
            return Failure(Problem(ResultCode.NOT_FOUND, detail))
        self._directory.apply_head(stored)
        return Success(stored)

    async def _read_page(
        self, head: JobHead, first: int, listed: int
    ) -> Result[ResultPage, Problem]:
        start = result_key(head.id, first)
        end = result_key(head.id, listed)
        read = await self._feed.rows(
            start.table, start.part, start=start.key, end=end.key
        )
        if isinstance(read, Failure):
            return Failure(self._store_problem(read.failure(), maybe_applied=False))
        results: list[ItemResult] = []
        total_bytes = 0
        for row in read.unwrap().rows:
            record = readable_record(row.key, row.value, ResultRecord)
            if record is None:
                return Failure(self._store_problem(UNREADABLE, maybe_applied=False))
            loaded = await self._read_text(record)
            if isinstance(loaded, Failure):
                return loaded
            text = loaded.unwrap()
            result = ItemResult(record.item_id, text)
            total_bytes += len(msgspec.json.encode(result))
            if results and total_bytes > MAX_PAGE_BYTES:
                break
            results.append(result)
        return Success(ResultPage(head.total, first, tuple(results)))

    async def _read_text(self, record: ResultRecord) -> Result[str | None, Problem]:
        if not record.text_object:
            return Success(record.text)
        read = await self._objects.get(record.text_object)
        if isinstance(read, Failure):
            return Failure(self._store_problem(read.failure(), maybe_applied=False))
        body = read.unwrap()
        if body is None:
            detail = f"result text object {record.text_object!r} is missing"
            return Failure(Problem(ResultCode.INTERNAL_ERROR, detail))
        if record.text_bytes and len(body) != record.text_bytes:
            error = Unavailable(
                f"result text object {record.text_object!r} was not read whole",
                maybe_applied=False,
            )
            return Failure(self._store_problem(error, maybe_applied=False))
        return Success(body.decode())

    def _store_problem(self, error: Unavailable, *, maybe_applied: bool) -> Problem:
        if maybe_applied:
            return Problem(ResultCode.OUTCOME_UNKNOWN, error.reason)
        other_host_may_serve = self._reachability.others_may_reach_store
        return Problem(
            ResultCode.STORE_UNAVAILABLE,
            error.reason,
            retry_after_s=OTHER_HOST_RETRY_S if other_host_may_serve else STORE_RETRY_S,
        )


def _route_full(decision: AdmissionDecision) -> Problem:
    """Return the refusal of a job, without what others have waiting."""
    room = f"the {decision.limit_tokens} tokens that may wait"
    detail = (
        f"route {decision.route!r} is full: the job's {decision.job_tokens} tokens "
        f"do not fit into {room} now"
    )
    if decision.verdict is Verdict.NEVER_FITS:
        detail = (
            f"the job has {decision.job_tokens} tokens, more than {room} on route "
            f"{decision.route!r}"
        )
    return Problem(ResultCode.ROUTE_FULL, detail, retry_after_s=decision.retry_after_s)
