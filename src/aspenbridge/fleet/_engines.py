"""The registered engines and which of them may get work."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

if TYPE_CHECKING:
    from collections.abc import Iterable

    from aspenbridge.ports import Clock

# An engine whose entry expired in an outage of the store registers again
# within two seconds of the store's recovery; its new entry takes up to half a
# second to arrive here.
EXPIRY_GRACE_S = 2.5
MAX_LEAVING_MARKS = 512


@attrs.frozen
class EngineEntry:
    """The registration of one engine process."""

    id: str
    service: str
    ip: str
    port: int
    failure_domain: str
    slots: int  # the requests that the engine runs at once
    draining: bool
    started_ms: int
    warm_up_s: float

    @property
    def address(self) -> str:
        """IP address and port."""
        return f"{self.ip}:{self.port}"


class EngineDirectory:
    """
    The registered engines, kept up to date from the store.

    An engine that said that it leaves counts as draining, whatever its entry
    says, until it has started again.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._entries: dict[str, EngineEntry] = {}
        self._expires_s: dict[str, float] = {}  # when to drop each engine, by id
        self._grace_until_s = 0.0
        # The starts, by engine id, of those that said that they leave. They
        # outlive the entries, which may lapse in an outage and come back.
        self._leaving_ms: dict[str, int] = {}
        self._revision = 0

    @property
    def revision(self) -> int:
        """Grows with each change of the engines that may get work."""
        self._drop_expired()
        return self._revision

    def store_recovered(self) -> None:
        """Keep missing engines until they have had time to register again."""
        self._grace_until_s = self._clock.now_s() + EXPIRY_GRACE_S

    def put(self, entry: EngineEntry) -> None:
        """Add or replace an entry."""
        leaving_ms = self._leaving_ms.get(entry.id)
        if leaving_ms is not None and entry.started_ms > leaving_ms:
            del self._leaving_ms[entry.id]
        elif leaving_ms is not None:
            entry = attrs.evolve(entry, draining=True)
        if entry != self._entries.get(entry.id):
            self._entries[entry.id] = entry
            self._revision += 1
        self._expires_s.pop(entry.id, None)

    def mark_leaving(self, engine_id: str, started_ms: int) -> bool:
        """
        Note that an engine said that it leaves.

        :param started_ms: the start of the engine that said so, in
            milliseconds of Unix time. An engine that started later stays in
            use.
        :return: whether this host did not know it.
        """
        entry = self._entries.get(engine_id)
        if entry is not None and entry.started_ms > started_ms:
            return False
        if started_ms <= self._leaving_ms.get(engine_id, -1):
            return False
        self._leaving_ms[engine_id] = started_ms
        if entry is not None:
            self._entries[engine_id] = attrs.evolve(entry, draining=True)
            self._revision += 1
        if len(self._leaving_ms) > MAX_LEAVING_MARKS:
            self._drop_oldest_mark()
        return True

    def leaving(self) -> list[tuple[str, int]]:
        """
        Return ids and starts of the listed engines that said that they leave.

        The ones that were marked last come last.
        """
        return [mark for mark in self._leaving_ms.items() if mark[0] in self._entries]

    def remove(self, engine_id: str) -> None:
        """Drop an engine: at once, or when a running grace period ends."""
        if engine_id not in self._entries:
            return
        if self._clock.now_s() < self._grace_until_s:
            self._expires_s[engine_id] = self._grace_until_s
        else:
            del self._entries[engine_id]
            self._revision += 1

    def replace(self, entries: Iterable[EngineEntry]) -> None:
        """Apply the whole list; missing engines go through ``remove``."""
        listed = {entry.id: entry for entry in entries}
        for engine_id in [name for name in self._entries if name not in listed]:
            self.remove(engine_id)
        for entry in listed.values():
            self.put(entry)

    def usable(self, service: str) -> list[EngineEntry]:
        """Return the engines of a service that may get new work."""
        return [e for e in self.all_usable() if e.service == service]

    def all_usable(self) -> list[EngineEntry]:
        """Return the engines of all services that may get new work."""
        return [e for e in self.registered() if not e.draining]

    def registered(self) -> list[EngineEntry]:
        """Return the engines of all services, draining or not."""
        self._drop_expired()
        return list(self._entries.values())

    def get(self, engine_id: str) -> EngineEntry | None:
        """Return a registered engine, draining or not."""
        self._drop_expired()
        return self._entries.get(engine_id)

    def ids(self) -> frozenset[str]:
        """Return the ids of all registered engines."""
        return frozenset(self._entries)

    def _drop_oldest_mark(self) -> None:
        """Drop a mark, of an engine without an entry if there is any."""
        unlisted = (name for name in self._leaving_ms if name not in self._entries)
        oldest = next(unlisted, next(iter(self._leaving_ms)))
        del self._leaving_ms[oldest]

    def _drop_expired(self) -> None:
        if not self._expires_s:
            return
        now_s = self._clock.now_s()
        for engine_id in [e for e, end_s in self._expires_s.items() if end_s <= now_s]:
            del self._expires_s[engine_id]
            self._entries.pop(engine_id, None)
            self._revision += 1
