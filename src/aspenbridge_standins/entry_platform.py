"""
What an entry host meets on the platform: the store, an engine and peers.

They run in the process of a measurement, which turns them on one by one.
"""

from __future__ import annotations

import asyncio
import base64
import bisect
import random
import time
from collections import Counter, defaultdict
from typing import TYPE_CHECKING, Any

import attrs
import msgspec
from aiohttp import web

from aspenbridge.fleet import HOSTS_TABLE, HostRecord
from aspenbridge.fleet._exchange import LoadReport
from aspenbridge.platform import _names as names
from aspenbridge.store import encode_record
from aspenbridge.store._records import TOKEN_BYTES

if TYPE_CHECKING:
    from collections.abc import Iterable, Mapping

STORE_DELAY_S = 0.003
KEPT_CHANGES = 2000  # of each table
HEARTBEAT_S = 1.0
TICK_S = 0.01
ENGINES_IN_REPORT = 4
EVENTS = 20
EVENT_INTERVAL_S = 0.02

Fields = dict[str, Any]


class EntryStore:
    """An in-memory store that is always available; it counts its calls."""

    def __init__(self) -> None:
        self.calls: Counter[str] = Counter()  # by path and table
        self._version = 0
        self._rows: dict[tuple[str, str], dict[str, Fields]] = defaultdict(dict)
        self._changes: dict[str, list[Fields]] = defaultdict(list)
        self._waiting: dict[str, asyncio.Event] = defaultdict(asyncio.Event)

    def write(self, table: str, key: str, value: bytes) -> None:
        """Write a row of the unnamed part."""
        self._version += 1
        self._write({"table": table, "part": "", "key": key}, value)

    def _write(self, key: Mapping[str, Any], value: bytes | None) -> None:
        table, part = key["table"], key.get("part", "")
        row = {"table": table, "part": part, "key": key["key"], "ver": self._version}
        if value is None:
            self._rows[table, part].pop(key["key"], None)
            row["tombstone"] = True
        else:
            row["value"] = base64.b64encode(value).decode()
            self._rows[table, part][key["key"]] = row
        changes = self._changes[table]
        changes.append(row)
        if len(changes) > 2 * KEPT_CHANGES:
            del changes[:-KEPT_CHANGES]
        self._waiting.pop(table, asyncio.Event()).set()

    async def handle(self, request: web.BaseRequest) -> web.StreamResponse:
        """Answer one call of a store client."""
        body = await request.read()
        query = request.query
        self.calls[f"{request.path} {query.get('table', '')}".strip()] += 1
        await asyncio.sleep(STORE_DELAY_S)
        if request.path == names.TRANSACT_PATH:
            return self._transact(msgspec.json.decode(body))
        if request.path == names.CHANGES_PATH:
            return await self._feed(
                query["table"], int(query["after"]), int(query["waitMs"]) / 1000
            )
        if request.path == names.PARTS_PATH:
            return _reply({"parts": [], "hasMore": False})
        rows = self._rows[query["table"], query.get("part", "")]
        return _reply(
            {"rows": list(rows.values()), "ver": self._version, "hasMore": False}
        )

    def _transact(self, fields: Fields) -> web.Response:
        self._version += 1
        for entry in fields.get("setKeys", ()):
            self._write(entry, base64.b64decode(entry["value"]))
        for entry in fields.get("remove", ()):
            self._write(entry, None)
        return _reply({"ver": self._version})

    async def _feed(self, table: str, after: int, wait_s: float) -> web.Response:
        try:
            async with asyncio.timeout(wait_s):
                while not (rows := self._changes_after(table, after)):
                    await self._waiting[table].wait()
        except TimeoutError:
            rows = []
        return _reply({"rows": rows, "ver": self._version})

    def _changes_after(self, table: str, version: int) -> list[Fields]:
        changes = self._changes[table]
        first = bisect.bisect_right(changes, version, key=lambda row: row["ver"])
        return changes[first:]


async def stream_events(request: web.BaseRequest) -> web.StreamResponse:
    """Answer as an engine, with a stream of ``EVENTS`` events."""
    await request.read()
    response = web.StreamResponse(
        headers={
            names.REQUEST_ID: request.headers.get(names.REQUEST_ID, ""),
            names.SERVER_STAMP: "s",
            "Content-Type": "text/event-stream",
        }
    )
    response.enable_chunked_encoding()
    await response.prepare(request)
    for number in range(EVENTS):
        await response.write(f"id: {number}\ndata: word\n\n".encode())
        await asyncio.sleep(EVENT_INTERVAL_S)
    return response


