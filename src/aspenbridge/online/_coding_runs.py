"""Runs accepted coding requests to their end and records the answer."""

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
RUN_LIMIT_S = 3600.0
ATTEMPT_LIMIT_S = 120.0
BACKEND_ATTEMPTS = 5
FIRST_BACKOFF_S = 0.2
LONGEST_BACKOFF_S = 5.0


class CodingRuns:
    """The accepted requests that this host runs, each in a task."""

    def __init__(
        self,
        identity: Callable[[], Identity],
        store: Store,
        group: GroupCommitter,
        generator: Generator,
        clock: Clock,
    ) -> None:
        self._identity = identity
        self._store = store
        self._group = group
        self._generator = generator
        self._clock = clock
        self._tasks: dict[str, asyncio.Task[CodingRecord | None]] = {}
        self.counters: Counter[str] = Counter()

    @property
    def open(self) -> int:
        """The number of requests that run."""
        return len(self._tasks)

    def start(
        self, record: CodingRecord, deadline_s: float
    ) -> asyncio.Task[CodingRecord | None]:
        """
        Run an accepted request; its task survives the caller's.

        :param deadline_s: when the caller stops waiting; the run goes on.
        :return: a task with the final record, or None when this host lost
            the ownership of the request.
        """
        running = self._tasks.get(record.request_id)
        if running is not None:
            return running
        task = asyncio.ensure_future(self._run(record, deadline_s))
        self._tasks[record.request_id] = task
        task.add_done_callback(lambda done: self._ended(record.request_id, done))
        return task

    def find(self, request_id: str) -> asyncio.Task[CodingRecord | None] | None:
        """Return the task of a request that runs here."""
        return self._tasks.get(request_id)

    def runs(self, name: str) -> bool:
        """Return whether a request runs on this host."""
        return name in self._tasks

    async def aclose(self) -> None:
        """Stop every run; their requests stay owned until taken over."""
        tasks = list(self._tasks.values())
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    async def drain(self, deadline_s: float) -> None:
        """Wait until every run has ended, or until the deadline."""
        tasks = list(self._tasks.values())
        if tasks:
            left_s = max(0.0, deadline_s - self._clock.now_s())
            await asyncio.wait(tasks, timeout=left_s)

    async def take_over(self, failed: str, name: str) -> bool:
        """Take over a request that a fenced incarnation had accepted."""
        read = await self._store.get(request_key(name), CodingRecord)
        if isinstance(read, Failure):
            return False
        stored = read.unwrap()
        index = owned_key(failed, REQUEST, name)
        if stored is None or stored.record.ended or stored.record.owner != failed:
            dropped = await self._group.commit(Changes().delete(index))
            return isinstance(dropped, Success)
        own = self._identity()
        record = attrs.evolve(stored.record, owner=own.incarnation)
        changes = Changes().unchanged(stored).put(stored.key, record)
        if failed != own.incarnation:
            changes.delete(index)
        result = await self._group.commit(own.add_owned(changes, REQUEST, name))
        if isinstance(result, Failure):
            return False
        self.counters["coding.taken_over"] += 1
        self.start(record, self._clock.now_s() + ATTEMPT_LIMIT_S)
        return True

    def _ended(self, request_id: str, task: asyncio.Task[CodingRecord | None]) -> None:
        self._tasks.pop(request_id, None)
        if not task.cancelled() and task.exception() is not None:
            self.counters["coding.faults"] += 1
            logger.error("request %s", request_id, exc_info=task.exception())

    async def _run(
        self, record: CodingRecord, deadline_s: float
    ) -> CodingRecord | None:
        own = self._identity()
        finished = await self._answer(record, deadline_s)
        return await self._record(own, finished)

    async def _answer(self, record: CodingRecord, deadline_s: float) -> CodingRecord:
        """Generate until there is an answer or a lasting reason for none."""
        give_up_s = self._clock.now_s() + RUN_LIMIT_S
        backoff_s = FIRST_BACKOFF_S
        failures = 0
        generation = Generation(_work(record, deadline_s))
        while True:
            generation.work = _work(record, deadline_s)
            problem = await self._generator.finish(generation)
            if problem is None:
                return _done(record, generation)
            failures += problem.code not in TRANSIENT_CODES
            lasting = failures >= _attempts(problem.code)
            if lasting or self._clock.now_s() >= give_up_s:
                return _failed(record, problem)
            await self._clock.sleep_until(self._clock.now_s() + backoff_s)
            backoff_s = min(backoff_s * 2, LONGEST_BACKOFF_S)
            deadline_s = self._clock.now_s() + ATTEMPT_LIMIT_S

    async def _record(
        self, own: Identity, finished: CodingRecord
    ) -> CodingRecord | None:
        """Write the answer once, through outages, unless ownership is lost."""
        key = request_key(finished.request_id)
        while True:
            result = await self._write(own, finished)
            if isinstance(result, Success):
                return finished
            error = result.failure()
            if isinstance(error, Conflict):
                current = error.rows.get(key)
                self.counters["coding.late_answers"] += current is not None
                return None
            self.counters["coding.store_retries"] += 1

    async def _write(
        self, own: Identity, finished: CodingRecord
    ) -> Result[None, Conflict | Unavailable]:
        key = request_key(finished.request_id)
        read = await self._store.get(key, CodingRecord)
        if isinstance(read, Failure):
            await self._clock.sleep_until(self._clock.now_s() + LONGEST_BACKOFF_S)
            return read
        stored = read.unwrap()
        if stored is None or stored.record.owner != own.incarnation:
            return Failure(Conflict({}))
        if stored.record.ended:
            return Success(None)
        changes = Changes().unchanged(stored).put(key, finished)
        own.remove_owned(changes, REQUEST, finished.request_id)
        result = await self._group.commit(changes)
        return result.map(lambda _: None)


def _work(record: CodingRecord, deadline_s: float) -> Work:
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


def _attempts(code: ResultCode) -> int:
    return BACKEND_ATTEMPTS if code in LIMITED_RETRY_CODES else 1


def _done(record: CodingRecord, generation: Generation) -> CodingRecord:
    return attrs.evolve(
        record,
        state=CHART.next_state(record.state, "finish"),
        text=generation.text,
        served_by=tuple(generation.served_by),
        code=int(ResultCode.OK),
    )


def _failed(record: CodingRecord, problem: Problem) -> CodingRecord:
    return attrs.evolve(
        record,
        state=CHART.next_state(record.state, "fail"),
        code=int(problem.code),
        detail=problem.detail,
    )
