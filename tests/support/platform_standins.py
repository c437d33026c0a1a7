"""The platform's store over HTTP, a settings file, and rows of others."""

from __future__ import annotations

import asyncio
import base64
import json
import time
from typing import Any

from aiohttp import web

Row = dict[str, Any]
STALE_S = 2.0  # how long old configurations are read after a lost history

SETTINGS = """
nodeName = "{name}"
zone = "a-1"
region = "a"
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


def engine_row(address: str, state: str = "ready") -> dict[str, Any]:
    """Return the row by which an engine registers."""
    return {
        "service": "llm",
        "addr": address,
        "zone": "a-1",
        "slots": 8,
        "state": state,
        "coldLeftMs": 0,
    }


def configuration(version: int, routes: list[dict[str, Any]]) -> dict[str, Any]:
    """Return the operator's row."""
    return {"version": version, "routes": routes, "limits": LIMITS}


class StoreStandIn:
    """Keeps everything it acknowledged; can be away, late and forgetful."""

    def __init__(self) -> None:
        self.rows: dict[tuple[str, str, str], Row] = {}
        self.history: list[Row] = []
        self.objects: dict[str, bytes] = {}
        self.version = 0
        self.away = False
        self.delay_s = 0.003
        self.lose_answers = 0.0  # share of the writes
        self.deaf_until_s = 0.0  # feeds hear nothing, without an error
        self.random = None
        self._lost_until = 0
        self._stale = 0  # the version of the answers that are behind
        self._old_configuration: Row | None = None
        self._stale_until_s = 0.0
        self._changed = asyncio.Event()

    def write(self, table: str, key: str, fields: dict[str, Any] | None) -> None:
        """Write or remove a row of the unnamed part, as others do."""
        value = None if fields is None else json.dumps(fields).encode()
        old = self.rows.get((table, "", key))
        if (table, key) == ("op", "config") and old is not None:
            self._old_configuration = old
        self.version += 1
        self._put({"table": table, "part": "", "key": key}, value)
        self._notify()

    def forget_history(self) -> None:
        """Drop the history; for a while the last configuration is not seen."""
        old = self._old_configuration
        self._stale = self.version if old is None else old["ver"]
        self._lost_until = self.version
        self._stale_until_s = self.deaf_until_s = time.monotonic() + STALE_S
        self._notify()

    def _put(self, key: Row, value: bytes | None) -> None:
        place = key["table"], key.get("part", ""), key["key"]
        row = {"table": place[0], "part": place[1], "key": place[2]}
        row["ver"] = self.version
        if value is None:
            if self.rows.pop(place, None) is not None:
                self.history.append(row | {"tombstone": True})
            return
        row["value"] = base64.b64encode(value).decode()
        self.rows[place] = row
        self.history.append(row)

    def _notify(self) -> None:
        self._changed.set()
        self._changed = asyncio.Event()

    async def handle(self, request: web.BaseRequest) -> web.StreamResponse:
        """Answer one call."""
        body = await request.read()
        await asyncio.sleep(self.delay_s)
        if self.away:
            return web.Response(status=503)
        call = request.path.split("/")[1]
        if call == "rows-tx":
            return self._transact(json.loads(body), request)
        if call == "rows-get":
            return self._read(request.query)
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
            self.rows[place]
            for check in fields.get("expectedRev", ())
            if (place := (check["table"], check.get("part", ""), check["key"]))
            in self.rows
            and self.rows[place]["ver"] != check["ver"]
        ]
        missing = [
            check
            for check in fields.get("expectedRev", ())
            if check["ver"]
            and (check["table"], check.get("part", ""), check["key"]) not in self.rows
        ]
        if stale or missing:
            return web.json_response({"rows": stale, "ver": self.version}, status=412)
        self.version += 1
        for entry in fields.get("setKeys", ()):
            self._put(entry, base64.b64decode(entry["value"]))
        for entry in fields.get("remove", ()):
            self._put(entry, None)
        self._notify()
        if self.random is not None and self.random.random() < self.lose_answers:
            assert request.transport is not None
            request.transport.abort()
        return web.json_response({"ver": self.version})

    def _read(self, query: Any) -> web.StreamResponse:
        low, high = query.get("from", ""), query.get("to", "")
        found = [
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
            found, version = [self._old_configuration], self._stale
        return web.json_response(
            {"rows": found[:500], "ver": version, "hasMore": len(found) > 500}
        )

    async def _feed(self, query: Any) -> web.StreamResponse:
        after = int(query["after"])
        until_s = time.monotonic() + int(query["waitMs"]) / 1000
        while True:
            if after < self._lost_until and after != self._stale:
                return web.json_response({}, status=410)
            news = [r for r in self.history if r["ver"] > after]
            rows = [r for r in news if r["table"] == query["table"]]
            left_s = until_s - time.monotonic()
            if time.monotonic() < self.deaf_until_s:
                if left_s <= 0:
                    return web.json_response({"rows": [], "ver": after})
                await asyncio.sleep(0.1)
                continue
            if rows or left_s <= 0:
                return web.json_response({"rows": rows, "ver": self.version})
            try:
                async with asyncio.timeout(left_s):
                    await self._changed.wait()
            except TimeoutError:
                continue

    def _object(self, call: str, name: str, body: bytes) -> web.StreamResponse:
        if call == "blob-put":
            if name in self.objects:
                return web.Response(status=412)
            self.objects[name] = body
            return web.Response(status=200)
        if call == "blob-get":
            found = self.objects.get(name)
            return web.Response(status=404 if found is None else 200, body=found)
        self.objects.pop(name, None)
        return web.Response(status=200)
