"""Places online requests by what the host knows of the engines."""

from __future__ import annotations

from typing import TYPE_CHECKING

from aspenbridge.fleet import Refused, place_online

if TYPE_CHECKING:
    from collections.abc import Collection
    from random import Random

    from aspenbridge.fleet import EngineEntry, EngineView, Route

# The part of the goal that may pass in a queue; the rest is for the way to
# the engine and the first step there.
QUEUE_SHARE = 0.7
RETURN_SPREAD = 1.5  # callers that were refused together return apart


class OnlinePlacing:
    """Chooses service and engine of an online request."""

    def __init__(self, view: EngineView, random: Random) -> None:
        self._view = view
        self._random = random

    def service(self, route: Route) -> str:
        """Return the service of one request, by the weights of its route."""
        return route.pick_service(self._random)

    def place(
        self, service: str, route: Route, tried: Collection[str], waited_s: float
    ) -> EngineEntry | Refused:
        """
        Return an engine that serves in time, or when to come back.

        :param tried: engines that failed this request; used again only when
            there is no other.
        :param waited_s: how long the caller has been waiting.
        """
        candidates = self._view.candidates(service, exclude=tried)
        if not candidates and tried:
            candidates = self._view.candidates(service)
        patience_s = max(0.0, route.goal_s * QUEUE_SHARE - waited_s)
        placed = place_online(candidates, patience_s)
        if isinstance(placed, Refused):
            spread = self._random.uniform(1.0, RETURN_SPREAD)
            return Refused(placed.retry_after_s * spread, placed.engines)
        return placed
