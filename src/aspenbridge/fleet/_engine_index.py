"""
Keeps the engines of each service by preference and by free slots.

It is for hundreds of load reports a second, each of which changes the load of
a few engines, beside a few choices a second among up to a thousand engines.
Each changed engine gets a new key at once; a choice takes the lowest of the
kept keys.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

from ._draw import draw_engines
from ._placement import Candidate, preference_key
from ._slot_assignment import batch_slots

if TYPE_CHECKING:
    from collections.abc import Callable, Collection, Set
    from random import Random

    from ._engines import EngineDirectory, EngineEntry
    from ._load import LoadView


@attrs.define(eq=False)
class _Service:
    """
    The usable engines of one service.

    ``keys`` holds the preference of each engine by id: expected delay, batch
    items, position in the directory, and the engine itself. ``free`` holds
    the engines with free slots for batch items, ``free_slots`` their sum.
    """

    keys: dict[str, tuple[float, int, int, _IndexedEngine]] = attrs.field(factory=dict)
    free: dict[str, int] = attrs.field(factory=dict)
    free_slots: int = 0

    def set_load(self, engine: _IndexedEngine, online: int, batch: int) -> None:
        """Move an engine to the place that its load gives it."""
        entry = engine.entry
        engine.online, engine.batch = online, batch
        delay_s, items = preference_key(
            entry.slots, online, batch, engine.network_delay_s
        )
        self.keys[entry.id] = (delay_s, items, engine.position, engine)
        free = batch_slots(entry.slots) - online - batch
        self.free_slots -= self.free.pop(entry.id, 0)
        if free > 0:
            self.free[entry.id] = free
            self.free_slots += free


@attrs.define(eq=False)
class _IndexedEngine:
    entry: EngineEntry
    position: int  # in the directory; breaks ties
    network_delay_s: float
    service: _Service | None  # none while the engine drains
    online: int = 0
    batch: int = 0

    def candidate(self) -> Candidate:
        return Candidate(self.entry, self.online, self.batch, self.network_delay_s)


class EngineIndex:
    """
    The engines by service, each with the load of all hosts.

    :param network_delay_s: returns the delay to a failure domain.
    """

    def __init__(
        self,
        directory: EngineDirectory,
        load_view: LoadView,
        network_delay_s: Callable[[str], float],
    ) -> None:
        self._directory = directory
        self._load_view = load_view
        self._network_delay_s = network_delay_s
        self._revision = -1  # of the directory when it was read
        self._engines: dict[str, _IndexedEngine] = {}
        self._services: dict[str, _Service] = {}
        self._overfull: set[str] = set()  # engines with requests in their queues
        load_view.on_load_change = self._change_load

    def preferred(
        self, service: str, excluded: Collection[str]
    ) -> tuple[Candidate | None, int]:
        """
        Return the engine that online requests prefer.

        :param excluded: ids of engines that don't count.
        :return: the engine, or None; and the number of engines that count.
        """
        keys = self._service(service).keys
        if excluded:
            keys = {name: key for name, key in keys.items() if name not in excluded}
        if not keys:
            return None, 0
        *_, engine = min(keys.values())
        return engine.candidate(), len(keys)

    def drawn(
        self, service: str, excluded: Collection[str], random: Random
    ) -> Candidate | None:
        """
        Return the preferred one of a few engines that are drawn.

        Of several that are preferred alike it is the one drawn first, so that
        hosts with the same news don't choose the same one.

        :param excluded: ids of engines that don't count.
        :return: the engine, or None if no engine counts.
        """
        keys = self._service(service).keys
        engines = [key[-1] for name, key in keys.items() if name not in excluded]
        if not engines:
            return None
        chosen = draw_engines(engines, random)
        best = min(chosen, key=lambda engine: keys[engine.entry.id][:2])
        return best.candidate()

    def free_slots(self, service: str) -> dict[str, int]:
        """Return a service's free slots for batch items, without zeros."""
        return dict(self._service(service).free)

    def free_slot_count(self, service: str) -> int:
        """Return the number of a service's free slots for batch items."""
        return self._service(service).free_slots

    def overfull(self) -> Set[str]:
        """Return the engines with more requests than slots, also draining."""
        self._refresh()
        return self._overfull

    def get(self, engine_id: str) -> EngineEntry | None:
        """Return an engine if it is usable."""
        self._refresh()
        engine = self._engines.get(engine_id)
        return engine.entry if engine is not None and engine.service else None

    def _service(self, name: str) -> _Service:
        self._refresh()
        return self._services.get(name) or _Service()

    def _refresh(self) -> None:
        """Leave out reports that have expired, and follow the directory."""
        self._load_view.drop_expired()
        revision = self._directory.revision
        if revision != self._revision:
            self._revision = revision
            self._read_directory()

    def _read_directory(self) -> None:
        self._engines, self._services, self._overfull = {}, {}, set()
        usable = {entry.id for entry in self._directory.all_usable()}
        for position, entry in enumerate(self._directory.registered()):
            service = None
            if entry.id in usable:
                service = self._services.setdefault(entry.service, _Service())
            delay_s = self._network_delay_s(entry.failure_domain)
            engine = _IndexedEngine(entry, position, delay_s, service)
            self._engines[entry.id] = engine
            load = self._load_view.load(entry.id)
            self._change_load(entry.id, load.online, load.batch)

    def _change_load(self, engine_id: str, online: int, batch: int) -> None:
        engine = self._engines.get(engine_id)
        if engine is None:
            return
        if online + batch > engine.entry.slots:
            self._overfull.add(engine_id)
        else:
            self._overfull.discard(engine_id)
        if engine.service is not None:
            engine.service.set_load(engine, online, batch)
