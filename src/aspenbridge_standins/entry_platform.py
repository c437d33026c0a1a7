"""
What an entry host meets on the platform: the store, an engine and peers.

They run in the process of a measurement, which turns them on one by one.
"""

from __future__ import annotations

import asyncio
import base64
import bisect
import math
import random
import time
from collections import Counter, defaultdict
from typing import TYPE_CHECKING, Any

import attrs
import msgspec
from aiohttp import web

from aspenbridge.fleet import HOSTS_TABLE, HostRecord
from aspenbridge.fleet._exchange import (
    MAX_HOLD_S,
    MAX_PASSED_ON_BYTES,
    LoadReport,
    PassedOnReport,
)
from aspenbridge.fleet._fanout import (
    COPIES,
    DIRECT_PEERS,
    direct_interval_s,
    plan_fanout,
)
from aspenbridge.jobs import HEADS_TABLE
from aspenbridge.jobs._records import JobHead, JobState
from aspenbridge.platform import _names as names
from aspenbridge.store import encode_record
from aspenbridge.store._records import TOKEN_BYTES

if TYPE_CHECKING:
    from collections.abc import Iterable, Mapping

STORE_DELAY_S = 0.003
KEPT_CHANGES = 2000  # of each table
HEARTBEAT_S = 1.0
TICK_S = 0.01
DOMAINS = 3
ENGINES_IN_REPORT = 4
PASSED_ON_AGE_S = 0.1
PASSED_ON_BYTES = 112  # of a report with so many engines
OPEN_JOBS = 40
JOB_ITEMS = 10
JOB_LIFETIME_S = 60.0
EVENTS = 20
EVENT_INTERVAL_S = 0.02

Fields = dict[str, Any]
Load = tuple[str, int, list[tuple[str, int, int]], int, float, float]


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
    engines: list[tuple[str, int, int]] = attrs.field(factory=list)
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
    :ivar heads_per_s: how often the heads of their batch jobs change.
    :ivar traffic: the reports that the measured host receives.
    :ivar counts: datagrams and bytes sent to and by the measured host.
    """

    store: EntryStore
    target: tuple[str, int]
    engine_ids: list[str]
    renewing: bool = False
    heads_per_s: float = 0.0
    traffic: Traffic = attrs.field(factory=lambda: Traffic(0.0, 0.0))
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
                failure_domain=f"domain-{number % DOMAINS}",
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
        rows_due = heads_due = reports_due = 0.0
        row_number = head_number = 0
        while True:
            await asyncio.sleep(TICK_S)
            now_s = time.monotonic()
            elapsed_s, last_s = now_s - last_s, now_s
            rows_due += self.renewing * len(self._peers) * elapsed_s / HEARTBEAT_S
            heads_due += self.heads_per_s * elapsed_s
            reports_due += self.traffic.messages_per_s * elapsed_s
            while rows_due >= 1:
                rows_due -= 1
                row_number += 1
                self._renew(self._peers[row_number % len(self._peers)])
            while heads_due >= 1:
                heads_due -= 1
                head_number += 1
                self._list_result(head_number % OPEN_JOBS)
            while reports_due >= 1:
                reports_due -= 1
                self._report(self.traffic)

    def _renew(self, peer: _Peer) -> None:
        peer.record = attrs.evolve(peer.record, beat=peer.record.beat + 1)
        row = encode_record(peer.record, bytes(TOKEN_BYTES))
        self.store.write(HOSTS_TABLE, peer.record.host, row)

    def _list_result(self, number: int) -> None:
        """Change the head of a job as its owner does to list a result."""
        peer = self._peers[number % len(self._peers)]
        now_s = time.time()
        head = JobHead(
            id=f"job-{number:012x}",
            host="a.example",
            owner=peer.record.incarnation,
            state=JobState.OPEN,
            total=JOB_ITEMS,
            accepted_wall_s=now_s,
            due_wall_s=now_s + JOB_LIFETIME_S,
            expires_wall_s=now_s + JOB_LIFETIME_S,
            listed=tuple(range(JOB_ITEMS // 2)),
        )
        self.store.write(HEADS_TABLE, head.id, encode_record(head, bytes(TOKEN_BYTES)))

    def _report(self, traffic: Traffic) -> None:
        """Send one report, as a near host does or as one of another domain."""
        peer, near = self._random.choice(self._peers), self._random.random()
        report = LoadReport(*self._load(peer, traffic))
        if near < traffic.near_share:
            others = self._random.choices(self._peers, k=traffic.passed_on)
            passed_on = [
                PassedOnReport(*self._load(other, traffic), PASSED_ON_AGE_S)
                for other in others
            ]
            report = msgspec.structs.replace(report, passed_on=tuple(passed_on))
        data = msgspec.msgpack.encode(report)
        self.counts["received"] += 1
        self.counts["received_bytes"] += len(data)
        peer.transport.sendto(data, self.target)

    def _load(self, peer: _Peer, traffic: Traffic) -> Load:
        """Return a peer's report; it makes a new one at its usual rate."""
        sequence = 1 + int(time.monotonic() * traffic.reports_per_s)
        if sequence > peer.sequence or traffic.passed_on == 0:
            peer.sequence = max(sequence, peer.sequence + 1)
            sample = self._random.sample(self.engine_ids, ENGINES_IN_REPORT)
            peer.engines = [(engine, 1, 0) for engine in sample]
        return peer.record.incarnation, peer.sequence, peer.engines, 0, 0.0, 0.5


@attrs.frozen
class Traffic:
    """
    The reports that one host receives.

    :ivar reports_per_s: how many reports each other host makes in a second.
    :ivar near_share: the share of messages from the own failure domain.
    :ivar passed_on: the reports of other hosts in each of these.
    """

    messages_per_s: float
    reports_per_s: float
    near_share: float = 0.0
    passed_on: int = 0


def traffic(peers: int, changes_per_s: float) -> Traffic:
    """
    Return what a host receives in a fleet.

    :param peers: the number of other hosts.
    :param changes_per_s: how often the load of each of them changes.
    """
    if not changes_per_s:
        return Traffic(0.0, 0.0)
    if peers <= DIRECT_PEERS:
        interval_s = direct_interval_s(peers)
        rate = min(changes_per_s, 1 / interval_s if interval_s else changes_per_s)
        return Traffic(peers * rate, rate)
    fanout = plan_fanout(peers + 1, DOMAINS)
    rate = min(changes_per_s, 1 / fanout.interval_s)
    near_per_s = fanout.near * max(rate, 1 / MAX_HOLD_S)
    far_per_s = fanout.far * (DOMAINS - 1) * rate
    most = MAX_PASSED_ON_BYTES // PASSED_ON_BYTES
    passed_on = min(most, math.ceil(COPIES * peers * rate / near_per_s))
    messages_per_s = near_per_s + far_per_s
    return Traffic(messages_per_s, rate, near_per_s / messages_per_s, passed_on)


def engine_rows(
    engine_ids: Iterable[str], address: str, failure_domain: str, service: str
) -> dict[str, bytes]:
    """Return the rows by which engines register, by engine id."""
    row = {
        "born": 1,
        "service": service,
        "addr": address,
        "zone": failure_domain,
        "version": "v1",
        "slots": 8,
        "state": "ready",
        "coldLeftMs": 0,
        "seq": 0,
    }
    return {engine_id: msgspec.json.encode(row) for engine_id in engine_ids}


def _reply(fields: Fields) -> web.Response:
    return web.Response(
        body=msgspec.json.encode(fields), content_type="application/json"
    )
