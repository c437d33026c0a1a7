"""Coding requests: accepted durably, answered online, readable later."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import attrs
from returns.result import Failure, Result, Success

from aspenbridge.membership import REQUEST
from aspenbridge.ports import Conflict, Unavailable
from aspenbridge.result_codes import Execution, Problem, ResultCode
from aspenbridge.store import Changes

from ._coding_records import (
    ACCEPTED,
    CodingRecord,
    KeyRecord,
    body_digest,
    idempotency_key,
    request_key,
)

if TYPE_CHECKING:
    from collections.abc import Callable
    from random import Random

    from aspenbridge.membership import Identity
    from aspenbridge.ports import Clock, RowKey
    from aspenbridge.store import GroupCommitter, Store, StoreError
    from aspenbridge.work import Work

    from ._coding_runs import CodingRuns

POLL_INTERVAL_S = 0.2
LONGEST_POLL_S = 2.0
SETTLE_RETRY_S = 2.0


@attrs.frozen
class _Acceptance:
    """What makes one request durable."""

    record: CodingRecord
    named: RowKey
    changes: Changes


class CodingService:
    """Accepts coding requests and answers them from their records."""

    def __init__(
        self,
        identity: Callable[[], Identity],
        store: Store,
        group: GroupCommitter,
        runs: CodingRuns,
        clock: Clock,
        random: Random,
    ) -> None:
        self._identity = identity
        self._store = store
        self._group = group
        self._runs = runs
        self._clock = clock
        self._random = random
        self._settling: set[asyncio.Task[None]] = set()

    async def submit(
        self, work: Work, idempotency: str | None
    ) -> Result[CodingRecord, Problem]:
        """
        Accept a request, run it and return its record.

        :param idempotency: the caller's key; a resend gets the first answer.
        """
        acceptance = self._acceptance(work, idempotency)
        result = await self._group.commit(acceptance.changes)
        if isinstance(result, Success):
            self._runs.start(acceptance.record, work.deadline_s)
            return await self._settled(acceptance.record, work.deadline_s)
        return await self._not_accepted(acceptance, result.failure(), work.deadline_s)

    async def read(
        self, customer: str, request_id: str
    ) -> Result[CodingRecord, Problem]:
        """Return a customer's request through any host."""
        read = await self._store.get(request_key(request_id), CodingRecord)
        if isinstance(read, Failure):
            return Failure(_unavailable(read.failure().reason))
        stored = read.unwrap()
        if stored is None or stored.record.customer != customer:
            detail = f"there is no request {request_id!r}"
            return Failure(Problem(ResultCode.NOT_FOUND, detail))
        return Success(stored.record)

    async def aclose(self) -> None:
        """Stop settling acceptances that stayed ambiguous."""
        tasks = list(self._settling)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    def _acceptance(self, work: Work, idempotency: str | None) -> _Acceptance:
        record = self._new_record(work)
        key = request_key(record.request_id)
        named = idempotency_key(work.customer, "coding", idempotency or work.work_id)
        changes = Changes().absent(key).put(key, record)
        changes.absent(named).put(named, KeyRecord(record.digest, record.request_id))
        own = self._identity()
        return _Acceptance(
            record, named, own.add_owned(changes, REQUEST, record.request_id)
        )

    def _new_record(self, work: Work) -> CodingRecord:
        parts = (work.model, work.prompt, str(work.max_tokens), work.adapter or "")
        return CodingRecord(
            request_id=work.work_id,
            customer=work.customer,
            model=work.model,
            prompt=work.prompt,
            max_tokens=work.max_tokens,
            owner=self._identity().incarnation,
            state=ACCEPTED,
            digest=body_digest(*parts),
            adapter=work.adapter,
            labels=work.labels,
        )

    async def _not_accepted(
        self, acceptance: _Acceptance, error: StoreError, deadline_s: float
    ) -> Result[CodingRecord, Problem]:
        if isinstance(error, Conflict):
            return await self._earlier(acceptance, deadline_s)
        if not error.maybe_applied:
            return Failure(_unavailable(error.reason))
        self._start_settling(acceptance, deadline_s)
        request_id = acceptance.record.request_id
        detail = f"request {request_id!r} may have been accepted; read it later"
        return Failure(Problem(ResultCode.OUTCOME_UNKNOWN, detail))

    def _start_settling(self, acceptance: _Acceptance, deadline_s: float) -> None:
        task = asyncio.ensure_future(self._settle(acceptance, deadline_s))
        self._settling.add(task)
        task.add_done_callback(self._settling.discard)

    async def _settle(self, acceptance: _Acceptance, deadline_s: float) -> None:
        """Commit until it is certain whether the request is accepted."""
        while True:
            result = await self._group.commit(acceptance.changes)
            if isinstance(result, Success):
                break
            error = result.failure()
            if isinstance(error, Conflict):
                if await self._is_accepted(acceptance.record):
                    break
                return
            await self._clock.sleep_until(self._clock.now_s() + SETTLE_RETRY_S)
        self._runs.start(acceptance.record, deadline_s)

    async def _is_accepted(self, record: CodingRecord) -> bool:
        """Return whether the request is open and owned by its first host."""
        while True:
            read = await self._store.get(request_key(record.request_id), CodingRecord)
            if isinstance(read, Success):
                stored = read.unwrap()
                return stored is not None and stored.record == record
            await self._clock.sleep_until(self._clock.now_s() + SETTLE_RETRY_S)

    async def _earlier(
        self, acceptance: _Acceptance, deadline_s: float
    ) -> Result[CodingRecord, Problem]:
        read = await self._store.get(acceptance.named, KeyRecord)
        if isinstance(read, Failure):
            return Failure(_not_known(acceptance.named, read.failure()))
        stored = read.unwrap()
        if stored is None:
            detail = "this host lost its ownership; send the request again"
            return Failure(Problem(ResultCode.FENCED, detail))
        if stored.record.digest != acceptance.record.digest:
            detail = f"key {acceptance.named.key!r} was used with another body"
            return Failure(Problem(ResultCode.IDEMPOTENCY_CONFLICT, detail))
        request_id = stored.record.target
        earlier = await self.read(acceptance.record.customer, request_id)
        if isinstance(earlier, Failure):
            return Failure(_accepted(request_id, earlier.failure()))
        return await self._settled(earlier.unwrap(), deadline_s)

    async def _settled(
        self, record: CodingRecord, deadline_s: float
    ) -> Result[CodingRecord, Problem]:
        """Wait for the end of an accepted request, wherever it runs."""
        poll_s = POLL_INTERVAL_S
        while not record.ended:
            if self._clock.now_s() >= deadline_s:
                return Failure(_still_running(record.request_id))
            wake_s = min(self._clock.now_s() + poll_s, deadline_s)
            finished = await self._wait_here(record, deadline_s, wake_s)
            if finished is not None:
                return Success(finished)
            poll_s = min(poll_s * 1.5, LONGEST_POLL_S)
            read = await self.read(record.customer, record.request_id)
            record = read.value_or(record)
        return Success(record)

    async def _wait_here(
        self, record: CodingRecord, deadline_s: float, wake_s: float
    ) -> CodingRecord | None:
        """Wait for the run of this host, or a moment when there is none."""
        task = self._runs.find(record.request_id)
        if task is None:
            await self._clock.sleep_until(wake_s)
            return None
        left_s = max(0.0, deadline_s - self._clock.now_s())
        await asyncio.wait([task], timeout=left_s)
        if not task.done() or task.cancelled() or task.exception():
            return None
        return task.result()


def _unavailable(reason: str) -> Problem:
    return Problem(ResultCode.STORE_UNAVAILABLE, f"the table service: {reason}")


def _not_known(named: RowKey, error: Unavailable) -> Problem:
    detail = f"key {named.key!r} was used before; its answer can't be read now"
    return Problem(
        ResultCode.STORE_UNAVAILABLE, f"{detail}: {error.reason}", Execution.UNKNOWN
    )


def _accepted(request_id: str, problem: Problem) -> Problem:
    detail = f"request {request_id!r} is accepted: {problem.detail}"
    return attrs.evolve(problem, detail=detail, execution=Execution.UNKNOWN)


def _still_running(request_id: str) -> Problem:
    detail = f"request {request_id!r} is accepted and still runs; read it by its id"
    return Problem(ResultCode.DEADLINE_EXCEEDED, detail, Execution.UNKNOWN)


__all__ = ["CodingRecord", "CodingService", "KeyRecord"]
