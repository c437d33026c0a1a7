"""Runs accepted coding requests and records their answers."""

from __future__ import annotations

import asyncio
import logging
from collections import Counter
from typing import TYPE_CHECKING

import attrs
from returns.result import Failure, Result, Success

from aspenbridge.membership import REQUEST, owned_key
from aspenbridge.ports import Conflict
from aspenbridge.result_codes import Problem, ResultCode
from aspenbridge.store import Changes
from aspenbridge.work import Work

from ._coding_records import CHART, CodingRecord, request_key
from ._generation import Generation
from ._retryable import LIMITED_RETRY_CODES, TRANSIENT_CODES

if TYPE_CHECKING:
    from collections.abc import Callable

    from aspenbridge.membership import Identity
    from aspenbridge.ports import Clock, Unavailable
    from aspenbridge.store import GroupCommitter, Store

    from ._generation import Generator

logger = logging.getLogger(__name__)
# How long a request is retried.
RUN_LIMIT_S = 3600.0
# Time limit of an attempt for which no caller waits.
ATTEMPT_LIMIT_S = 120.0
MAX_BACKEND_ATTEMPTS = 5
INITIAL_BACKOFF_S = 0.2
MAX_BACKOFF_S = 5.0


class CodingRuns:
    """Runs the accepted requests that this host owns, each in a task."""

    def __init__(
        self,
        identity: Callable[[], Identity],
        store: Store,
        committer: GroupCommitter,
        generator: Generator,
        clock: Clock,
    ) -> None:
        self._identity = identity
        self._store = store
        self._committer = committer
        self._generator = generator
        self._clock = clock
        self._tasks: dict[str, asyncio.Task[CodingRecord | None]] = {}
        self.counters: Counter[str] = Counter()

    @property
    def running_count(self) -> int:
        """The number of requests that run on this host."""
        return len(self._tasks)

    def start(
        self, record: CodingRecord, deadline_s: float
    ) -> asyncio.Task[CodingRecord | None]:
        """
        Run an accepted request in a task that outlives its caller.

        :param deadline_s: the deadline of the first attempt, when the caller
            stops waiting; the run continues with further attempts.
        :return: a task that returns the final record, or None if this host no
            longer owns the request.
        """
        running = self._tasks.get(record.request_id)
        if running is not None:
            return running
        task = asyncio.ensure_future(self._run(record, deadline_s))
        self._tasks[record.request_id] = task
        task.add_done_callback(lambda done: self._on_run_done(record.request_id, done))
        return task

    def find_task(self, request_id: str) -> asyncio.Task[CodingRecord | None] | None:
        """Return the task of a request that runs on this host, or None."""
        return self._tasks.get(request_id)

    def is_running(self, name: str) -> bool:
        """Return whether the named request runs on this host."""
        return name in self._tasks

    async def aclose(self) -> None:
        """Cancel all runs; the requests keep their owner until a takeover."""
        tasks = list(self._tasks.values())
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    async def drain(self, deadline_s: float) -> None:
        """Wait until all runs have ended, or until the deadline."""
        tasks = list(self._tasks.values())
        if tasks:
            remaining_s = max(0.0, deadline_s - self._clock.now_s())
            await asyncio.wait(tasks, timeout=remaining_s)

    async def take_over(self, failed: str, name: str) -> bool:
        """
        Take over and run a request, unless it has ended or has another owner.

        :param failed: the incarnation that owns the request: a fenced one, or
            this host's own for a request that no task runs.
        :return: False if the call must be repeated.
        """
        read = await self._store.get(request_key(name), CodingRecord)
        if isinstance(read, Failure):
            return False
        stored = read.unwrap()
        index_key = owned_key(failed, REQUEST, name)
        if stored is None or stored.record.ended or stored.record.owner != failed:
            index_deleted = await self._committer.commit(Changes().delete(index_key))
            return isinstance(index_deleted, Success)
        identity = self._identity()
        record = attrs.evolve(stored.record, owner=identity.incarnation)
        changes = Changes().unchanged(stored).put(stored.key, record)
        if failed != identity.incarnation:
            changes.delete(index_key)
        result = await self._committer.commit(
            identity.add_owned(changes, REQUEST, name)
        )
        if isinstance(result, Failure):
            return False
        self.counters["coding.taken_over"] += 1
        self.start(record, self._clock.now_s() + ATTEMPT_LIMIT_S)
        return True

    def _on_run_done(
        self, request_id: str, task: asyncio.Task[CodingRecord | None]
    ) -> None:
        self._tasks.pop(request_id, None)
        if not task.cancelled() and task.exception() is not None:
            self.counters["coding.faults"] += 1
            logger.error(
                "coding request %s: its run failed",
                request_id,
                exc_info=task.exception(),
            )

    async def _run(
        self, record: CodingRecord, deadline_s: float
    ) -> CodingRecord | None:
        identity = self._identity()
        final_record = await self._answer(record, deadline_s)
        return await self._record_answer(identity, final_record)

    async def _answer(self, record: CodingRecord, deadline_s: float) -> CodingRecord:
        """
        Generate until there is an answer or a final problem.

        A transient problem is final after ``RUN_LIMIT_S``, or if an
        earlier attempt ended with a problem of another kind.
        """
        limit_s = self._clock.now_s() + RUN_LIMIT_S
        backoff_s = INITIAL_BACKOFF_S
        failures = 0
        generation = Generation(_make_work(record, deadline_s))
        while True:
            generation.work = _make_work(record, deadline_s)
            problem = await self._generator.finish(generation)
            if problem is None:
                return _done_record(record, generation)
            failures += problem.code not in TRANSIENT_CODES
            is_final = failures >= _max_failures(problem.code)
            if is_final or self._clock.now_s() >= limit_s:
                return _failed_record(record, problem)
            await self._clock.sleep_until(self._clock.now_s() + backoff_s)
            backoff_s = min(backoff_s * 2, MAX_BACKOFF_S)
            deadline_s = self._clock.now_s() + ATTEMPT_LIMIT_S

    async def _record_answer(
        self, identity: Identity, final_record: CodingRecord
    ) -> CodingRecord | None:
        """
        Write the final record once; retry during outages.

        :return: None if this host no longer owns the request.
        """
        key = request_key(final_record.request_id)
        while True:
            result = await self._try_record_answer(identity, final_record)
            if isinstance(result, Success):
                return final_record
            error = result.failure()
            if isinstance(error, Conflict):
                current = error.rows.get(key)
                self.counters["coding.late_answers"] += current is not None
                return None
            self.counters["coding.store_retries"] += 1

    async def _try_record_answer(
        self, identity: Identity, final_record: CodingRecord
    ) -> Result[None, Conflict | Unavailable]:
        key = request_key(final_record.request_id)
        read = await self._store.get(key, CodingRecord)
        if isinstance(read, Failure):
            await self._clock.sleep_until(self._clock.now_s() + MAX_BACKOFF_S)
            return read
        stored = read.unwrap()
        if stored is None or stored.record.owner != identity.incarnation:
            return Failure(Conflict({}))
        if stored.record.ended:
            return Success(None)
        changes = Changes().unchanged(stored).put(key, final_record)
        identity.remove_owned(changes, REQUEST, final_record.request_id)
        result = await self._committer.commit(changes)
        return result.map(lambda _: None)


def _make_work(record: CodingRecord, deadline_s: float) -> Work:
    return Work(
        work_id=record.request_id,
        customer=record.customer,
        model=record.model,
        prompt=record.prompt,
        max_tokens=record.max_tokens,
        online=True,
        deadline_s=deadline_s,
        adapter=record.adapter,
        labels=record.labels,
    )


def _max_failures(code: ResultCode) -> int:
    return MAX_BACKEND_ATTEMPTS if code in LIMITED_RETRY_CODES else 1


def _done_record(record: CodingRecord, generation: Generation) -> CodingRecord:
    return attrs.evolve(
        record,
        state=CHART.next_state(record.state, "finish"),
        text=generation.text,
        served_by=tuple(generation.served_by),
        code=int(ResultCode.OK),
    )


def _failed_record(record: CodingRecord, problem: Problem) -> CodingRecord:
    return attrs.evolve(
        record,
        state=CHART.next_state(record.state, "fail"),
        code=int(problem.code),
        detail=problem.detail,
    )
