"""Client of the platform's store: rows, their changes, and objects."""

from __future__ import annotations

import asyncio
import base64
import time
from functools import partial
from typing import TYPE_CHECKING, Any, TypeVar
from urllib.parse import quote

import aiohttp
import msgspec
from returns.result import Failure, Result, Success

from aspenbridge.client_connections import describe_error, read_body
from aspenbridge.observability import metrics
from aspenbridge.ports import (
    ChangePage,
    Committed,
    Conflict,
    HistoryLost,
    Page,
    Row,
    RowChange,
    RowKey,
    RowRange,
    Unavailable,
)

from . import _names as names

if TYPE_CHECKING:
    from collections.abc import Sequence

    from aspenbridge.ports import Transaction

Reply = TypeVar("Reply")
# The store answers in 4 ms, and in a tenth of a second under load.
CALL_TIMEOUT_S = 1.0
# Added to the requested wait of a call on the change feed.
FEED_TIMEOUT_MARGIN_S = 0.8
# With these statuses the store has not applied the call.
NOT_APPLIED_STATUSES = (503, 429)
# Calls that are made once more when their connection ends before the reply, as
# a kept one may. A second time changes nothing: objects are written only once,
# and a missing one is not an error.
REPEATED_METHODS = ("GET", "PUT", "DELETE")
# How aiohttp reports that a connection ended before the head of the reply.
CONNECTION_ENDS = (aiohttp.ClientOSError, aiohttp.ServerDisconnectedError)
HISTORY_LOST_STATUS = 410
MAX_ROWS_PER_CALL = 500  # the maximum number of rows in one response
# Of a reply that holds no object: eight times the megabyte of rows that the
# store puts into one.
MAX_REPLY_BYTES = 8 * 1024 * 1024
DEFAULT_OBJECT_BYTES = 8 * 1024 * 1024
LAST_CHARACTER = "\U0010ffff"


