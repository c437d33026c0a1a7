"""The durable rows of suspected requests and of their lone runs."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs
import xxhash
from returns.result import Failure, Result, Success

from aspenbridge.membership import LIVE, HostRecord, host_key
from aspenbridge.ports import Conflict, RowKey, Unavailable
from aspenbridge.store import Changes

if TYPE_CHECKING:
    from collections.abc import Callable

    from aspenbridge.membership import Identity
    from aspenbridge.ports import Clock
    from aspenbridge.store import Store, Stored
    from aspenbridge.work import Work

CONVICTING_CRASHES = 3
SAME_CRASH_S = 1.0
RECORD_ATTEMPTS = 10
SUSPECTS_TABLE = "suspects"
TRIALS_TABLE = "trials"


@attrs.frozen
class SuspectRecord:
    """A request that ran on an engine when it crashed."""

    fingerprint: str
    customer: str
    crashes: int
    engine: str
    at_wall_s: float

    @property
    def convicted(self) -> bool:
        """Whether it may not run again."""
        return self.crashes >= CONVICTING_CRASHES


@attrs.frozen
class TrialRecord:
    """The incarnation that runs one suspect alone."""

    owner: str
    fingerprint: str


def fingerprint(work: Work) -> str:
    """Return what the resends of a request share, whatever their keys."""
    parts = (work.customer, work.model, work.adapter or "", work.prompt)
    return xxhash.xxh3_128_hexdigest("\0".join(parts).encode())


class SuspectLedger:
    """The transactions on suspects."""

    def __init__(
        self, identity: Callable[[], Identity], store: Store, clock: Clock
    ) -> None:
        self._identity = identity
        self._store = store
        self._clock = clock

    async def all(self) -> Result[tuple[SuspectRecord, ...], Unavailable]:
        """Return every suspect."""
        scanned = await self._store.scan(SUSPECTS_TABLE, "", SuspectRecord)
        return scanned.map(lambda rows: tuple(row.record for row in rows))

    async def crashed(
        self, work: Work, engine: str, known: int
    ) -> Result[SuspectRecord, Unavailable]:
        """
        Count one crash of an engine that ran the request.

        Copies of a request that run on one engine crash it once.

        :param known: the crashes that this host knows of.
        """
        mark = fingerprint(work)
        key = RowKey(SUSPECTS_TABLE, mark)
        for _ in range(RECORD_ATTEMPTS):
            read = await self._store.get(key, SuspectRecord)
            if isinstance(read, Failure):
                return read
            stored = read.unwrap()
            now_s = self._clock.wall_s()
            if stored is not None and _same_crash(stored.record, engine, now_s):
                return Success(stored.record)
            crashes = max(known, stored.record.crashes if stored else 0) + 1
            record = SuspectRecord(mark, work.customer, crashes, engine, now_s)
            changes = Changes().check(key, stored.version if stored else 0)
            result = await self._store.commit(changes.put(key, record))
            if isinstance(result, Success):
                return Success(record)
            error = result.failure()
            if isinstance(error, Unavailable):
                return Failure(error)
        return Failure(Unavailable("the suspect's row kept changing", False))

    async def clear(self, mark: str) -> bool:
        """Remove a suspect that has completed, unless it is convicted."""
        key = RowKey(SUSPECTS_TABLE, mark)
        read = await self._store.get(key, SuspectRecord)
        if isinstance(read, Failure):
            return False
        stored = read.unwrap()
        if stored is None or stored.record.convicted:
            return True
        result = await self._store.commit(Changes().unchanged(stored).delete(key))
        return isinstance(result, Success)

    async def pardon(self, mark: str) -> bool:
        """Remove a suspect, convicted or not, for an operator."""
        changes = Changes().delete(RowKey(SUSPECTS_TABLE, mark))
        return isinstance(await self._store.commit(changes), Success)

    async def begin_trial(self, mark: str, engine: str) -> Result[None, Unavailable]:
        """
        Claim the lone run of a suspect on an engine.

        :return: a failure that may be applied when another suspect runs there
            or another copy runs elsewhere; any other when the store is down.
        """
        own = self._identity()
        changes = own.guard(Changes())
        record = TrialRecord(own.incarnation, mark)
        for key in _trial_keys(mark, engine):
            read = await self._store.get(key, TrialRecord)
            if isinstance(read, Failure):
                return read
            stored = read.unwrap()
            if stored is not None and await self._is_held(stored):
                return Failure(Unavailable("another suspect runs", True))
            changes.check(key, stored.version if stored else 0).put(key, record)
        result = await self._store.commit(changes)
        if isinstance(result, Success):
            return Success(None)
        error = result.failure()
        if isinstance(error, Conflict):
            return Failure(Unavailable("another suspect runs", True))
        return Failure(attrs.evolve(error, maybe_applied=False))

    async def end_trial(self, mark: str, engine: str) -> bool:
        """Give the lone run of a suspect up."""
        own = self._identity().incarnation
        changes = Changes()
        for key in _trial_keys(mark, engine):
            read = await self._store.get(key, TrialRecord)
            if isinstance(read, Failure):
                return False
            stored = read.unwrap()
            if stored is not None and stored.record == TrialRecord(own, mark):
                changes.unchanged(stored).delete(key)
        if not changes.rows:
            return True
        return isinstance(await self._store.commit(changes), Success)

    async def _is_held(self, stored: Stored[TrialRecord]) -> bool:
        owner = stored.record.owner
        if owner == self._identity().incarnation:
            return True
        read = await self._store.get(host_key(owner), HostRecord)
        if isinstance(read, Failure):
            return True
        host = read.unwrap()
        return host is not None and host.record.state == LIVE


def _same_crash(record: SuspectRecord, engine: str, now_s: float) -> bool:
    return record.engine == engine and now_s - record.at_wall_s < SAME_CRASH_S


def _trial_keys(mark: str, engine: str) -> tuple[RowKey, RowKey]:
    return RowKey(TRIALS_TABLE, f"engine/{engine}"), RowKey(TRIALS_TABLE, f"of/{mark}")
