"""Calls to plain services; those that can't be repeated are journalled."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs
from returns.result import Failure, Result, Success

from aspenbridge.ports import (
    CallOutcome,
    Conflict,
    RowKey,
    ServiceCall,
    ServiceFailure,
    ServiceReply,
)
from aspenbridge.result_codes import Execution, Problem, ResultCode
from aspenbridge.store import Changes
from aspenbridge.work import new_id

from ._coding import body_digest

if TYPE_CHECKING:
    from collections.abc import Callable
    from random import Random

    from aspenbridge.configuration import Route, View
    from aspenbridge.membership import Identity
    from aspenbridge.ports import Clock, ServiceClient
    from aspenbridge.store import Store

SENT = "sent"
DONE = "done"
NOT_SENT = "not_sent"
IDEMPOTENT_ATTEMPTS = 3


@attrs.frozen
class CallRecord:
    """The journal of one call that must run at most once."""

    call_id: str
    customer: str
    owner: str
    state: str
    digest: str
    status: int = 0
    body: bytes = b""
    content_type: str = ""


class Calls:
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
        self._store = store
        self._services = services
        self._clock = clock
        self._random = random

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
        return await self._once(customer, service, call, idempotency, deadline_s)

    async def _repeatable(
        self, call: ServiceCall, deadline_s: float
    ) -> Result[ServiceReply, Problem]:
        failure: ServiceFailure | None = None
        for _ in range(IDEMPOTENT_ATTEMPTS):
            try:
                return Success(await self._services.call(call, deadline_s))
            except ServiceFailure as error:
                failure = error
        return Failure(Problem(ResultCode.BACKEND_FAILED, str(failure)))

    async def _once(
        self,
        customer: str,
        service: str,
        call: ServiceCall,
        idempotency: str | None,
        deadline_s: float,
    ) -> Result[ServiceReply, Problem]:
        name = idempotency or call.call_id
        key = RowKey("calls", f"{customer}/{service}/{name}")
        record = CallRecord(
            call_id=call.call_id,
            customer=customer,
            owner=self._identity().incarnation,
            state=SENT,
            digest=body_digest(call.method, call.path, call.body.hex()),
        )
        changes = self._identity().guard(Changes().absent(key).put(key, record))
        result = await self._store.commit(changes)
        if isinstance(result, Failure):
            error = result.failure()
            if isinstance(error, Conflict):
                return await self._earlier(key, record)
            detail = f"the call could not be journalled: {error.reason}"
            return Failure(Problem(ResultCode.STORE_UNAVAILABLE, detail))
        version = result.unwrap().versions[key]
        return await self._send(key, version, record, call, deadline_s)

    async def _send(
        self,
        key: RowKey,
        version: int,
        record: CallRecord,
        call: ServiceCall,
        deadline_s: float,
    ) -> Result[ServiceReply, Problem]:
        try:
            reply = await self._services.call(call, deadline_s)
        except ServiceFailure as error:
            return Failure(await self._failed(key, version, record, error))
        done = attrs.evolve(
            record,
            state=DONE,
            status=reply.status,
            body=reply.body,
            content_type=reply.content_type,
        )
        await self._store.commit(Changes().check(key, version).put(key, done))
        return Success(reply)

    async def _failed(
        self, key: RowKey, version: int, record: CallRecord, error: ServiceFailure
    ) -> Problem:
        if error.outcome is CallOutcome.BROKEN:
            return Problem(ResultCode.OUTCOME_UNKNOWN, str(error))
        await self._store.commit(Changes().check(key, version).delete(key))
        detail = str(error)
        return Problem(ResultCode.BACKEND_FAILED, detail, Execution.NOT_RUN)

    async def _earlier(
        self, key: RowKey, record: CallRecord
    ) -> Result[ServiceReply, Problem]:
        read = await self._store.get(key, CallRecord)
        if isinstance(read, Failure):
            reason = read.failure().reason
            return Failure(Problem(ResultCode.STORE_UNAVAILABLE, reason))
        stored = read.unwrap()
        if stored is None:
            detail = "this host lost its ownership; send the call again"
            return Failure(Problem(ResultCode.FENCED, detail))
        earlier = stored.record
        if earlier.digest != record.digest:
            detail = f"key {key.key!r} was used with another body"
            return Failure(Problem(ResultCode.IDEMPOTENCY_CONFLICT, detail))
        if earlier.state == DONE:
            reply = ServiceReply(earlier.status, earlier.body, earlier.content_type)
            return Success(reply)
        detail = f"call {earlier.call_id!r} was sent and its outcome is not known"
        return Failure(Problem(ResultCode.OUTCOME_UNKNOWN, detail))


def _route(routes: tuple[Route, ...], method: str, path: str) -> Route | None:
    for route in routes:
        if route.method == method and route.path == path:
            return route
    return None
