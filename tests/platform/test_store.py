"""The store client against a stand-in over loopback."""

from __future__ import annotations

import asyncio
import base64
import json
from contextlib import asynccontextmanager

import pytest
from aiohttp import web
from returns.result import Failure, Success

from aspenbridge.loop import NumericAddressLoop
from aspenbridge.platform._connections import open_store_session
from aspenbridge.platform._store import StoreClient
from aspenbridge.ports import (
    Check,
    Conflict,
    Delete,
    HistoryLost,
    Put,
    Row,
    RowKey,
    Transaction,
    Unavailable,
)
from tests.support.engine_scripts import Answer, Framing, ScriptedEngine

KEY = RowKey("t", "k", "p1")
WIRE_ROW = {
    "table": "t",
    "part": "p1",
    "key": "k",
    "value": base64.b64encode(b"v").decode(),
    "ver": 5,
}


@asynccontextmanager
async def store(handle, listeners=None):
    server = web.Server(handle)
    loop = asyncio.get_running_loop()
    listener = await loop.create_server(server, "127.0.0.1", 0)
    if listeners is not None:
        listeners.append(listener)
    port = listener.sockets[0].getsockname()[1]
    async with open_store_session() as session:
        yield StoreClient(session, f"127.0.0.1:{port}")
    listener.close()
    await server.shutdown(0.1)


def call_store(status, body, call):
    """Return the result of a call and the request that the store received."""
    requests = []

    async def handle(request):
        requests.append((request.method, request.path_qs, await request.read()))
        if status is None:
            request.transport.abort()
        return web.Response(status=status or 200, body=json.dumps(body).encode())

    async def main():
        async with store(handle) as client:
            return await call(client)

    with asyncio.Runner(loop_factory=NumericAddressLoop) as runner:
        return runner.run(main()), requests[0]


def transact(client):
    return client.transact(
        Transaction(
            checks=(Check(KEY, 0),),
            puts=(Put(KEY, b"v"),),
            deletes=(Delete(RowKey("t", "old", "p1")),),
        )
    )


def test_transaction_has_the_stores_wire_format():
    result, (method, path, body) = call_store(200, {"ver": 9, "nowMs": 1}, transact)
    assert result.unwrap().versions == {KEY: 9}
    assert (method, path) == ("POST", "/rows-tx")
    key = {"table": "t", "part": "p1", "key": "k"}
    assert json.loads(body) == {
        "expectedRev": [key | {"ver": 0}],
        "setKeys": [key | {"value": WIRE_ROW["value"]}],
        "remove": [key | {"key": "old"}],
    }


def test_conflict_contains_the_current_rows():
    result, _ = call_store(412, {"rows": [WIRE_ROW]}, transact)
    assert result == Failure(Conflict({KEY: Row(KEY, b"v", 5)}))


@pytest.mark.parametrize(
    ("status", "maybe_applied"),
    [(503, False), (429, False), *((s, True) for s in (403, 500, 502, 507, None))],
)
def test_failed_call_tells_whether_it_may_have_been_applied(status, maybe_applied):
    result, _ = call_store(status, {}, transact)
    error = result.failure()
    assert isinstance(error, Unavailable)
    assert error.maybe_applied is maybe_applied


@pytest.mark.parametrize("status", [None, 503])
@pytest.mark.parametrize("call", [lambda c: c.put("a", b"x"), lambda c: c.delete("a")])
def test_call_that_was_sent_again_may_have_been_applied_the_first_time(call, status):
    """Guards against judging by the last of two sends."""
    received, listeners = [], []

    async def handle(request):
        received.append(await request.read())
        if len(received) == 2:
            if status is None:
                listeners[0].close()
            request.transport.abort()
        return web.Response(status=200 if len(received) == 1 else status or 200)

    async def main():
        async with store(handle, listeners) as client:
            await client.put("first", b"x")
            return await call(client)

    with asyncio.Runner(loop_factory=NumericAddressLoop) as runner:
        error = runner.run(main()).failure()
    assert len(received) == (2 if status is None else 3)
    assert error.maybe_applied


