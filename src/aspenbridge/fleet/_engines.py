"""Engines as they register themselves, and which of them may get work."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

if TYPE_CHECKING:
    from collections.abc import Iterable

    from aspenbridge.ports import Clock

# An engine whose entry lapsed while the store was away is back within two
# seconds of the store's return; half a second is for the way here.
LAPSE_GRACE_S = 2.5


@attrs.frozen
class EngineEntry:
    """One start of an engine."""

    id: str
    service: str
    ip: str
    port: int
    failure_domain: str
    slots: int
    draining: bool
    started_ms: int
    warm_up_s: float

    @property
    def address(self) -> str:
        """IP number and port."""
        return f"{self.ip}:{self.port}"


class EngineDirectory:
    """The engines that are registered, kept up to date from the store."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._entries: dict[str, EngineEntry] = {}
        self._lapsed: dict[str, float] = {}  # engine to when it counts as gone
        self._lapses_until_s = 0.0

    def store_returned(self) -> None:
        """Keep engines that are missing until they can have come back."""
        self._lapses_until_s = self._clock.now_s() + LAPSE_GRACE_S

    def put(self, entry: EngineEntry) -> None:
        """Take in a new or changed entry."""
        self._entries[entry.id] = entry
        self._lapsed.pop(entry.id, None)

    def remove(self, engine_id: str) -> None:
        """Drop an engine; at once unless the store was just away."""
        if engine_id not in self._entries:
            return
        if self._clock.now_s() < self._lapses_until_s:
            self._lapsed[engine_id] = self._lapses_until_s
        else:
            del self._entries[engine_id]

    def replace(self, entries: Iterable[EngineEntry]) -> None:
        """Take in the whole list."""
        listed = {entry.id: entry for entry in entries}
        for engine_id in [known for known in self._entries if known not in listed]:
            self.remove(engine_id)
        for entry in listed.values():
            self.put(entry)

    def usable(self, service: str) -> list[EngineEntry]:
        """Return the engines of a service that may get new work."""
        return [e for e in self.all_usable() if e.service == service]

    def all_usable(self) -> list[EngineEntry]:
        """Return the engines of all services that may get new work."""
        self._drop_lapsed()
        return [e for e in self._entries.values() if not e.draining]

    def get(self, engine_id: str) -> EngineEntry | None:
        """Return an engine that is registered."""
        self._drop_lapsed()
        return self._entries.get(engine_id)

    def ids(self) -> frozenset[str]:
        """Return the ids of all engines that are registered."""
        return frozenset(self._entries)

    def _drop_lapsed(self) -> None:
        now_s = self._clock.now_s()
        for engine_id in [e for e, end_s in self._lapsed.items() if end_s <= now_s]:
            del self._lapsed[engine_id]
            self._entries.pop(engine_id, None)
