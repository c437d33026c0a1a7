"""Chooses engines for online requests by this host's view of the load."""

from __future__ import annotations

from typing import TYPE_CHECKING

from aspenbridge.fleet import Refused

if TYPE_CHECKING:
    from collections.abc import Collection
    from random import Random

    from aspenbridge.fleet import EngineEntry, EngineView, Route

# The share of the latency goal that a request may wait for a slot; the rest is
# for the network and the engine's first step.
QUEUE_SHARE = 0.7
# The largest random factor of a retry delay; it spreads out the retries of
# callers that were refused at the same time.
RETRY_SPREAD = 1.5


class OnlinePlacement:
    """Chooses the service and the engine of an online request."""

    def __init__(self, view: EngineView, random: Random) -> None:
        self._view = view
        self._random = random

    def service(self, route: Route) -> str:
        """Choose the service of a request by the weights of its route."""
        return route.pick_service(self._random)

    def place(
        self, service: str, route: Route, tried: Collection[str], waited_s: float
    ) -> EngineEntry | Refused:
        """
        Return an engine that serves in time, or a refusal with a retry delay.

        :param tried: engines that failed this request; they are chosen again
            only if there is no other.
        :param waited_s: how long the caller has already waited.
        """
        wait_budget_s = max(0.0, route.latency_goal_s * QUEUE_SHARE - waited_s)
        placed = self._view.place(service, wait_budget_s, exclude=tried)
        if isinstance(placed, Refused) and tried and not placed.engines:
            placed = self._view.place(service, wait_budget_s)
        if isinstance(placed, Refused):
            spread = self._random.uniform(1.0, RETRY_SPREAD)
            return Refused(placed.retry_after_s * spread, placed.engines)
        return placed

    def place_among(
        self, service: str, engine_ids: Collection[str]
    ) -> EngineEntry | None:
        """Return one of some engines that may get a request now, if any."""
        usable = self._view.usable(sorted(engine_ids))
        return next((entry for entry in usable if entry.service == service), None)

    def any_listed(self, engine_ids: Collection[str]) -> bool:
        """Whether one of some engines is registered."""
        return any(self._view.engine(name) is not None for name in engine_ids)

    def place_elsewhere(
        self, service: str, exclude: Collection[str]
    ) -> EngineEntry | None:
        """Return an engine with a free slot that is not excluded, if any."""
        placed = self._view.place(service, 0.0, exclude=exclude)
        return None if isinstance(placed, Refused) else placed
