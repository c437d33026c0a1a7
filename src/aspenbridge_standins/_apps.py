"""
The HTTP applications of the stand-ins.

docs/platform.md describes the formats of requests and responses.
"""

from __future__ import annotations

import asyncio
import random
from contextlib import aclosing
from typing import TYPE_CHECKING, Any

import msgspec
from returns.result import Failure, Result
from sanic import HTTPResponse, Request, Sanic
from sanic.config import Config

from aspenbridge.backends._platform import (
    ConflictEntry,
    ReadQuery,
    ScanQuery,
    VersionEntry,
)
from aspenbridge.embedded import BookingLedger, EmbeddedEngine, EngineProfile
from aspenbridge.ports import (
    Conflict,
    EngineFailure,
    EngineOrder,
    Generate,
    HostEntry,
    ServiceCall,
    Transaction,
)

from ._faults import Faults, FaultyCalls
from ._platform import FaultyObjects, FaultyTable

if TYPE_CHECKING:
    from aspenbridge.ports import Clock

CONFLICT = 409
UNAVAILABLE = 503
NOT_FOUND = 404
LOST_REPLY_WAIT_S = 3600.0  # longer than any caller waits


def _app(name: str) -> Sanic[Any, Any]:
    settings: dict[str, str | bool | int | float | None] = {
        "MOTD": False,
        "ACCESS_LOG": False,
        "REQUEST_MAX_SIZE": 1_000_000_000,
        "RESPONSE_TIMEOUT": 7200.0,
        "KEEP_ALIVE_TIMEOUT": 3600,
    }
    return Sanic(name, config=Config(settings), configure_logging=False)


def _json(value: Any, status: int = 200) -> HTTPResponse:
    body = msgspec.json.encode(value)
    return HTTPResponse(body, status, content_type="application/json")


async def _unavailable(maybe_applied: bool, reason: str) -> HTTPResponse:
    """Return status 503, or let the caller time out if the reply is lost."""
    if maybe_applied:
        await asyncio.sleep(LOST_REPLY_WAIT_S)  # the caller gets no reply
    return _json({"reason": reason}, UNAVAILABLE)


async def _reply(result: Result[Any, Any]) -> HTTPResponse:
    if isinstance(result, Failure):
        error = result.failure()
        return await _unavailable(error.maybe_applied, error.reason)
    return _json(result.unwrap())


def _add_control(app: Sanic[Any, Any], calls: FaultyCalls) -> None:
    @app.post("/control/faults")
    async def set_faults(request: Request) -> HTTPResponse:
        for name, value in msgspec.json.decode(request.body).items():
            setattr(calls.faults, name, value)
        return _json(calls.faults)

    @app.get("/control/counts")
    async def counts(_: Request) -> HTTPResponse:
        return _json({"reads": calls.read_count, "writes": calls.write_count})


def table_app(clock: Clock, seed: int) -> Sanic[Any, Any]:
    """
    Return the table service.

    :param seed: the seed of the random faults.
    """
    app = _app("standin-table")
    calls = FaultyCalls(Faults(), clock, random.Random(seed))
    table = FaultyTable(calls)
    _add_control(app, calls)

    @app.post("/v1/transact")
    async def transact(request: Request) -> HTTPResponse:
        transaction = msgspec.json.decode(request.body, type=Transaction)
        result = await table.transact(transaction)
        if isinstance(result, Failure):
            error = result.failure()
            if isinstance(error, Conflict):
                entries = [ConflictEntry(key, row) for key, row in error.rows.items()]
                return _json(entries, CONFLICT)
            return await _unavailable(error.maybe_applied, error.reason)
        versions = result.unwrap().versions
        return _json([VersionEntry(key, version) for key, version in versions.items()])

    @app.post("/v1/read")
    async def read(request: Request) -> HTTPResponse:
        query = msgspec.json.decode(request.body, type=ReadQuery)
        return await _reply(await table.read(query.keys))

    @app.post("/v1/scan")
    async def scan(request: Request) -> HTTPResponse:
        query = msgspec.json.decode(request.body, type=ScanQuery)
        return await _reply(
            await table.scan(
                query.table, query.prefix, after=query.after, limit=query.limit
            )
        )

    return app


