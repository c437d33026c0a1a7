"""Accepts coding requests durably, and serves their answers and records."""

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
    idempotency_row_key,
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

INITIAL_POLL_INTERVAL_S = 0.2
MAX_POLL_INTERVAL_S = 2.0
RESOLVE_RETRY_INTERVAL_S = 2.0


@attrs.frozen
class _Acceptance:
    """
    A new request with the changes that accept it durably.

    :ivar idempotency_row: the key of the row of its idempotency key.
    """

    record: CodingRecord
    idempotency_row: RowKey
    changes: Changes


class CodingService:
    """Accepts coding requests and returns their records."""

    def __init__(
        self,
        identity: Callable[[], Identity],
        store: Store,
        committer: GroupCommitter,
        runs: CodingRuns,
        clock: Clock,
        random: Random,
    ) -> None:
        self._identity = identity
        self._store = store
        self._committer = committer
        self._runs = runs
        self._clock = clock
        self._random = random
        self._resolving: set[asyncio.Task[None]] = set()

    async def submit(
        self, work: Work, idempotency_key: str | None
    ) -> Result[CodingRecord, Problem]:
        """
        Accept a request, wait until it has ended and return its record.

        :param idempotency_key: the caller's key; a resend with the same key
            gets the record of the first request.
        :return: the record, or a problem, for example if the request still
            runs at the deadline of the work.
        """
        acceptance = self._make_acceptance(work, idempotency_key)
        result = await self._committer.commit(acceptance.changes)
        if isinstance(result, Success):
            self._runs.start(acceptance.record, work.deadline_s)
            return await self._wait_until_ended(acceptance.record, work.deadline_s)
        return await self._handle_failed_commit(
            acceptance, result.failure(), work.deadline_s
        )

    async def read(
        self, customer: str, request_id: str
    ) -> Result[CodingRecord, Problem]:
        """Return the record of a customer's request, accepted by any host."""
        read = await self._store.get(request_key(request_id), CodingRecord)
        if isinstance(read, Failure):
            return Failure(_unavailable(read.failure().reason))
        stored = read.unwrap()
        if stored is None or stored.record.customer != customer:
            detail = f"there is no request {request_id!r}"
            return Failure(Problem(ResultCode.NOT_FOUND, detail))
        return Success(stored.record)

    async def aclose(self) -> None:
        """Stop resolving acceptances whose commit had an unknown outcome."""
        tasks = list(self._resolving)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    def _make_acceptance(self, work: Work, idempotency_key: str | None) -> _Acceptance:
        record = self._new_record(work)
        key = request_key(record.request_id)
        idempotency_row = idempotency_row_key(
            work.customer, "coding", idempotency_key or work.work_id
        )
        changes = Changes().absent(key).put(key, record)
        changes.absent(idempotency_row).put(
            idempotency_row, KeyRecord(record.digest, record.request_id)
        )
        identity = self._identity()
        return _Acceptance(
            record,
            idempotency_row,
            identity.add_owned(changes, REQUEST, record.request_id),
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

    async def _handle_failed_commit(
        self, acceptance: _Acceptance, error: StoreError, deadline_s: float
    ) -> Result[CodingRecord, Problem]:
        if isinstance(error, Conflict):
            return await self._read_earlier_request(acceptance, deadline_s)
        if not error.maybe_applied:
            return Failure(_unavailable(error.reason))
        self._start_resolving(acceptance, deadline_s)
        request_id = acceptance.record.request_id
        detail = f"request {request_id!r} may have been accepted; read it later"
        return Failure(Problem(ResultCode.OUTCOME_UNKNOWN, detail))

    def _start_resolving(self, acceptance: _Acceptance, deadline_s: float) -> None:
        task = asyncio.ensure_future(self._resolve_acceptance(acceptance, deadline_s))
        self._resolving.add(task)
        task.add_done_callback(self._resolving.discard)

    async def _resolve_acceptance(
        self, acceptance: _Acceptance, deadline_s: float
    ) -> None:
        """
        Repeat a commit with an unknown outcome; run the request if accepted.

        A conflict may mean that an earlier attempt took effect, so the row of
        the request is then read.
        """
        while True:
            result = await self._committer.commit(acceptance.changes)
            if isinstance(result, Success):
                break
            error = result.failure()
            if isinstance(error, Conflict):
                if await self._is_accepted(acceptance.record):
                    break
                return
            await self._clock.sleep_until(
                self._clock.now_s() + RESOLVE_RETRY_INTERVAL_S
            )
        self._runs.start(acceptance.record, deadline_s)

    async def _is_accepted(self, record: CodingRecord) -> bool:
        """Return whether the stored request is open and owned by this host."""
        while True:
            read = await self._store.get(request_key(record.request_id), CodingRecord)
            if isinstance(read, Success):
                stored = read.unwrap()
                return stored is not None and stored.record == record
            await self._clock.sleep_until(
                self._clock.now_s() + RESOLVE_RETRY_INTERVAL_S
            )

    async def _read_earlier_request(
        self, acceptance: _Acceptance, deadline_s: float
    ) -> Result[CodingRecord, Problem]:
        read = await self._store.get(acceptance.idempotency_row, KeyRecord)
        if isinstance(read, Failure):
            return Failure(
                _key_unreadable_problem(acceptance.idempotency_row, read.failure())
            )
        stored = read.unwrap()
        if stored is None:
            detail = "this host has been fenced; send the request again"
            return Failure(Problem(ResultCode.FENCED, detail))
        if stored.record.digest != acceptance.record.digest:
            detail = (
                f"key {acceptance.idempotency_row.key!r} was already used"
                " with another body"
            )
            return Failure(Problem(ResultCode.IDEMPOTENCY_CONFLICT, detail))
        request_id = stored.record.target
        earlier = await self.read(acceptance.record.customer, request_id)
        if isinstance(earlier, Failure):
            return Failure(_accepted_problem(request_id, earlier.failure()))
        return await self._wait_until_ended(earlier.unwrap(), deadline_s)

    async def _wait_until_ended(
        self, record: CodingRecord, deadline_s: float
    ) -> Result[CodingRecord, Problem]:
        """Wait until an accepted request has ended, on whichever host."""
        poll_s = INITIAL_POLL_INTERVAL_S
        while not record.ended:
            if self._clock.now_s() >= deadline_s:
                return Failure(_still_running_problem(record.request_id))
            wake_s = min(self._clock.now_s() + poll_s, deadline_s)
            final_record = await self._wait_for_local_run(record, deadline_s, wake_s)
            if final_record is not None:
                return Success(final_record)
            poll_s = min(poll_s * 1.5, MAX_POLL_INTERVAL_S)
            read = await self.read(record.customer, record.request_id)
            record = read.value_or(record)
        return Success(record)

    async def _wait_for_local_run(
        self, record: CodingRecord, deadline_s: float, wake_s: float
    ) -> CodingRecord | None:
        """
        Wait for the run of a request on this host, until the deadline.

        If the request does not run on this host, wait until ``wake_s``.

        :return: the final record if the request has ended on this host.
        """
        task = self._runs.find_task(record.request_id)
        if task is None:
            await self._clock.sleep_until(wake_s)
            return None
        remaining_s = max(0.0, deadline_s - self._clock.now_s())
        await asyncio.wait([task], timeout=remaining_s)
        if not task.done() or task.cancelled() or task.exception():
            return None
        return task.result()


def _unavailable(reason: str) -> Problem:
    return Problem(
        ResultCode.STORE_UNAVAILABLE, f"the table service is unavailable: {reason}"
    )


def _key_unreadable_problem(idempotency_row: RowKey, error: Unavailable) -> Problem:
    detail = (
        f"key {idempotency_row.key!r} was already used; its answer can't be read now"
    )
    return Problem(
        ResultCode.STORE_UNAVAILABLE, f"{detail}: {error.reason}", Execution.UNKNOWN
    )


def _accepted_problem(request_id: str, problem: Problem) -> Problem:
    detail = f"request {request_id!r} is accepted: {problem.detail}"
    return attrs.evolve(problem, detail=detail, execution=Execution.UNKNOWN)


def _still_running_problem(request_id: str) -> Problem:
    detail = f"request {request_id!r} is accepted and still runs; read it by its id"
    return Problem(ResultCode.DEADLINE_EXCEEDED, detail, Execution.UNKNOWN)


__all__ = ["CodingRecord", "CodingService", "KeyRecord"]
