"""
Stand-ins for the platform: its store over HTTP, settings, and rows.

The rows are those that engines and the operator write into the store.
"""

from __future__ import annotations

import asyncio
import base64
import json
import time
from typing import Any

from aiohttp import web

Row = dict[str, Any]
# How long reads return the previous configuration after a loss of history.
STALE_READS_S = 2.0

SETTINGS = """
nodeName = "{name}"
zone = "a-1"
region = "a"
heartbeatMs = 1200
ip = "{ip}"
portRange = [{peers},{peers}]
[zones]
a-1 = "a"
[listen]
frontend = "{ip}:{callers}"
ready = "{ip}:{ready}"
[limits]
memoryMb = 200
[bounds]
drainMs = {drain_ms}
graceS = {stop_s}
cancelMs = 3000
statusS = {results_kept_s}
[platform]
addr = "{store}"
rowBytes = 65536
blobBytes = 8388608
"""
LIMITS = {
    "maxHeaderBytes": 16384,
    "maxBodyBytes": 4194304,
    "headerTimeoutMs": 5000,
    "idleTimeoutMs": 15000,
}


def engine_row(
    address: str, state: str = "ready", started_ms: int = 1
) -> dict[str, Any]:
    """Return the row by which an engine registers."""
    return {
        "born": started_ms,
        "service": "llm",
        "addr": address,
        "zone": "a-1",
        "version": "v1",
        "slots": 8,
        "state": state,
        "coldLeftMs": 0,
        "seq": 0,
    }


def configuration(version: int, routes: list[dict[str, Any]]) -> dict[str, Any]:
    """Return the operator's configuration row."""
    return {"version": version, "routes": routes, "limits": LIMITS}