@attrs.define
class _Peer(asyncio.DatagramProtocol):
    """The socket and the row of one other host."""

    record: HostRecord
    counts: Counter[str]
    sequence: int = 0
    transport: asyncio.DatagramTransport = attrs.field(init=False)

    def connection_made(self, transport: Any) -> None:
        self.transport = transport

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        self.counts["sent"] += 1
        self.counts["sent_bytes"] += len(data)


@attrs.define
class Peers:
    """
    The other hosts: they renew their rows and report their load to one host.

    :ivar renewing: whether they renew their rows each second.
    :ivar reports_per_s: how many reports each of them makes in a second.
    :ivar counts: datagrams and bytes sent to and by the measured host.
    """

    store: EntryStore
    target: tuple[str, int]
    engine_ids: list[str]
    renewing: bool = False
    reports_per_s: float = 0.0
    counts: Counter[str] = attrs.field(factory=Counter)
    _peers: list[_Peer] = attrs.field(factory=list)
    _random: random.Random = attrs.field(factory=lambda: random.Random(1))

    async def open(self, count: int, first_port: int) -> None:
        """Bind the sockets of the peers and list the peers in the store."""
        loop = asyncio.get_running_loop()
        for number in range(count):
            ip, port = f"127.0.{1 + number // 250}.{1 + number % 250}", first_port
            record = HostRecord(
                host=f"host-{number:03}",
                incarnation=f"host-{number:03}-{number:012x}",
                ip=ip,
                port=port,
                failure_domain=f"domain-{number % 3}",
                beat=0,
            )
            peer = _Peer(record, self.counts)
            await loop.create_datagram_endpoint(
                lambda peer=peer: peer,  # type: ignore[misc]
                local_addr=(ip, port),
            )
            self._peers.append(peer)
            self._renew(peer)

    def close(self) -> None:
        """Close the sockets."""
        for peer in self._peers:
            peer.transport.close()

    async def run(self) -> None:
        """Renew rows and send reports, spread over time, until cancelled."""
        last_s = time.monotonic()
        rows_due = reports_due = 0.0
        row_number = 0
        while True:
            await asyncio.sleep(TICK_S)
            now_s = time.monotonic()
            elapsed_s, last_s = now_s - last_s, now_s
            rows_due += self.renewing * len(self._peers) * elapsed_s / HEARTBEAT_S
            reports_due += self.reports_per_s * len(self._peers) * elapsed_s
            while rows_due >= 1:
                rows_due -= 1
                row_number += 1
                self._renew(self._peers[row_number % len(self._peers)])
            while reports_due >= 1:
                reports_due -= 1
                self._report(self._random.choice(self._peers))

    def _renew(self, peer: _Peer) -> None:
        peer.record = attrs.evolve(peer.record, beat=peer.record.beat + 1)
        row = encode_record(peer.record, bytes(TOKEN_BYTES))
        self.store.write(HOSTS_TABLE, peer.record.host, row)

    def _report(self, peer: _Peer) -> None:
        peer.sequence += 1
        engines = self._random.sample(self.engine_ids, ENGINES_IN_REPORT)
        report = LoadReport(
            peer.record.incarnation,
            peer.sequence,
            [(engine, 1, 0) for engine in engines],
            0,
            0.0,
            0.5,
        )
        data = msgspec.msgpack.encode(report)
        self.counts["received"] += 1
        self.counts["received_bytes"] += len(data)
        peer.transport.sendto(data, self.target)


def engine_rows(
    engine_ids: Iterable[str], address: str, failure_domain: str, service: str
) -> dict[str, bytes]:
    """Return the rows by which engines register, by engine id."""
    row = {
        "born": 1,
        "service": service,
        "addr": address,
        "zone": failure_domain,
        "slots": 8,
        "state": "ready",
        "coldLeftMs": 0,
    }
    return {engine_id: msgspec.json.encode(row) for engine_id in engine_ids}


def _reply(fields: Fields) -> web.Response:
    return web.Response(
        body=msgspec.json.encode(fields), content_type="application/json"
    )