def test_changes_mark_removed_rows():
    removed = {"table": "t", "key": "x", "tombstone": True, "ver": 6}
    result, (_, path, _) = call_store(
        200, {"rows": [WIRE_ROW, removed], "ver": 8}, lambda c: c.changes("t", 4, 0.5)
    )
    page = result.unwrap()
    assert [change.value for change in page.changes] == [b"v", None]
    assert page.version == 8
    assert path == "/rows-feed?table=t&after=4&waitMs=500"


def test_lost_history_differs_from_an_outage():
    result, _ = call_store(410, {}, lambda c: c.changes("t", 4, 0.5))
    assert result == Failure(HistoryLost())


def test_range_tells_whether_it_is_complete():
    result, (_, path, _) = call_store(
        200,
        {"rows": [WIRE_ROW], "hasMore": True, "ver": 7},
        lambda c: c.rows("t", "p1", start="a", end="z"),
    )
    assert not result.unwrap().complete
    assert path == "/rows-get?table=t&part=p1&from=a&to=z"


def test_existing_object_is_kept_and_a_missing_object_is_none():
    assert call_store(412, {}, lambda c: c.put("a", b"x"))[0] == Success(None)
    assert call_store(404, {}, lambda c: c.get("a"))[0] == Success(None)


def test_full_store_counts_as_unavailable():
    result, _ = call_store(507, {}, lambda c: c.put("a", b"x"))
    assert isinstance(result.failure(), Unavailable)


@pytest.mark.parametrize(
    "call",
    [
        transact,
        lambda c: c.rows("t"),
        lambda c: c.parts("t"),
        lambda c: c.changes("t", 4, 0.5),
    ],
)
@pytest.mark.parametrize("sent_bytes", [0, 9])
def test_reply_that_is_cut_off_counts_as_none(call, sent_bytes):
    reply = {"rows": [WIRE_ROW], "parts": ["p"], "ver": 9}
    answer = Answer(json.dumps(reply).encode(), Framing.NONE, sent_bytes=sent_bytes)

    async def main():
        async with ScriptedEngine() as script, open_store_session() as session:
            script.scripts[""] = [answer]
            return await call(StoreClient(session, f"127.0.0.1:{script.port}"))

    with asyncio.Runner(loop_factory=NumericAddressLoop) as runner:
        error = runner.run(main()).failure()
    assert isinstance(error, Unavailable)
    assert error.maybe_applied


ODD_REPLIES = [
    {"rows": "x", "ver": 1},
    {"rows": [5], "ver": 1},
    {"rows": [WIRE_ROW | {"value": 5}], "ver": 1},
    {"rows": [WIRE_ROW | {"value": None}], "ver": 1},
    {"rows": [WIRE_ROW | {"ver": "new"}], "ver": 1},
    {"rows": [WIRE_ROW | {"key": 7}], "ver": 1},
    {"rows": [WIRE_ROW | {"part": None}], "ver": 1},
    {"rows": [], "ver": "new"},
    {"rows": [], "ver": None},
    [],
    7,
]


# Guards against replies that end the follower of a table, and so the host.
@pytest.mark.parametrize("reply", ODD_REPLIES)
@pytest.mark.parametrize(
    "call", [lambda c: c.rows("t"), lambda c: c.changes("t", 4, 0.5)]
)
def test_reply_of_another_form_counts_as_none(reply, call):
    result, _ = call_store(200, reply, call)
    assert isinstance(result.failure(), Unavailable)


# Guards against a page after which no next one can be asked for.
def test_page_without_rows_that_is_not_the_last_counts_as_none():
    reply = {"rows": [], "ver": 7, "hasMore": True}
    result, _ = call_store(200, reply, lambda c: c.rows("t"))
    assert isinstance(result.failure(), Unavailable)
