"""Calls to plain services; those that can't be repeated are journalled."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Any

from returns.result import Failure, Result, Success

from aspenbridge.ports import (
    CallOutcome,
    Conflict,
    ServiceCall,
    ServiceFailure,
    ServiceReply,
)
from aspenbridge.result_codes import Execution, Problem, ResultCode
from aspenbridge.work import new_id

from ._coding_records import body_digest
from ._journal import DONE, NOT_SENT, SENT, CallRecord, Journal, call_key

if TYPE_CHECKING:
    from collections.abc import Callable, Coroutine
    from random import Random

    from aspenbridge.configuration import Route, View
    from aspenbridge.membership import Identity
    from aspenbridge.ports import Clock, RowKey, ServiceClient
    from aspenbridge.store import Store, StoreError

IDEMPOTENT_ATTEMPTS = 3
POLL_INTERVAL_S = 0.2
RECORD_WAIT_S = 1.0


class ServiceCaller:
    """Routes calls to plain services."""

    def __init__(
        self,
        identity: Callable[[], Identity],
        view: View,
        store: Store,
        services: ServiceClient,
        clock: Clock,
        random: Random,
    ) -> None:
        self._identity = identity
        self._view = view
        self._services = services
        self._clock = clock
        self._random = random
        self._journal = Journal(identity, store, clock)
        self._tasks: set[asyncio.Task[Any]] = set()

    async def call(
        self,
        customer: str,
        service: str,
        method: str,
        path: str,
        body: bytes,
        idempotency: str | None,
        deadline_s: float,
    ) -> Result[ServiceReply, Problem]:
        """Make a call as often as its route allows."""
        spec = self._view.service(service)
        route = _route(spec.routes if spec else (), method, path)
        if spec is None or route is None:
            detail = f"service {service!r} has no route {method} {path}"
            return Failure(Problem(ResultCode.NOT_FOUND, detail))
        call_id = new_id("call", self._random)
        call = ServiceCall(spec.address, method, path, body, call_id)
        if route.idempotent:
            return await self._repeatable(call, deadline_s)
        key = call_key(customer, service, idempotency or call_id)
        return await self._once(key, customer, call, deadline_s)

    async def aclose(self) -> None:
        """Stop background writes to the journal."""
        tasks = list(self._tasks)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    async def drain(self, deadline_s: float) -> None:
        """Wait until no call is open and each outcome is written down."""
        tasks = list(self._tasks)
        if tasks:
            left_s = max(0.0, deadline_s - self._clock.now_s())
            await asyncio.wait(tasks, timeout=left_s)

    async def _repeatable(
        self, call: ServiceCall, deadline_s: float
    ) -> Result[ServiceReply, Problem]:
        execution = Execution.NOT_RUN
        detail = "the deadline had passed"
        for _ in range(IDEMPOTENT_ATTEMPTS):
            if self._clock.now_s() >= deadline_s:
                break
            try:
                return Success(await self._services.call(call, deadline_s))
            except ServiceFailure as error:
                detail = str(error)
                if error.outcome is CallOutcome.BROKEN:
                    execution = Execution.UNKNOWN
        return Failure(Problem(ResultCode.BACKEND_FAILED, detail, execution))

    async def _once(
        self, key: RowKey, customer: str, call: ServiceCall, deadline_s: float
    ) -> Result[ServiceReply, Problem]:
        record = CallRecord(
            call_id=call.call_id,
            customer=customer,
            owner=self._identity().incarnation,
            state=SENT,
            digest=body_digest(call.method, call.path, call.body.hex()),
        )
        version = 0
        while True:
            opened = await self._journal.open(key, record, version)
            if isinstance(opened, Success):
                sending = self._send(key, opened.unwrap(), record, call, deadline_s)
                return await self._shielded(sending)
            error = opened.failure()
            if not isinstance(error, Conflict):
                return Failure(self._not_journalled(key, version, record, error))
            earlier = await self._earlier(key, record, deadline_s)
            if not isinstance(earlier, int):
                return earlier
            version = earlier

    def _not_journalled(
        self, key: RowKey, version: int, record: CallRecord, error: StoreError
    ) -> Problem:
        """Tell that nothing was sent, and withdraw an entry left behind."""
        reason = "conflict" if isinstance(error, Conflict) else error.reason
        if not isinstance(error, Conflict) and error.maybe_applied:
            self._start(self._journal.withdraw(key, version, record))
        detail = f"the call could not be journalled: {reason}"
        return Problem(ResultCode.STORE_UNAVAILABLE, detail)

    async def _send(
        self,
        key: RowKey,
        version: int,
        record: CallRecord,
        call: ServiceCall,
        deadline_s: float,
    ) -> Result[ServiceReply, Problem]:
        if self._identity().incarnation != record.owner:
            detail = "this host lost its ownership before the call was sent"
            self._start(self._journal.refused(key, version, record))
            return Failure(Problem(ResultCode.FENCED, detail))
        if self._clock.now_s() >= deadline_s:
            self._start(self._journal.refused(key, version, record))
            detail = "the deadline passed before the call was sent"
            return Failure(Problem(ResultCode.DEADLINE_EXCEEDED, detail))
        try:
            reply = await self._services.call(call, deadline_s)
        except ServiceFailure as error:
            return Failure(self._failed(key, version, record, error))
        except BaseException:
            self._start(self._journal.lost(key, version, record))
            raise
        writing = self._start(self._journal.replied(key, version, record, reply))
        await asyncio.wait([writing], timeout=RECORD_WAIT_S)
        return Success(reply)

    def _failed(
        self, key: RowKey, version: int, record: CallRecord, error: ServiceFailure
    ) -> Problem:
        if error.outcome is CallOutcome.BROKEN:
            self._start(self._journal.lost(key, version, record))
            return Problem(ResultCode.OUTCOME_UNKNOWN, str(error))
        self._start(self._journal.refused(key, version, record))
        return Problem(ResultCode.BACKEND_FAILED, str(error), Execution.NOT_RUN)

    async def _earlier(
        self, key: RowKey, record: CallRecord, deadline_s: float
    ) -> Result[ServiceReply, Problem] | int:
        """
        Return what an earlier call with the key came to.

        Waits while its host may still end it. An integer is the version of
        an entry whose call was not sent, so that this one may be.
        """
        while True:
            read = await self._journal.read(key)
            if isinstance(read, Failure):
                return Failure(_unreadable(key, read.failure().reason))
            stored = read.unwrap()
            if stored is None:
                detail = "this host lost its ownership; send the call again"
                return Failure(Problem(ResultCode.FENCED, detail))
            earlier = stored.record
            if earlier.digest != record.digest:
                detail = f"key {key.key!r} was used with another body"
                return Failure(Problem(ResultCode.IDEMPOTENCY_CONFLICT, detail))
            if earlier.state == DONE:
                return Success(_reply(earlier))
            if earlier.state == NOT_SENT:
                return stored.version
            if not await self._may_end(earlier, deadline_s):
                return Failure(_unknown(earlier))

    async def _may_end(self, earlier: CallRecord, deadline_s: float) -> bool:
        """Wait a moment for an open call; return False when it won't end."""
        wake_s = self._clock.now_s() + POLL_INTERVAL_S
        if earlier.state != SENT or wake_s > deadline_s:
            return False
        if not await self._journal.owner_lives(earlier):
            return False
        await self._clock.sleep_until(wake_s)
        return True

    async def _shielded(
        self, sending: Coroutine[Any, Any, Result[ServiceReply, Problem]]
    ) -> Result[ServiceReply, Problem]:
        """Let a call that was sent end also when its caller goes away."""
        task = asyncio.ensure_future(sending)
        self._keep(task)
        return await asyncio.shield(task)

    def _start(self, writing: Coroutine[Any, Any, None]) -> asyncio.Task[None]:
        task = asyncio.ensure_future(writing)
        self._keep(task)
        return task

    def _keep(self, task: asyncio.Task[Any]) -> None:
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)


def _reply(record: CallRecord) -> ServiceReply:
    return ServiceReply(record.status, record.body, record.content_type)


def _unreadable(key: RowKey, reason: str) -> Problem:
    detail = f"key {key.key!r} was used before; its outcome can't be read: {reason}"
    return Problem(ResultCode.OUTCOME_UNKNOWN, detail)


def _unknown(record: CallRecord) -> Problem:
    detail = f"call {record.call_id!r} was sent and its outcome is not known"
    return Problem(ResultCode.OUTCOME_UNKNOWN, detail)


def _route(routes: tuple[Route, ...], method: str, path: str) -> Route | None:
    for route in routes:
        if route.method == method and route.path == path:
            return route
    return None
