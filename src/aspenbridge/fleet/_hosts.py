"""The hosts of the fleet; those that renew their rows are live."""

from __future__ import annotations

import asyncio
import logging
from ipaddress import IPv4Address
from typing import TYPE_CHECKING

import attrs
import xxhash
from returns.result import Failure

from aspenbridge.ports import RowKey
from aspenbridge.store import Changes, readable_record

if TYPE_CHECKING:
    from collections.abc import Callable

    from aspenbridge.ports import Clock, Row, RowChange
    from aspenbridge.store import Store

logger = logging.getLogger(__name__)
HOSTS_TABLE = "hosts"
HEARTBEAT_INTERVAL_S = 1.0
# The number of parts of the table; a part is a partition in the store, which
# takes 200 writes a second. More parts carry more hosts, but a host reads each
# part once when it starts.
PARTS = 8
# Between two reads of the renewals of all hosts, so that the reads of a host
# don't grow with their number. A lost host is noticed up to this much later.
READ_INTERVAL_S = 0.5
# A host that renewed its row within this time, two and a half heartbeats,
# reaches the store.
STORE_REACHED_S = 2.5
MAX_REPORTED_HOSTS = 4_000  # above it, reports too old to count are dropped
LIVENESS_TIMEOUT_S = 3.2  # three heartbeats, and the delivery of the last one


@attrs.frozen
class HostRecord:
    """
    One incarnation of a host and the address for its peers.

    ``stopping`` is set once the host releases its jobs; it claims none.

    :raises ValueError: when nothing can be sent to the address.
    """

    host: str
    incarnation: str
    ip: str
    port: int
    failure_domain: str
    beat: int  # counts the heartbeats
    stopping: bool = False

    def __attrs_post_init__(self) -> None:
        IPv4Address(self.ip)
        if not 0 < self.port < 2**16:
            raise ValueError(f"port {self.port} is out of range")


@attrs.frozen
class _ListedHost:
    record: HostRecord
    received_s: float  # when the row last changed, or the last outage ended


class HostTable:
    """The rows of all hosts; a host is live while its row keeps changing."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._listed: dict[str, _ListedHost] = {}  # by host
        self._host_names: dict[str, str] = {}  # of the listed hosts, by incarnation
        # The last renewal that each host reported itself, by incarnation.
        self._reported_s: dict[str, float] = {}
        self.on_removed: Callable[[str], None] = lambda incarnation: None

    def replace(self, rows: tuple[Row, ...]) -> None:
        """Replace all rows; those that can't be read change nothing."""
        for host in self._listed.keys() - {row.key.key for row in rows}:
            self._remove(host)
        for row in rows:
            self._apply_row(row.key, row.value)

    def apply_change(self, change: RowChange) -> None:
        """Apply one change of the table."""
        if change.value is None:
            self._remove(change.key.key)
        else:
            self._apply_row(change.key, change.value)

    def record_heartbeat(self, incarnation: str, age_s: float) -> None:
        """
        Record how long ago a host renewed its row, by the host's own report.

        The report is needed because a feed may deliver nothing for seconds
        without an error.
        """
        if len(self._reported_s) >= MAX_REPORTED_HOSTS:
            self._drop_old_reports()
        heartbeat_s = self._clock.now_s() - age_s
        previous_s = self._reported_s.get(incarnation, heartbeat_s)
        self._reported_s[incarnation] = max(previous_s, heartbeat_s)

    def _drop_old_reports(self) -> None:
        oldest_s = self._clock.now_s() - LIVENESS_TIMEOUT_S
        self._reported_s = {
            incarnation: renewed_s
            for incarnation, renewed_s in self._reported_s.items()
            if renewed_s >= oldest_s
        }

    def store_recovered(self) -> None:
        """Give every listed host time to renew its row after an outage."""
        now_s = self._clock.now_s()
        self._listed = {
            host: attrs.evolve(listed, received_s=now_s)
            for host, listed in self._listed.items()
        }

    def live(self) -> list[HostRecord]:
        """Return the listed hosts that are live."""
        return [r for r in self.listed() if self.is_live(r.incarnation)]

    def live_names(self) -> list[str]:
        """Return the names of the live hosts that take over work."""
        return [record.host for record in self.live() if not record.stopping]

    def listed(self) -> list[HostRecord]:
        """Return the listed hosts, live or not."""
        return [listed.record for listed in self._listed.values()]

    def is_live(self, incarnation: str) -> bool:
        """Whether an incarnation renewed its row, or reported so, in time."""
        oldest_s = self._clock.now_s() - LIVENESS_TIMEOUT_S
        if self._reported_s.get(incarnation, oldest_s - 1) >= oldest_s:
            return True
        listed = self._listed.get(self._host_names.get(incarnation, ""))
        return listed is not None and listed.received_s >= oldest_s

    def listed_count(self) -> int:
        """
        Return the number of listed hosts, live or not.

        This host counts as well, once its row is listed.
        """
        return len(self._listed)

    def any_peer_reached_store(self) -> bool:
        """Whether another host reported a recent renewal of its row."""
        oldest_s = self._clock.now_s() - STORE_REACHED_S
        return any(renewed_s >= oldest_s for renewed_s in self._reported_s.values())

    def _apply_row(self, key: RowKey, value: bytes) -> None:
        record = readable_record(key, value, HostRecord)
        if record is None or record.host != key.key:
            return
        listed = self._listed.get(record.host)
        if listed is not None and listed.record.incarnation != record.incarnation:
            self._remove(record.host)
        if listed is None or listed.record != record:
            self._listed[record.host] = _ListedHost(record, self._clock.now_s())
            self._host_names[record.incarnation] = record.host

    def _remove(self, host: str) -> None:
        listed = self._listed.pop(host, None)
        if listed is not None:
            self._host_names.pop(listed.record.incarnation, None)
            self._reported_s.pop(listed.record.incarnation, None)
            self.on_removed(listed.record.incarnation)


