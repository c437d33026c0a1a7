"""Collects the inputs of placement: engines, load, health, network delay."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

from ._engine_index import EngineIndex
from ._placement import (
    OTHER_DOMAIN_DELAY_S,
    OTHER_REGION_DELAY_S,
    Refused,
    place_online,
)

if TYPE_CHECKING:
    from collections.abc import Collection, Iterable, Mapping, Set
    from random import Random

    from ._engines import EngineDirectory, EngineEntry
    from ._health import EngineHealth
    from ._load import LoadView


class EngineView:
    """
    The engines and their load as this host knows them.

    ``failure_domain`` is the one of this host; ``regions`` holds the region of
    each failure domain.

    :ivar draws: the random numbers by which the engine of a request is chosen
        among a few; None while the load is known so soon that the preferred
        one of all engines is chosen.
    """

    def __init__(
        self,
        directory: EngineDirectory,
        load_view: LoadView,
        health: EngineHealth,
        failure_domain: str,
        regions: Mapping[str, str],
    ) -> None:
        self._directory = directory
        self._health = health
        self._failure_domain = failure_domain
        self._regions = regions
        self.draws: Random | None = None
        self._index = EngineIndex(directory, load_view, self._network_delay_s)

    def place(
        self, service: str, wait_budget_s: float, *, exclude: Collection[str] = ()
    ) -> EngineEntry | Refused:
        """
        Choose the engine of an online request as ``place_online`` does.

        The choice is between a few engines while ``draws`` is set, as long as
        one of them can serve in time.

        :param wait_budget_s: the longest wait for a slot that still serves the
            caller in time.
        :param exclude: ids of engines that are not chosen.
        """
        excluded = self._health.paused().union(exclude)
        if self.draws is not None:
            drawn = self._index.drawn(service, excluded, self.draws)
            if drawn is not None and drawn.expected_wait_s <= wait_budget_s:
                return drawn.engine
        best, engines = self._index.preferred(service, excluded)
        placed = place_online([] if best is None else [best], wait_budget_s)
        if isinstance(placed, Refused):
            return attrs.evolve(placed, engines=engines)
        return placed

    def free_slots(self, service: str) -> dict[str, int]:
        """
        Return the number of a service's free slots for batch items, by engine.

        Engines without a free slot are left out, and so are the slots that are
        reserved for online requests.
        """
        return self._index.free_slots(service)

    def free_slot_count(self, service: str) -> int:
        """Return the number of a service's free slots for batch items."""
        return self._index.free_slot_count(service)

    def unreachable(self, service: str) -> frozenset[str]:
        """Return ids of engines of a service that this host can't reach."""
        engines = (self._index.get(name) for name in self._health.unreachable())
        return frozenset(e.id for e in engines if e and e.service == service)

    def overfull(self) -> Set[str]:
        """Return the ids of the engines with more requests than slots."""
        return self._index.overfull()

    def usable(self, engine_ids: Iterable[str]) -> list[EngineEntry]:
        """Return those of the engines that may get a request now."""
        paused = self._health.paused()
        entries = (self._index.get(engine_id) for engine_id in engine_ids)
        return [
            entry for entry in entries if entry is not None and entry.id not in paused
        ]

    def engine(self, engine_id: str) -> EngineEntry | None:
        """Return a registered engine."""
        return self._directory.get(engine_id)

    def _network_delay_s(self, failure_domain: str) -> float:
        if failure_domain == self._failure_domain:
            return 0.0
        own_region = self._regions.get(self._failure_domain)
        if own_region == self._regions.get(failure_domain):
            return OTHER_DOMAIN_DELAY_S
        return OTHER_REGION_DELAY_S
