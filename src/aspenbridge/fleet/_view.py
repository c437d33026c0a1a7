"""Gathers what placement decides by: engines, load, health, distance."""

from __future__ import annotations

from typing import TYPE_CHECKING

from ._placement import FAR_PENALTY_S, NEAR_PENALTY_S, Candidate

if TYPE_CHECKING:
    from collections.abc import Collection, Mapping

    from ._engines import EngineDirectory, EngineEntry
    from ._health import EngineHealth
    from ._load import LoadBoard


class EngineView:
    """The engines of a service as this host sees them now."""

    def __init__(
        self,
        directory: EngineDirectory,
        board: LoadBoard,
        health: EngineHealth,
        failure_domain: str,
        regions: Mapping[str, str],
    ) -> None:
        self._directory = directory
        self._board = board
        self._health = health
        self._failure_domain = failure_domain
        self._regions = regions

    def candidates(
        self, service: str, *, without: Collection[str] = ()
    ) -> list[Candidate]:
        """Return the engines that may get a request now."""
        return [
            self._candidate(engine)
            for engine in self._directory.usable(service)
            if engine.id not in without and not self._health.paused(engine.id)
        ]

    def free_places(self, headroom: int) -> dict[str, int]:
        """
        Return how many places each engine has for batch items.

        :param headroom: the places of an engine that are left to online work.
        """
        free: dict[str, int] = {}
        for engine in self._directory.all_usable():
            left = engine.slots - headroom - self._board.load(engine.id).total
            if left > 0:
                free[engine.id] = left
        return free

    def engine(self, engine_id: str) -> EngineEntry | None:
        """Return a registered engine."""
        return self._directory.get(engine_id)

    def _candidate(self, engine: EngineEntry) -> Candidate:
        load = self._board.load(engine.id)
        return Candidate(
            engine=engine,
            online=load.online,
            batch=load.batch,
            distance_s=self._distance_s(engine.failure_domain),
        )

    def _distance_s(self, failure_domain: str) -> float:
        if failure_domain == self._failure_domain:
            return 0.0
        own_region = self._regions.get(self._failure_domain)
        if own_region == self._regions.get(failure_domain):
            return NEAR_PENALTY_S
        return FAR_PENALTY_S
