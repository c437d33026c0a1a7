"""The hosts of the fleet and which of them live, from rows that they renew."""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING

import attrs
import xxhash
from returns.result import Failure

from aspenbridge.ports import RowKey
from aspenbridge.store import Changes, decode_record

if TYPE_CHECKING:
    from collections.abc import Callable

    from aspenbridge.ports import Change, Clock, Row
    from aspenbridge.store import Store

logger = logging.getLogger(__name__)
HOSTS_TABLE = "hosts"
BEAT_INTERVAL_S = 1.0
REACHED_S = 2.5  # two and a half beats
SILENCE_LIMIT_S = 3.2  # three beats, and the way of the last one


@attrs.frozen
class HostRecord:
    """One start of a host, and where others reach it."""

    host: str
    incarnation: str
    ip: str
    port: int
    failure_domain: str
    beat: int


@attrs.frozen
class _Seen:
    record: HostRecord
    heard_s: float


class HostTable:
    """The rows of all hosts; a host lives while its row changes."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._seen: dict[str, _Seen] = {}
        self._reported_s: dict[str, float] = {}  # by incarnation
        self.on_gone: Callable[[str], None] = lambda host: None

    def replace(self, rows: tuple[Row, ...]) -> None:
        """Take in the whole table."""
        records = [decode_record(row.value, HostRecord) for row in rows]
        for host in self._seen.keys() - {record.host for record in records}:
            self._remove(host)
        for record in records:
            self._take(record)

    def change(self, change: Change) -> None:
        """Take in one change of the table."""
        if change.value is None:
            self._remove(change.key.key)
        else:
            self._take(decode_record(change.value, HostRecord))

    def hear(self, incarnation: str, beat_age_s: float) -> None:
        """
        Note when a host renewed its row, as the host says itself.

        A feed may be silent for seconds without an error.
        """
        beat_s = self._clock.now_s() - beat_age_s
        known_s = self._reported_s.get(incarnation, beat_s)
        self._reported_s[incarnation] = max(known_s, beat_s)

    def store_returned(self) -> None:
        """Give every host the time to renew its row again."""
        now_s = self._clock.now_s()
        self._seen = {
            host: attrs.evolve(seen, heard_s=now_s) for host, seen in self._seen.items()
        }

    def live(self) -> list[HostRecord]:
        """Return the listed hosts that were heard of in time."""
        records = (seen.record for seen in self._seen.values())
        return [record for record in records if self.lives(record.incarnation)]

    def lives(self, incarnation: str) -> bool:
        """Whether an incarnation renewed its row or reported in time."""
        oldest_s = self._clock.now_s() - SILENCE_LIMIT_S
        if self._reported_s.get(incarnation, oldest_s - 1) >= oldest_s:
            return True
        return any(
            seen.record.incarnation == incarnation and seen.heard_s >= oldest_s
            for seen in self._seen.values()
        )

    def known(self) -> int:
        """Return how many hosts are listed, living or not."""
        return len(self._seen)

    def any_reported(self) -> bool:
        """Whether another host has said lately that it reaches the store."""
        oldest_s = self._clock.now_s() - REACHED_S
        return any(heard_s >= oldest_s for heard_s in self._reported_s.values())

    def _take(self, record: HostRecord) -> None:
        known = self._seen.get(record.host)
        if known is not None and known.record.incarnation != record.incarnation:
            self._remove(record.host)
        if known is None or known.record != record:
            self._seen[record.host] = _Seen(record, self._clock.now_s())

    def _remove(self, host: str) -> None:
        seen = self._seen.pop(host, None)
        if seen is not None:
            self._reported_s.pop(seen.record.incarnation, None)
            self.on_gone(seen.record.incarnation)


class Heartbeat:
    """Renews this host's row while the host runs."""

    def __init__(self, store: Store, clock: Clock, record: HostRecord) -> None:
        self._store = store
        self._clock = clock
        self._record = record
        self._key = RowKey(HOSTS_TABLE, record.host)
        self._written_s = float("-inf")

    @property
    def age_s(self) -> float:
        """How long ago the row was written last."""
        return self._clock.now_s() - self._written_s

    async def run(self) -> None:
        """Renew the row until cancelled."""
        while True:
            due_s = self._clock.now_s() + BEAT_INTERVAL_S
            self._record = attrs.evolve(self._record, beat=self._record.beat + 1)
            written = await self._store.commit(
                Changes().put(self._key, self._record), deadline_s=due_s
            )
            if isinstance(written, Failure):
                logger.debug("heartbeat was not written: %s", written.failure())
            else:
                self._written_s = self._clock.now_s()
            await self._clock.sleep_until(due_s)

    async def leave(self, deadline_s: float) -> None:
        """Remove the row, so that other hosts take over at once."""
        removed = await self._store.commit(
            Changes().delete(self._key), deadline_s=deadline_s
        )
        if isinstance(removed, Failure):
            logger.warning("host row was not removed: %s", removed.failure())


def rank(host: str, subject: str) -> int:
    """Return a host's place in the order for a subject, lowest first."""
    return xxhash.xxh64_intdigest(f"{host}\0{subject}".encode())