class StoreClient:
    """
    Reads and writes table rows and objects, and reads the change feed.

    Satisfies the protocols ``TableService``, ``ChangeFeed`` and
    ``ObjectStore``. A failed call is returned as ``Unavailable``, which tells
    whether the store may have applied it.

    :param object_bytes: the size of the largest object that the store keeps.
    """

    def __init__(
        self,
        session: aiohttp.ClientSession,
        address: str,
        object_bytes: int = DEFAULT_OBJECT_BYTES,
    ) -> None:
        self._session = session
        self._base_url = f"http://{address}"
        self._object_bytes = object_bytes

    def set_address(self, address: str) -> None:
        """Send all further calls to this address, given as ``IP:PORT``."""
        self._base_url = f"http://{address}"

    async def transact(
        self, transaction: Transaction
    ) -> Result[Committed, Conflict | Unavailable]:
        """Apply all writes of a transaction, or none of them."""
        body = {
            "expectedRev": [
                _encode_key(check.key) | {"ver": check.version}
                for check in transaction.checks
            ],
            "setKeys": [
                _encode_key(put.key) | {"value": base64.b64encode(put.value).decode()}
                for put in transaction.puts
            ],
            "remove": [_encode_key(delete.key) for delete in transaction.deletes],
        }
        result = await self._call(
            "POST",
            names.TRANSACT_PATH,
            body=msgspec.json.encode(body),
            expected_statuses=(200, 412),
        )
        if isinstance(result, Failure):
            return result
        status, reply = result.unwrap()
        if status == 412:
            conflict = _decode(reply, _ConflictReply)
            if isinstance(conflict, Failure):
                return conflict
            found = {row.row_key: row.row for row in conflict.unwrap().rows}
            checked = [check.key for check in transaction.checks]
            return Failure(Conflict({key: found.get(key) for key in checked}))
        return _decode(reply, _TransactionReply).map(
            lambda reply: Committed({put.key: reply.ver for put in transaction.puts})
        )

    async def read(
        self, keys: Sequence[RowKey]
    ) -> Result[tuple[Row | None, ...], Unavailable]:
        """
        Return the rows in the order of the keys.

        Makes one call per key, so the rows are read at different times.
        """
        rows: list[Row | None] = []
        for key in keys:
            result = await self.rows(
                key.table, key.part, start=key.key, end=key.key + "\0"
            )
            if isinstance(result, Failure):
                return result
            rows.append(next(iter(result.unwrap().rows), None))
        return Success(tuple(rows))

    async def scan(
        self,
        table: str,
        prefix: str,
        *,
        after: str = "",
        limit: int = MAX_ROWS_PER_CALL,
    ) -> Result[Page, Unavailable]:
        """Return rows of the unnamed part whose keys start with the prefix."""
        start = after + "\0" if after else prefix
        result = await self.rows(table, start=start, end=prefix + LAST_CHARACTER)
        if isinstance(result, Failure):
            return result
        row_range = result.unwrap()
        rows = row_range.rows[:limit]
        complete = row_range.complete and len(rows) == len(row_range.rows)
        return Success(Page(rows, None if complete else rows[-1].key.key))

    async def rows(
        self, table: str, part: str = "", *, start: str = "", end: str = ""
    ) -> Result[RowRange, Unavailable]:
        """Return rows of a part; ``complete`` tells whether these are all."""
        query = {"table": table, "part": part}
        query |= {"from": start} if start else {}
        query |= {"to": end} if end else {}
        result = await self._call("GET", names.ROWS_PATH, query=query)
        page = result.bind(lambda reply: _decode(reply[1], _RangeReply))
        return page.map(
            lambda reply: RowRange(
                rows=tuple(row.row for row in reply.rows),
                version=reply.ver,
                complete=not reply.hasMore,
            )
        )

    async def parts(self, table: str) -> Result[tuple[str, ...], Unavailable]:
        """Return the names of all parts of a table."""
        parts: list[str] = []
        while True:
            query = {"table": table} | ({"after": parts[-1]} if parts else {})
            result = await self._call("GET", names.PARTS_PATH, query=query)
            page = result.bind(lambda reply: _decode(reply[1], _PartsReply))
            if isinstance(page, Failure):
                return page
            reply = page.unwrap()
            parts.extend(reply.parts)
            if not reply.hasMore or not reply.parts:
                return Success(tuple(parts))

    async def changes(
        self, table: str, after: int, wait_s: float
    ) -> Result[ChangePage, Unavailable | HistoryLost]:
        """
        Return the changes after a version.

        :param wait_s: how long the store waits for a change if there is none.
        """
        query = {
            "table": table,
            "after": str(after),
            "waitMs": str(int(wait_s * 1000)),
        }
        result = await self._call(
            "GET",
            names.CHANGES_PATH,
            query=query,
            expected_statuses=(200, HISTORY_LOST_STATUS),
            timeout_s=wait_s + FEED_TIMEOUT_MARGIN_S,
        )
        if isinstance(result, Failure):
            return result
        status, reply = result.unwrap()
        if status == HISTORY_LOST_STATUS:
            return Failure(HistoryLost())
        return _decode(reply, _ChangesReply).map(
            lambda page: ChangePage(tuple(row.change for row in page.rows), page.ver)
        )

    async def put(self, name: str, body: bytes) -> Result[None, Unavailable]:
        """Write an object unless one of this name exists already."""
        result = await self._call(
            "PUT",
            names.OBJECT_PUT_PATH + quote(name, safe=""),
            body=body,
            headers={"If-None-Match": "*"},
            expected_statuses=(200, 201, 204, 412),
            timeout_s=CALL_TIMEOUT_S * 2,
        )
        return result.map(lambda reply: None)

    async def get(self, name: str) -> Result[bytes | None, Unavailable]:
        """Return an object, or None if there is none of this name."""
        result = await self._call(
            "GET",
            names.OBJECT_GET_PATH + quote(name, safe=""),
            expected_statuses=(200, 404),
            timeout_s=CALL_TIMEOUT_S * 2,
            max_reply_bytes=self._object_bytes,
        )
        return result.map(lambda reply: reply[1] if reply[0] == 200 else None)

    async def delete(self, name: str) -> Result[None, Unavailable]:
        """Remove an object; a missing object is not an error."""
        result = await self._call(
            "DELETE",
            names.OBJECT_DELETE_PATH + quote(name, safe=""),
            expected_statuses=(200, 204, 404),
        )
        return result.map(lambda reply: None)

    async def _call(
        self,
        method: str,
        path: str,
        *,
        query: dict[str, str] | None = None,
        body: bytes | None = None,
        headers: dict[str, str] | None = None,
        expected_statuses: tuple[int, ...] = (200,),
        timeout_s: float = CALL_TIMEOUT_S,
        max_reply_bytes: int = MAX_REPLY_BYTES,
    ) -> Result[tuple[int, bytes], Unavailable]:
        started_s = time.perf_counter()
        url = self._base_url + path
        sent_headers = {"Content-Type": "application/json"} | (headers or {})
        options = {
            "params": query,
            "data": body,
            "headers": sent_headers if body is not None else headers,
        }
        send = partial(self._send, method, url, max_reply_bytes, options)
        repeated = False
        try:
            async with asyncio.timeout(timeout_s):
                try:
                    status, reply = await send()
                except CONNECTION_ENDS as error:
                    if method not in REPEATED_METHODS or _not_sent(error):
                        raise
                    repeated = True
                    status, reply = await send()
        except (aiohttp.ClientError, TimeoutError) as error:
            sent = repeated or not _not_sent(error)
            _observe_duration(path, "no answer" if sent else "not sent", started_s)
            return Failure(Unavailable(describe_error(error), maybe_applied=sent))
        _observe_duration(path, str(status), started_s)
        if status in expected_statuses:
            return Success((status, reply))
        return Failure(
            Unavailable(
                f"status {status}",
                maybe_applied=repeated or status not in NOT_APPLIED_STATUSES,
            )
        )

    async def _send(
        self, method: str, url: str, max_reply_bytes: int, options: dict[str, Any]
    ) -> tuple[int, bytes]:
        """Make a call once; a redirect is not followed."""
        async with self._session.request(
            method, url, allow_redirects=False, **options
        ) as response:
            return response.status, await read_body(response, max_reply_bytes)


