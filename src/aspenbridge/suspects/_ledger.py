"""Durable rows of suspected requests and of their isolated runs."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs
import xxhash
from returns.result import Failure, Result, Success

from aspenbridge.membership import LIVE, HostRecord, host_key
from aspenbridge.ports import Conflict, RowKey, Unavailable
from aspenbridge.quarantine import QUARANTINE_CRASHES
from aspenbridge.store import Changes

if TYPE_CHECKING:
    from collections.abc import Callable

    from aspenbridge.membership import Identity
    from aspenbridge.ports import Clock
    from aspenbridge.store import Store, Stored
    from aspenbridge.work import Work

SAME_CRASH_WINDOW_S = 1.0  # crashes of one engine within it count as one crash
MAX_COMMIT_ATTEMPTS = 10
SUSPECTS_TABLE = "suspects"
ISOLATED_RUNS_TABLE = "trials"


@attrs.frozen
class SuspectRecord:
    """
    Row of a request that was running when an engine crashed.

    ``engine`` and ``at_wall_s`` are those of the last counted crash.
    """

    fingerprint: str
    customer: str
    crashes: int
    engine: str
    at_wall_s: float

    @property
    def quarantined(self) -> bool:
        """Whether the request must not run again."""
        return self.crashes >= QUARANTINE_CRASHES


@attrs.frozen
class IsolatedRunRecord:
    """Row of an isolated run, with the incarnation that runs the suspect."""

    owner: str
    fingerprint: str


def fingerprint(work: Work) -> str:
    """
    Return the hash that identifies a request and all of its resends.

    Resends under other idempotency keys have the same fingerprint.
    """
    parts = (work.customer, work.model, work.adapter or "", work.prompt)
    return xxhash.xxh3_128_hexdigest("\0".join(parts).encode())


class SuspectLedger:
    """Reads and writes the rows of suspects and isolated runs."""

    def __init__(
        self, identity: Callable[[], Identity], store: Store, clock: Clock
    ) -> None:
        self._identity = identity
        self._store = store
        self._clock = clock

    async def all(self) -> Result[tuple[SuspectRecord, ...], Unavailable]:
        """Return all suspects."""
        scanned = await self._store.scan(SUSPECTS_TABLE, "", SuspectRecord)
        return scanned.map(lambda rows: tuple(row.record for row in rows))

    async def record_crash(
        self, work: Work, engine: str, known_crashes: int
    ) -> Result[SuspectRecord, Unavailable]:
        """
        Count a crash of an engine that was running the request.

        If several copies of a request run on one engine, its crash counts
        once.

        :param known_crashes: the number of crashes known to this host; the
            new count is at least one higher.
        :return: the stored row, or a failure if the store is unavailable or
            the row kept changing.
        """
        digest = fingerprint(work)
        key = RowKey(SUSPECTS_TABLE, digest)
        for _ in range(MAX_COMMIT_ATTEMPTS):
            read = await self._store.get(key, SuspectRecord)
            if isinstance(read, Failure):
                return read
            stored = read.unwrap()
            now_s = self._clock.wall_s()
            if stored is not None and _same_crash(stored.record, engine, now_s):
                return Success(stored.record)
            crashes = max(known_crashes, stored.record.crashes if stored else 0) + 1
            record = SuspectRecord(digest, work.customer, crashes, engine, now_s)
            changes = Changes().check(key, stored.version if stored else 0)
            result = await self._store.commit(changes.put(key, record))
            if isinstance(result, Success):
                return Success(record)
            error = result.failure()
            if isinstance(error, Unavailable):
                return Failure(error)
        return Failure(Unavailable("the row of the suspect kept changing", False))

    async def clear(self, digest: str) -> bool:
        """
        Delete the row of a suspect that has completed, unless quarantined.

        :return: False if the store was unavailable or the row has changed.
        """
        key = RowKey(SUSPECTS_TABLE, digest)
        read = await self._store.get(key, SuspectRecord)
        if isinstance(read, Failure):
            return False
        stored = read.unwrap()
        if stored is None or stored.record.quarantined:
            return True
        result = await self._store.commit(Changes().unchanged(stored).delete(key))
        return isinstance(result, Success)

    async def release(self, digest: str) -> bool:
        """
        Delete the row of a suspect, quarantined or not, for an operator.

        :return: whether the row is gone; False if the store was unavailable.
        """
        changes = Changes().delete(RowKey(SUSPECTS_TABLE, digest))
        return isinstance(await self._store.commit(changes), Success)

    async def begin_isolated_run(
        self, digest: str, engine: str
    ) -> Result[None, Unavailable]:
        """
        Claim the isolated run of a suspect on an engine.

        :return: a failure with ``maybe_applied`` set if another suspect runs
            on the engine or another copy of the request runs elsewhere; any
            other failure means that the store is unavailable.
        """
        own = self._identity()
        changes = own.guard(Changes())
        record = IsolatedRunRecord(own.incarnation, digest)
        for key in _isolated_run_keys(digest, engine):
            read = await self._store.get(key, IsolatedRunRecord)
            if isinstance(read, Failure):
                return read
            stored = read.unwrap()
            if stored is not None and await self._is_held(stored):
                return Failure(Unavailable("another isolated run is in progress", True))
            changes.check(key, stored.version if stored else 0).put(key, record)
        result = await self._store.commit(changes)
        if isinstance(result, Success):
            return Success(None)
        error = result.failure()
        if isinstance(error, Conflict):
            return Failure(Unavailable("another isolated run is in progress", True))
        return Failure(attrs.evolve(error, maybe_applied=False))

    async def end_isolated_run(self, digest: str, engine: str) -> bool:
        """Delete the rows of an isolated run that this host owns."""
        own = self._identity().incarnation
        changes = Changes()
        for key in _isolated_run_keys(digest, engine):
            read = await self._store.get(key, IsolatedRunRecord)
            if isinstance(read, Failure):
                return False
            stored = read.unwrap()
            if stored is not None and stored.record == IsolatedRunRecord(own, digest):
                changes.unchanged(stored).delete(key)
        if not changes.rows:
            return True
        return isinstance(await self._store.commit(changes), Success)

    async def _is_held(self, stored: Stored[IsolatedRunRecord]) -> bool:
        """Return whether the owner of an isolated run is live, or may be."""
        owner = stored.record.owner
        if owner == self._identity().incarnation:
            return True
        read = await self._store.get(host_key(owner), HostRecord)
        if isinstance(read, Failure):
            return True
        host = read.unwrap()
        return host is not None and host.record.state == LIVE


def _same_crash(record: SuspectRecord, engine: str, now_s: float) -> bool:
    return record.engine == engine and now_s - record.at_wall_s < SAME_CRASH_WINDOW_S


def _isolated_run_keys(digest: str, engine: str) -> tuple[RowKey, RowKey]:
    return (
        RowKey(ISOLATED_RUNS_TABLE, f"engine/{engine}"),
        RowKey(ISOLATED_RUNS_TABLE, f"of/{digest}"),
    )
