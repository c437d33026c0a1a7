"""Collects the inputs of placement: engines, load, health, network delay."""

from __future__ import annotations

from typing import TYPE_CHECKING

from ._placement import OTHER_DOMAIN_DELAY_S, OTHER_REGION_DELAY_S, Candidate

if TYPE_CHECKING:
    from collections.abc import Collection, Mapping

    from ._engines import EngineDirectory, EngineEntry
    from ._health import EngineHealth
    from ._load import LoadView


class EngineView:
    """
    The engines and their load as this host knows them.

    ``failure_domain`` is the one of this host; ``regions`` holds the region of
    each failure domain.
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
        self._load_view = load_view
        self._health = health
        self._failure_domain = failure_domain
        self._regions = regions

    def candidates(
        self, service: str, *, exclude: Collection[str] = ()
    ) -> list[Candidate]:
        """Return the engines of a service that may get a request now."""
        return [
            self._candidate(engine)
            for engine in self._directory.usable(service)
            if engine.id not in exclude and not self._health.is_paused(engine.id)
        ]

    def free_slots(self, headroom: int, services: Collection[str]) -> dict[str, int]:
        """
        Return the number of free slots for batch items, by engine.

        Engines without a free slot are left out.

        :param headroom: the slots of each engine reserved for online requests.
        :param services: the services whose engines count.
        """
        free: dict[str, int] = {}
        for engine in self._directory.all_usable():
            if engine.service not in services:
                continue
            count = engine.slots - headroom - self._load_view.load(engine.id).total
            if count > 0:
                free[engine.id] = count
        return free

    def engine(self, engine_id: str) -> EngineEntry | None:
        """Return a registered engine."""
        return self._directory.get(engine_id)

    def _candidate(self, engine: EngineEntry) -> Candidate:
        load = self._load_view.load(engine.id)
        return Candidate(
            engine=engine,
            online=load.online,
            batch=load.batch,
            network_delay_s=self._network_delay_s(engine.failure_domain),
        )

    def _network_delay_s(self, failure_domain: str) -> float:
        if failure_domain == self._failure_domain:
            return 0.0
        own_region = self._regions.get(self._failure_domain)
        if own_region == self._regions.get(failure_domain):
            return OTHER_DOMAIN_DELAY_S
        return OTHER_REGION_DELAY_S