def _not_sent(error: Exception) -> bool:
    """Whether an error shows that the store got nothing of a call."""
    return isinstance(
        error, aiohttp.ClientConnectorError | aiohttp.ConnectionTimeoutError
    )


def _decode(body: bytes, reply_type: type[Reply]) -> Result[Reply, Unavailable]:
    """
    Return what a reply holds.

    A reply without a length may have been cut off.
    """
    try:
        return Success(msgspec.json.decode(body, type=reply_type))
    except (ValueError, RecursionError) as error:
        reason = f"reply can't be decoded: {describe_error(error)}"
        return Failure(Unavailable(reason, maybe_applied=True))


def _observe_duration(path: str, outcome: str, started_s: float) -> None:
    if path == names.CHANGES_PATH:
        return  # its duration is mostly the requested wait
    call = path.split("/")[1]
    duration_s = time.perf_counter() - started_s
    metrics.STORE_CALL_S.labels(call, outcome).observe(duration_s)


def _encode_key(key: RowKey) -> dict[str, Any]:
    return {"table": key.table, "part": key.part, "key": key.key}


class _RowReply(msgspec.Struct):
    """A row, or a change of it, whose ``value`` is base64 on the wire."""

    table: str
    key: str
    ver: int
    part: str = ""
    value: bytes | None = None
    tombstone: bool = False

    def __post_init__(self) -> None:
        if self.value is None and not self.tombstone:
            raise ValueError(f"row {self.key!r} has no value")

    @property
    def row_key(self) -> RowKey:
        return RowKey(self.table, self.key, self.part)

    @property
    def row(self) -> Row:
        return Row(self.row_key, self.value or b"", self.ver)

    @property
    def change(self) -> RowChange:
        value = None if self.tombstone else self.value
        return RowChange(self.row_key, value, self.ver)


class _RangeReply(msgspec.Struct):
    rows: list[_RowReply]
    ver: int
    hasMore: bool = False

    def __post_init__(self) -> None:
        # The next page begins after the last row.
        if self.hasMore and not self.rows:
            raise ValueError("a page without rows is not the last one")


class _ChangesReply(msgspec.Struct):
    rows: list[_RowReply]
    ver: int


class _ConflictReply(msgspec.Struct):
    rows: list[_RowReply] = []


class _TransactionReply(msgspec.Struct):
    ver: int


class _PartsReply(msgspec.Struct):
    parts: list[str]
    hasMore: bool = False
