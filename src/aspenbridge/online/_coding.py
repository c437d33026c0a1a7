"""Coding requests: accepted durably, answered online, readable later."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs
import xxhash
from returns.result import Failure, Result, Success

from aspenbridge.ports import Conflict, RowKey
from aspenbridge.result_codes import Problem, ProblemError, ResultCode
from aspenbridge.store import Changes
from aspenbridge.work import Work

from ._generation import Generation

if TYPE_CHECKING:
    from collections.abc import Callable
    from random import Random

    from aspenbridge.membership import Identity
    from aspenbridge.ports import Clock
    from aspenbridge.store import GroupCommitter, Store, Stored

    from ._generation import Generator

ACCEPTED = "accepted"
DONE = "done"
FAILED = "failed"
POLL_INTERVAL_S = 0.2


@attrs.frozen
class CodingRecord:
    """One coding request and, once there is one, its result."""

    request_id: str
    customer: str
    model: str
    prompt: str
    max_tokens: int
    owner: str
    state: str
    digest: str
    text: str = ""
    served_by: tuple[str, ...] = ()
    code: int = 0
    detail: str = ""


@attrs.frozen
class KeyRecord:
    """What an idempotency key was used for."""

    digest: str
    target: str


def request_key(request_id: str) -> RowKey:
    """Return the row of a coding request."""
    return RowKey("requests", request_id)


def idempotency_key(customer: str, scope: str, key: str) -> RowKey:
    """Return the row of a customer's idempotency key."""
    return RowKey("keys", f"{customer}/{scope}/{key}")


def body_digest(*parts: str) -> str:
    """Return a digest that tells two bodies apart."""
    return xxhash.xxh3_128_hexdigest("\0".join(parts).encode())


class Coding:
    """Accepts coding requests, runs them and keeps their results."""

    def __init__(
        self,
        identity: Callable[[], Identity],
        store: Store,
        group: GroupCommitter,
        generator: Generator,
        clock: Clock,
        random: Random,
    ) -> None:
        self._identity = identity
        self._store = store
        self._group = group
        self._generator = generator
        self._clock = clock
        self._random = random

    async def submit(
        self, work: Work, idempotency: str | None
    ) -> Result[CodingRecord, Problem]:
        """
        Accept a request, run it and return its record.

        :param idempotency: the caller's key; a resend gets the first answer.
        """
        accepted = await self._accept(work, idempotency)
        if isinstance(accepted, Failure):
            return accepted
        record = accepted.unwrap()
        if record.owner != self._identity().incarnation or record.state != ACCEPTED:
            return await self._settled(record, work.deadline_s)
        if record.request_id != work.work_id:
            return await self._settled(record, work.deadline_s)
        return await self._run(record, work)

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

    async def _accept(
        self, work: Work, idempotency: str | None
    ) -> Result[CodingRecord, Problem]:
        record = self._new_record(work)
        key = request_key(record.request_id)
        changes = self._identity().guard(Changes().absent(key).put(key, record))
        named = idempotency_key(work.customer, "coding", idempotency or work.work_id)
        changes.absent(named).put(named, KeyRecord(record.digest, record.request_id))
        result = await self._group.commit(changes)
        if isinstance(result, Success):
            return Success(record)
        error = result.failure()
        if isinstance(error, Conflict):
            return await self._earlier(named, record)
        return Failure(_unavailable(error.reason))

    def _new_record(self, work: Work) -> CodingRecord:
        return CodingRecord(
            request_id=work.work_id,
            customer=work.customer,
            model=work.model,
            prompt=work.prompt,
            max_tokens=work.max_tokens,
            owner=self._identity().incarnation,
            state=ACCEPTED,
            digest=body_digest(work.model, work.prompt, str(work.max_tokens)),
        )

    async def _earlier(
        self, named: RowKey, record: CodingRecord
    ) -> Result[CodingRecord, Problem]:
        read = await self._store.get(named, KeyRecord)
        if isinstance(read, Failure):
            return Failure(_unavailable(read.failure().reason))
        stored = read.unwrap()
        if stored is None:
            detail = "this host lost its ownership; send the request again"
            return Failure(Problem(ResultCode.FENCED, detail))
        if stored.record.digest != record.digest:
            detail = f"key {named.key!r} was used with another body"
            return Failure(Problem(ResultCode.IDEMPOTENCY_CONFLICT, detail))
        return await self.read(record.customer, stored.record.target)

    async def _settled(
        self, record: CodingRecord, deadline_s: float
    ) -> Result[CodingRecord, Problem]:
        while record.state == ACCEPTED:
            wake_s = self._clock.now_s() + POLL_INTERVAL_S
            if wake_s > deadline_s:
                detail = f"request {record.request_id!r} is accepted and still runs"
                return Failure(Problem(ResultCode.DEADLINE_EXCEEDED, detail))
            await self._clock.sleep_until(wake_s)
            read = await self.read(record.customer, record.request_id)
            if isinstance(read, Failure):
                return read
            record = read.unwrap()
        return Success(record)

    async def _run(
        self, record: CodingRecord, work: Work
    ) -> Result[CodingRecord, Problem]:
        generation = Generation(work)
        try:
            async for _ in self._generator.run(generation):
                pass
        except ProblemError as error:
            problem = error.problem
            finished = attrs.evolve(
                record, state=FAILED, code=int(problem.code), detail=problem.detail
            )
        else:
            finished = attrs.evolve(
                record,
                state=DONE,
                text=generation.text,
                served_by=tuple(generation.served_by),
                code=int(ResultCode.OK),
            )
        return await self._finish(record, finished)

    async def _finish(
        self, record: CodingRecord, finished: CodingRecord
    ) -> Result[CodingRecord, Problem]:
        key = request_key(record.request_id)
        read = await self._store.get(key, CodingRecord)
        if isinstance(read, Failure):
            return Failure(_unavailable(read.failure().reason))
        stored: Stored[CodingRecord] | None = read.unwrap()
        if stored is None or stored.record.state != ACCEPTED:
            return await self.read(record.customer, record.request_id)
        changes = self._identity().guard(Changes().unchanged(stored))
        result = await self._group.commit(changes.put(key, finished))
        if isinstance(result, Success):
            return Success(finished)
        return await self.read(record.customer, record.request_id)


def _unavailable(reason: str) -> Problem:
    return Problem(ResultCode.STORE_UNAVAILABLE, f"the table service: {reason}")


__all__ = ["Coding", "CodingRecord", "KeyRecord"]