class Heartbeat:
    """Renews this host's row in the table of hosts."""

    def __init__(self, store: Store, clock: Clock, record: HostRecord) -> None:
        self._store = store
        self._clock = clock
        self._record = record
        self._key = host_key(record.host)
        self._written_s = float("-inf")
        self._writing = asyncio.Lock()
        self._left = False

    @property
    def age_s(self) -> float:
        """The time since the row was last written."""
        return self._clock.now_s() - self._written_s

    async def run(self) -> None:
        """Renew the row until cancelled; not any more once this host left."""
        while True:
            due_s = self._clock.now_s() + HEARTBEAT_INTERVAL_S
            async with self._writing:
                if not self._left:
                    await self._renew(due_s)
            await self._clock.sleep_until(due_s)

    async def _renew(self, deadline_s: float) -> None:
        self._record = attrs.evolve(self._record, beat=self._record.beat + 1)
        written = await self._store.commit(
            Changes().put(self._key, self._record), deadline_s=deadline_s
        )
        if isinstance(written, Failure):
            logger.debug("heartbeat was not written: %s", written.failure())
        else:
            self._written_s = self._clock.now_s()

    async def tell_stopping(self, deadline_s: float) -> None:
        """Have the other hosts leave this one out when they share out work."""
        async with self._writing:
            self._record = attrs.evolve(self._record, stopping=True)
            if not self._left:
                await self._renew(deadline_s)

    async def leave(self, deadline_s: float) -> None:
        """Remove the row for good, so that other hosts take over at once."""
        self._left = True
        async with self._writing:  # a renewal in progress would undo the removal
            removed = await self._store.commit(
                Changes().delete(self._key), deadline_s=deadline_s
            )
        if isinstance(removed, Failure):
            logger.warning("host row was not removed: %s", removed.failure())


def host_key(host: str) -> RowKey:
    """Return the key of a host's row, in the part that a hash gives it."""
    part = f"p{xxhash.xxh32_intdigest(host.encode()) % PARTS}"
    return RowKey(HOSTS_TABLE, host, part)


def rank(host: str, subject: str) -> int:
    """
    Return a host's rank for a subject, by rendezvous hashing.

    The host with the lowest rank comes first.
    """
    return xxhash.xxh64_intdigest(f"{host}\0{subject}".encode())
