"""The platform's store, as ``PROTOCOL.md`` describes it: always sound."""

from __future__ import annotations

import asyncio
import base64
import json
import time
from typing import Any

from aiohttp import web

CALL_S = 0.004
ROW_BYTES = 65_536
CALL_BYTES = 1024 * 1024
CALL_ENTRIES = 100
PAGE_ROWS = 500


class Store:
    """Rows, their changes and objects; loses nothing it acknowledged."""

    def __init__(self) -> None:
        self.version = 0
        self.refused: list[str] = []  # why calls were refused as too large
        self._rows: dict[tuple[str, str, str], dict[str, Any]] = {}
        self._changes: list[dict[str, Any]] = []
        self._objects: dict[str, bytes] = {}
        self._changed = asyncio.Event()

    def write(self, table: str, key: str, value: bytes | None) -> None:
        """Write or remove a row of the unnamed part, as another writer."""
        self.version += 1
        self._put({"table": table, "part": "", "key": key}, value)
        self._wake()

    def write_json(self, table: str, key: str, fields: object) -> None:
        """Write a row that holds JSON."""
        self.write(table, key, json.dumps(fields).encode())

    async def handle(self, request: web.BaseRequest) -> web.StreamResponse:
        """Answer one call."""
        body = await request.read()
        await asyncio.sleep(CALL_S)
        call, _, name = request.path.removeprefix("/").partition("/")
        if call == "rows-tx":
            return self._transact(body)
        if call == "rows-get":
            return self._read(request.query)
        if call == "rows-feed":
            return await self._feed(request.query)
        if call == "rows-parts":
            table = request.query["table"]
            parts = sorted({p for t, p, _ in self._rows if t == table})
            return _reply({"parts": parts, "hasMore": False})
        return self._object(call, name, body)

    def _transact(self, body: bytes) -> web.Response:
        fields = json.loads(body)
        checks, puts, removals = (
            fields.get(name, []) for name in ("expectedRev", "setKeys", "remove")
        )
        entries = [*checks, *puts, *removals]
        values = [base64.b64decode(put["value"]) for put in puts]
        if len(body) > CALL_BYTES or len(entries) > CALL_ENTRIES:
            return self._refuse(f"call of {len(body)} bytes, {len(entries)} entries")
        for value in values:
            if len(value) > ROW_BYTES:
                return self._refuse(f"value of {len(value)} bytes")
        if len({entry.get("part", "") for entry in entries}) > 1:
            return self._refuse("entries of several parts")
        failed = [check for check in checks if self._version(check) != check["ver"]]
        if failed:
            found = [self._rows.get(_row_key(check)) for check in checks]
            rows = [row for row in found if row is not None]
            return _reply({"rows": rows, "ver": self.version}, 412)
        self.version += 1
        for put, value in zip(puts, values, strict=True):
            self._put(put, value)
        for removal in removals:
            self._put(removal, None)
        self._wake()
        return _reply({"ver": self.version})

    def _refuse(self, reason: str) -> web.Response:
        self.refused.append(reason)
        return web.json_response({"error": reason}, status=400)

    def _version(self, check: dict[str, Any]) -> int:
        row = self._rows.get(_row_key(check))
        return 0 if row is None else row["ver"]

    def _put(self, entry: dict[str, Any], value: bytes | None) -> None:
        key = _row_key(entry)
        row = dict(zip(("table", "part", "key"), key, strict=True))
        row["ver"] = self.version
        if value is None:
            self._rows.pop(key, None)
            self._changes.append(row | {"tombstone": True})
            return
        row["value"] = base64.b64encode(value).decode()
        self._rows[key] = row
        self._changes.append(row)

    def _wake(self) -> None:
        self._changed.set()
        self._changed = asyncio.Event()

    def _read(self, query: Any) -> web.Response:
        low, high = query.get("from", ""), query.get("to", "")
        limit = min(int(query.get("limit", PAGE_ROWS)), PAGE_ROWS)
        rows = [
            row
            for (table, part, key), row in sorted(self._rows.items())
            if table == query["table"]
            and part == query.get("part", "")
            and key >= low
            and (not high or key < high)
        ]
        page, size = [], 0
        for row in rows[:limit]:
            size += len(row["value"])
            if page and size > CALL_BYTES:
                break
            page.append(row)
        fields = {"rows": page, "hasMore": len(page) < len(rows), "ver": self.version}
        return _reply(fields)

    async def _feed(self, query: Any) -> web.Response:
        after, until_s = int(query["after"]), time.monotonic()
        until_s += int(query["waitMs"]) / 1000
        while True:
            table = query["table"]
            rows = [
                row
                for row in self._changes
                if row["ver"] > after and row["table"] == table
            ]
            wait_s = until_s - time.monotonic()
            if rows or wait_s <= 0:
                return _reply({"rows": rows, "ver": self.version})
            changed = self._changed
            try:
                async with asyncio.timeout(wait_s):
                    await changed.wait()
            except TimeoutError:
                continue

    def _object(self, call: str, name: str, body: bytes) -> web.Response:
        if call == "blob-put":
            if name in self._objects:
                return web.Response(status=412)
            self._objects[name] = body
            return web.Response()
        if call == "blob-get":
            found = self._objects.get(name)
            return web.Response(status=404 if found is None else 200, body=found)
        if call == "blob-drop":
            self._objects.pop(name, None)
            return web.Response()
        return web.Response(status=404)


def _reply(fields: dict[str, Any], status: int = 200) -> web.Response:
    now_ms = int(time.monotonic() * 1000)
    return web.json_response(fields | {"nowMs": now_ms}, status=status)


def _row_key(entry: dict[str, Any]) -> tuple[str, str, str]:
    return entry["table"], entry.get("part", ""), entry["key"]
