"""Calls plain services; calls that must not be repeated are journalled."""

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

MAX_IDEMPOTENT_ATTEMPTS = 3
POLL_INTERVAL_S = 0.2
# How long a reply is held back until it is recorded in the journal.
REPLY_RECORD_WAIT_S = 1.0


class ServiceCaller:
    """
    Calls plain services by the routes of the configuration.

    An idempotent call is retried. Any other call is sent at most once: it is
    journalled before it is sent, and so is its outcome afterwards.
    """

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
        idempotency_key: str | None,
        deadline_s: float,
    ) -> Result[ServiceReply, Problem]:
        """
        Call a service; retry only if the route is idempotent.

        :param idempotency_key: the caller's key, not used on an idempotent
            route. A resend with the same key gets the outcome of the first
            call, and is sent only if the first call was not sent.
        :param deadline_s: when to stop, on the monotonic clock.
        """
        spec = self._view.service(service)
        route = _find_route(spec.routes if spec else (), method, path)
        if spec is None or route is None:
            detail = f"service {service!r} has no route {method} {path}"
            return Failure(Problem(ResultCode.NOT_FOUND, detail))
        call_id = new_id("call", self._random)
        call = ServiceCall(spec.address, method, path, body, call_id)
        if route.idempotent:
            return await self._call_idempotent(call, deadline_s)
        key = call_key(customer, service, idempotency_key or call_id)
        return await self._call_at_most_once(key, customer, call, deadline_s)

    async def aclose(self) -> None:
        """Cancel journalled calls and background writes to the journal."""
        tasks = list(self._tasks)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    async def drain(self, deadline_s: float) -> None:
        """
        Wait until journalled calls have ended and their outcomes are recorded.

        :param deadline_s: when to stop waiting, on the monotonic clock.
        """
        tasks = list(self._tasks)
        if tasks:
            remaining_s = max(0.0, deadline_s - self._clock.now_s())
            await asyncio.wait(tasks, timeout=remaining_s)

    async def _call_idempotent(
        self, call: ServiceCall, deadline_s: float
    ) -> Result[ServiceReply, Problem]:
        execution = Execution.NOT_RUN
        detail = "the deadline passed before the call was sent"
        for _ in range(MAX_IDEMPOTENT_ATTEMPTS):
            if self._clock.now_s() >= deadline_s:
                break
            try:
                return Success(await self._services.call(call, deadline_s))
            except ServiceFailure as error:
                detail = str(error)
                if error.outcome is CallOutcome.BROKEN:
                    execution = Execution.UNKNOWN
        return Failure(Problem(ResultCode.BACKEND_FAILED, detail, execution))

    async def _call_at_most_once(
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
            open_result = await self._journal.open(key, record, version)
            if isinstance(open_result, Success):
                sending = self._send(
                    key, open_result.unwrap(), record, call, deadline_s
                )
                return await self._run_to_end(sending)
            error = open_result.failure()
            if not isinstance(error, Conflict):
                return Failure(self._report_unsent_call(key, version, record, error))
            earlier = await self._resolve_earlier_call(key, record, deadline_s)
            if not isinstance(earlier, int):
                return earlier
            version = earlier

    def _report_unsent_call(
        self, key: RowKey, version: int, record: CallRecord, error: StoreError
    ) -> Problem:
        """
        Return the problem of a call whose journal entry can't be opened.

        The call was not sent. If its entry may have been written, a background
        task marks it as not sent.
        """
        reason = "conflict" if isinstance(error, Conflict) else error.reason
        if not isinstance(error, Conflict) and error.maybe_applied:
            self._start_task(self._journal.settle_unsent(key, version, record))
        detail = f"the call was not sent, as it could not be journalled: {reason}"
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
            detail = "this host was fenced before the call was sent"
            self._start_task(self._journal.record_not_sent(key, version, record))
            return Failure(Problem(ResultCode.FENCED, detail))
        if self._clock.now_s() >= deadline_s:
            self._start_task(self._journal.record_not_sent(key, version, record))
            detail = "the deadline passed before the call was sent"
            return Failure(Problem(ResultCode.DEADLINE_EXCEEDED, detail))
        try:
            reply = await self._services.call(call, deadline_s)
        except ServiceFailure as error:
            return Failure(self._record_failure(key, version, record, error))
        except BaseException:
            self._start_task(self._journal.record_unknown(key, version, record))
            raise
        writing = self._start_task(
            self._journal.record_reply(key, version, record, reply)
        )
        await asyncio.wait([writing], timeout=REPLY_RECORD_WAIT_S)
        return Success(reply)

    def _record_failure(
        self, key: RowKey, version: int, record: CallRecord, error: ServiceFailure
    ) -> Problem:
        if error.outcome is CallOutcome.BROKEN:
            self._start_task(self._journal.record_unknown(key, version, record))
            return Problem(ResultCode.OUTCOME_UNKNOWN, str(error))
        self._start_task(self._journal.record_not_sent(key, version, record))
        return Problem(ResultCode.BACKEND_FAILED, str(error), Execution.NOT_RUN)

    async def _resolve_earlier_call(
        self, key: RowKey, record: CallRecord, deadline_s: float
    ) -> Result[ServiceReply, Problem] | int:
        """
        Return the outcome of an earlier call with the same key.

        Waits while the host that sent the earlier call may still record its
        outcome.

        :return: the outcome, or the version of the entry if the earlier call
            was not sent, so that this call may replace it.
        """
        while True:
            read = await self._journal.read(key)
            if isinstance(read, Failure):
                return Failure(_unreadable_problem(key, read.failure().reason))
            stored = read.unwrap()
            if stored is None:
                detail = "this host has been fenced; send the call again"
                return Failure(Problem(ResultCode.FENCED, detail))
            earlier = stored.record
            if earlier.digest != record.digest:
                detail = f"key {key.key!r} was already used with another body"
                return Failure(Problem(ResultCode.IDEMPOTENCY_CONFLICT, detail))
            if earlier.state == DONE:
                return Success(_reply_from_record(earlier))
            if earlier.state == NOT_SENT:
                return stored.version
            if not await self._wait_for_earlier_call(earlier, deadline_s):
                return Failure(_unknown_problem(earlier))

    async def _wait_for_earlier_call(
        self, earlier: CallRecord, deadline_s: float
    ) -> bool:
        """
        Wait for one poll interval until an earlier call may have ended.

        :return: False if there is nothing to wait for: the call's outcome is
            unknown, its host is not live, or the deadline would pass.
        """
        wake_s = self._clock.now_s() + POLL_INTERVAL_S
        if earlier.state != SENT or wake_s > deadline_s:
            return False
        if not await self._journal.is_owner_live(earlier):
            return False
        await self._clock.sleep_until(wake_s)
        return True

    async def _run_to_end(
        self, sending: Coroutine[Any, Any, Result[ServiceReply, Problem]]
    ) -> Result[ServiceReply, Problem]:
        """Run a call to its end even if its caller is cancelled."""
        task = asyncio.ensure_future(sending)
        self._track_task(task)
        return await asyncio.shield(task)

    def _start_task(self, writing: Coroutine[Any, Any, None]) -> asyncio.Task[None]:
        task = asyncio.ensure_future(writing)
        self._track_task(task)
        return task

    def _track_task(self, task: asyncio.Task[Any]) -> None:
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)


def _reply_from_record(record: CallRecord) -> ServiceReply:
    return ServiceReply(record.status, record.body, record.content_type)


def _unreadable_problem(key: RowKey, reason: str) -> Problem:
    detail = f"key {key.key!r} was already used; its outcome can't be read: {reason}"
    return Problem(ResultCode.OUTCOME_UNKNOWN, detail)


def _unknown_problem(record: CallRecord) -> Problem:
    detail = f"call {record.call_id!r} was sent and its outcome is unknown"
    return Problem(ResultCode.OUTCOME_UNKNOWN, detail)


def _find_route(routes: tuple[Route, ...], method: str, path: str) -> Route | None:
    for route in routes:
        if route.method == method and route.path == path:
            return route
    return None