class StoreStandIn:
    """
    An in-memory store that can be unavailable or slow, or lose responses or
    its history.

    It never loses a write that it has acknowledged.
    """

    def __init__(self) -> None:
        self.rows: dict[tuple[str, str, str], Row] = {}
        self.history: list[Row] = []
        self.objects: dict[str, bytes] = {}
        self.version = 0
        self.unavailable = False
        self.delay_s = 0.003
        # The share of writes that are applied without a response, half of
        # them with status 502 of a gateway.
        self.lost_response_share = 0.0
        # The next transaction that creates a row is applied and gets status
        # 502, and the store is unavailable from then on.
        self.fails_with_next_new_row = False
        # Until this time the change feeds report no changes, without an error.
        self.feeds_silent_until_s = 0.0
        self.random = None
        self._history_starts_after = 0
        self._stale_version = 0  # the version that stale responses contain
        self._old_configuration: Row | None = None
        self._stale_until_s = 0.0
        self._row_changed = asyncio.Event()

    def write(self, table: str, key: str, fields: dict[str, Any] | None) -> None:
        """Write or remove a row of the unnamed part, as another client."""
        self.write_value(table, key, None if fields is None else json.dumps(fields))

    def write_value(
        self, table: str, key: str, text: str | bytes | None, part: str = ""
    ) -> None:
        """Write any value into a row, or remove it."""
        value = text.encode() if isinstance(text, str) else text
        old = self.rows.get((table, "", key))
        if (table, key) == ("op", "config") and old is not None:
            self._old_configuration = old
        self.version += 1
        self._write_row({"table": table, "part": part, "key": key}, value)
        self._wake_feeds()

    def drop_history(self) -> None:
        """
        Drop the change history.

        For ``STALE_READS_S``, reads return the previous configuration and its
        version, and feeds report no changes. A feed that asks for changes
        after a version older than the newest one gets status 410, unless it
        is the version of those reads.
        """
        old = self._old_configuration
        self._stale_version = self.version if old is None else old["ver"]
        self._history_starts_after = self.version
        self._stale_until_s = self.feeds_silent_until_s = (
            time.monotonic() + STALE_READS_S
        )
        self._wake_feeds()

    def _write_row(self, key: Row, value: bytes | None) -> None:
        row_key = key["table"], key.get("part", ""), key["key"]
        row = {"table": row_key[0], "part": row_key[1], "key": row_key[2]}
        row["ver"] = self.version
        if value is None:
            if self.rows.pop(row_key, None) is not None:
                self.history.append(row | {"tombstone": True})
            return
        row["value"] = base64.b64encode(value).decode()
        self.rows[row_key] = row
        self.history.append(row)

    def _wake_feeds(self) -> None:
        self._row_changed.set()
        self._row_changed = asyncio.Event()

    async def handle(self, request: web.BaseRequest) -> web.StreamResponse:
        """Answer one call of a store client."""
        # aiohttp's own read() takes one megabyte, and objects may have eight.
        body = await request.content.read()
        await asyncio.sleep(self.delay_s)
        if self.unavailable:
            return web.Response(status=503)
        call = request.path.split("/")[1]
        if call == "rows-tx":
            return self._transact(json.loads(body), request)
        if call == "rows-get":
            return self._read_range(request.query)
        if call == "rows-feed":
            return await self._feed(request.query)
        if call == "rows-parts":
            parts = sorted({p for t, p, _ in self.rows if t == request.query["table"]})
            return web.json_response({"parts": parts, "hasMore": False})
        return self._object(call, request.path.split("/", 2)[2], body)

    def _transact(
        self, fields: dict[str, Any], request: web.BaseRequest
    ) -> web.StreamResponse:
        stale = [
            self.rows[row_key]
            for check in fields.get("expectedRev", ())
            if (row_key := (check["table"], check.get("part", ""), check["key"]))
            in self.rows
            and self.rows[row_key]["ver"] != check["ver"]
        ]
        missing_checks = [
            check
            for check in fields.get("expectedRev", ())
            if check["ver"]
            and (check["table"], check.get("part", ""), check["key"]) not in self.rows
        ]
        if stale or missing_checks:
            return web.json_response({"rows": stale, "ver": self.version}, status=412)
        self.version += 1
        for entry in fields.get("setKeys", ()):
            self._write_row(entry, base64.b64decode(entry["value"]))
        for entry in fields.get("remove", ()):
            self._write_row(entry, None)
        self._wake_feeds()
        new_rows = any(check["ver"] == 0 for check in fields.get("expectedRev", ()))
        if new_rows and self.fails_with_next_new_row:
            self.fails_with_next_new_row, self.unavailable = False, True
            return web.Response(status=502)
        if self.random is not None and self.random.random() < self.lost_response_share:
            if self.random.random() < 0.5:
                return web.Response(status=502)
            assert request.transport is not None
            request.transport.abort()
        return web.json_response({"ver": self.version})

    def _read_range(self, query: Any) -> web.StreamResponse:
        low, high = query.get("from", ""), query.get("to", "")
        rows = [
            row
            for (table, part, key), row in sorted(self.rows.items())
            if table == query["table"]
            and part == query.get("part", "")
            and key >= low
            and (not high or key < high)
        ]
        version = self.version
        stale = time.monotonic() < self._stale_until_s
        if query["table"] == "op" and stale and self._old_configuration is not None:
            rows, version = [self._old_configuration], self._stale_version
        return web.json_response(
            {"rows": rows[:500], "ver": version, "hasMore": len(rows) > 500}
        )

    async def _feed(self, query: Any) -> web.StreamResponse:
        after = int(query["after"])
        until_s = time.monotonic() + int(query["waitMs"]) / 1000
        while True:
            if self.unavailable:
                return web.Response(status=503)
            if after < self._history_starts_after and after != self._stale_version:
                return web.json_response({}, status=410)
            changes = [r for r in self.history if r["ver"] > after]
            rows = [r for r in changes if r["table"] == query["table"]]
            remaining_s = until_s - time.monotonic()
            if time.monotonic() < self.feeds_silent_until_s:
                if remaining_s <= 0:
                    return web.json_response({"rows": [], "ver": after})
                await asyncio.sleep(0.1)
                continue
            if rows or remaining_s <= 0:
                return web.json_response({"rows": rows, "ver": self.version})
            try:
                async with asyncio.timeout(remaining_s):
                    await self._row_changed.wait()
            except TimeoutError:
                continue

    def _object(self, call: str, name: str, body: bytes) -> web.StreamResponse:
        if call == "blob-put":
            if name in self.objects:
                return web.Response(status=412)
            self.objects[name] = body
            return web.Response(status=200)
        if call == "blob-get":
            content = self.objects.get(name)
            return web.Response(status=404 if content is None else 200, body=content)
        self.objects.pop(name, None)
        return web.Response(status=200)
