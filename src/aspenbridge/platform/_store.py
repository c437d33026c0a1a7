"""The client of the platform's store: rows, changes and objects."""

from __future__ import annotations

import base64
import time
from typing import TYPE_CHECKING, Any
from urllib.parse import quote

import aiohttp
import msgspec
from returns.result import Failure, Result, Success

from aspenbridge.observability import metrics
from aspenbridge.ports import (
    Change,
    ChangePage,
    Committed,
    Conflict,
    HistoryLost,
    Page,
    Row,
    RowKey,
    RowRange,
    Unavailable,
)

from . import _names as names

if TYPE_CHECKING:
    from collections.abc import Sequence

    from aspenbridge.ports import Transaction

CALL_LIMIT_S = 1.0  # 4 ms an answer; a tenth of a second when it is busy
FEED_SLACK_S = 0.8  # beyond the wait that was asked for
NOT_STARTED = (502, 503, 429)
ROWS_PER_CALL = 500  # the most that one answer holds
LAST_CHARACTER = "\U0010ffff"


class StoreClient:
    """Table rows with conditions, their changes, and raw objects."""

    def __init__(self, session: aiohttp.ClientSession, address: str) -> None:
        self._session = session
        self._base = f"http://{address}"

    def move_to(self, address: str) -> None:
        """Send further calls to another address."""
        self._base = f"http://{address}"

    async def transact(
        self, transaction: Transaction
    ) -> Result[Committed, Conflict | Unavailable]:
        """Apply all writes of a transaction, or none."""
        body = {
            "expectedRev": [
                _wire_key(check.key) | {"ver": check.version}
                for check in transaction.checks
            ],
            "setKeys": [
                _wire_key(put.key) | {"value": base64.b64encode(put.value).decode()}
                for put in transaction.puts
            ],
            "remove": [_wire_key(delete.key) for delete in transaction.deletes],
        }
        sent = await self._call(
            "POST", names.TRANSACT_PATH, body=msgspec.json.encode(body), good=(200, 412)
        )
        if isinstance(sent, Failure):
            return sent
        status, reply = sent.unwrap()
        fields = msgspec.json.decode(reply)
        if status == 412:
            rows = {row.key: row for row in map(_row, fields.get("rows", ()))}
            return Failure(
                Conflict(
                    {check.key: rows.get(check.key) for check in transaction.checks}
                )
            )
        return Success(Committed({put.key: fields["ver"] for put in transaction.puts}))

    async def read(
        self, keys: Sequence[RowKey]
    ) -> Result[tuple[Row | None, ...], Unavailable]:
        """Return the rows in the order of the keys, each read by itself."""
        found: list[Row | None] = []
        for key in keys:
            read = await self.rows(
                key.table, key.part, start=key.key, end=key.key + "\0"
            )
            if isinstance(read, Failure):
                return read
            found.append(next(iter(read.unwrap().rows), None))
        return Success(tuple(found))

    async def scan(
        self, table: str, prefix: str, *, after: str = "", limit: int = ROWS_PER_CALL
    ) -> Result[Page, Unavailable]:
        """Return rows of the unnamed part whose key has the prefix."""
        start = after + "\0" if after else prefix
        read = await self.rows(table, start=start, end=prefix + LAST_CHARACTER)
        if isinstance(read, Failure):
            return read
        found = read.unwrap()
        rows = found.rows[:limit]
        complete = found.complete and len(rows) == len(found.rows)
        return Success(Page(rows, None if complete else rows[-1].key.key))

    async def rows(
        self, table: str, part: str = "", *, start: str = "", end: str = ""
    ) -> Result[RowRange, Unavailable]:
        """Return rows of a part; one answer may not hold all."""
        query = {"table": table, "part": part}
        query |= {"from": start} if start else {}
        query |= {"to": end} if end else {}
        sent = await self._call("GET", names.ROWS_PATH, query=query)
        if isinstance(sent, Failure):
            return sent
        fields = msgspec.json.decode(sent.unwrap()[1])
        return Success(
            RowRange(
                rows=tuple(map(_row, fields["rows"])),
                version=fields["ver"],
                complete=not fields.get("hasMore", False),
            )
        )

    async def parts(self, table: str) -> Result[tuple[str, ...], Unavailable]:
        """Return the names of all parts of a table."""
        found: list[str] = []
        while True:
            query = {"table": table} | ({"after": found[-1]} if found else {})
            sent = await self._call("GET", names.PARTS_PATH, query=query)
            if isinstance(sent, Failure):
                return sent
            fields = msgspec.json.decode(sent.unwrap()[1])
            found.extend(fields["parts"])
            if not fields.get("hasMore") or not fields["parts"]:
                return Success(tuple(found))

    async def changes(
        self, table: str, after: int, wait_s: float
    ) -> Result[ChangePage, Unavailable | HistoryLost]:
        """Return what changed after a version; wait if nothing did."""
        query = {
            "table": table,
            "after": str(after),
            "waitMs": str(int(wait_s * 1000)),
        }
        sent = await self._call(
            "GET",
            names.CHANGES_PATH,
            query=query,
            good=(200, 410),
            limit_s=wait_s + FEED_SLACK_S,
        )
        if isinstance(sent, Failure):
            return sent
        status, reply = sent.unwrap()
        if status == 410:
            return Failure(HistoryLost())
        fields = msgspec.json.decode(reply)
        return Success(ChangePage(tuple(map(_change, fields["rows"])), fields["ver"]))

    async def put(self, name: str, body: bytes) -> Result[None, Unavailable]:
        """Write an object; one that exists under the name is left as it is."""
        sent = await self._call(
            "PUT",
            names.OBJECT_PUT_PATH + quote(name, safe=""),
            body=body,
            headers={"If-None-Match": "*"},
            good=(200, 201, 204, 412),
            limit_s=CALL_LIMIT_S * 2,
        )
        return sent.map(lambda reply: None)

    async def get(self, name: str) -> Result[bytes | None, Unavailable]:
        """Return an object, or None when there is none of this name."""
        sent = await self._call(
            "GET",
            names.OBJECT_GET_PATH + quote(name, safe=""),
            good=(200, 404),
            limit_s=CALL_LIMIT_S * 2,
        )
        return sent.map(lambda reply: reply[1] if reply[0] == 200 else None)

    async def delete(self, name: str) -> Result[None, Unavailable]:
        """Remove an object; one that does not exist is no error."""
        sent = await self._call(
            "DELETE",
            names.OBJECT_DELETE_PATH + quote(name, safe=""),
            good=(200, 204, 404),
        )
        return sent.map(lambda reply: None)

    async def _call(
        self,
        method: str,
        path: str,
        *,
        query: dict[str, str] | None = None,
        body: bytes | None = None,
        headers: dict[str, str] | None = None,
        good: tuple[int, ...] = (200,),
        limit_s: float = CALL_LIMIT_S,
    ) -> Result[tuple[int, bytes], Unavailable]:
        started_s = time.perf_counter()
        sent_headers = {"Content-Type": "application/json"} | (headers or {})
        try:
            async with self._session.request(
                method,
                self._base + path,
                params=query,
                data=body,
                headers=sent_headers if body is not None else headers,
                timeout=aiohttp.ClientTimeout(total=limit_s),
            ) as response:
                reply = await response.read()
        except (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError) as error:
            _measure(path, "not sent", started_s)
            return Failure(Unavailable(str(error), maybe_applied=False))
        except (aiohttp.ClientError, TimeoutError) as error:
            _measure(path, "no answer", started_s)
            reason = str(error) or type(error).__name__
            return Failure(Unavailable(reason, maybe_applied=True))
        _measure(path, str(response.status), started_s)
        if response.status in good:
            return Success((response.status, reply))
        return Failure(
            Unavailable(
                f"status {response.status}",
                maybe_applied=response.status not in NOT_STARTED,
            )
        )


def _measure(path: str, outcome: str, started_s: float) -> None:
    if path == names.CHANGES_PATH:
        return  # waits for as long as it was asked to
    call = path.split("/")[1]
    duration_s = time.perf_counter() - started_s
    metrics.STORE_CALL_S.labels(call, outcome).observe(duration_s)


def _wire_key(key: RowKey) -> dict[str, Any]:
    return {"table": key.table, "part": key.part, "key": key.key}


def _row_key(fields: dict[str, Any]) -> RowKey:
    return RowKey(fields["table"], fields["key"], fields.get("part", ""))


def _row(fields: dict[str, Any]) -> Row:
    value = base64.b64decode(fields["value"])
    return Row(_row_key(fields), value, fields["ver"])


def _change(fields: dict[str, Any]) -> Change:
    removed = fields.get("tombstone", False)
    value = None if removed else base64.b64decode(fields["value"])
    return Change(_row_key(fields), value, fields["ver"])