def objects_app(clock: Clock, seed: int) -> Sanic[Any, Any]:
    """
    Return the object store.

    :param seed: the seed of the random faults.
    """
    app = _app("standin-objects")
    calls = FaultyCalls(Faults(), clock, random.Random(seed))
    objects = FaultyObjects(calls)
    _add_control(app, calls)

    @app.put("/v1/objects/<name:path>")
    async def put(request: Request, name: str) -> HTTPResponse:
        return await _reply(await objects.put(name, request.body))

    @app.get("/v1/objects/<name:path>")
    async def get(_: Request, name: str) -> HTTPResponse:
        result = await objects.get(name)
        if isinstance(result, Failure):
            return await _reply(result)
        body = result.unwrap()
        return HTTPResponse(body or b"", NOT_FOUND if body is None else 200)

    @app.delete("/v1/objects/<name:path>")
    async def delete(_: Request, name: str) -> HTTPResponse:
        return await _reply(await objects.delete(name))

    return app


def hosts_app(clock: Clock, seed: int) -> Sanic[Any, Any]:
    """Return the host list; ``POST /control/hosts`` sets its entries."""
    app = _app("standin-hosts")
    entries: list[HostEntry] = []

    @app.get("/v1/hosts")
    async def hosts(_: Request) -> HTTPResponse:
        return _json(entries)

    @app.post("/control/hosts")
    async def set_hosts(request: Request) -> HTTPResponse:
        entries[:] = msgspec.json.decode(request.body, type=list[HostEntry])
        return _json(entries)

    return app


def engine_app(clock: Clock, seed: int, profile: EngineProfile) -> Sanic[Any, Any]:
    """
    Return a model engine.

    :param profile: how long the steps of the engine take.
    """
    app = _app("standin-engine")
    engine = EmbeddedEngine("standin", clock, profile)

    @app.post("/v1/generate")
    async def generate(request: Request) -> None:
        call = msgspec.json.decode(request.body, type=Generate)
        response = await request.respond(content_type="text/event-stream")
        try:
            async with aclosing(engine.generate(call)) as chunks:
                async for chunk in chunks:
                    event = msgspec.json.encode(chunk)
                    await response.send(b"data: " + event + b"\n\n")
            await response.eof()
        except EngineFailure:
            request.transport.abort()  # type: ignore[attr-defined]

    @app.post("/v1/cancel/<attempt_id>")
    async def cancel(_: Request, attempt_id: str) -> HTTPResponse:
        engine.cancel(attempt_id)
        return _json({})

    @app.get("/v1/load")
    async def load(_: Request) -> HTTPResponse:
        return _json(engine.report())

    @app.post("/v1/orders")
    async def order(request: Request) -> HTTPResponse:
        msgspec.json.decode(request.body, type=EngineOrder)
        return _json({})

    @app.post("/control/crash")
    async def crash(_: Request) -> HTTPResponse:
        engine.crash()
        return _json({})

    return app


def service_app(clock: Clock, seed: int) -> Sanic[Any, Any]:
    """Return a service that takes bookings; it counts those it has run."""
    app = _app("standin-service")
    ledger = BookingLedger()

    @app.post("/bookings")
    async def book(request: Request) -> HTTPResponse:
        call_id = request.headers.get("x-call-id", "")
        call = ServiceCall("", "POST", "/bookings", request.body, call_id)
        reply = ledger.book(call)
        return HTTPResponse(reply.body, reply.status, content_type=reply.content_type)

    @app.get("/control/runs")
    async def runs(_: Request) -> HTTPResponse:
        return _json({body.decode(): count for body, count in ledger.runs.items()})

    return app
