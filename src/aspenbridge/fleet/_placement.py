"""
Which engine gets a request, and when it is refused instead.

Answers the load of short online bursts over a few engines that all hosts
share and that also run batch items for seconds at a time.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

if TYPE_CHECKING:
    from collections.abc import Sequence

    from ._engines import EngineEntry

# A queued online request waits for one of the places of its engine: an answer
# holds a place for 0.7 s, so that one of eight is free every 0.09 s.
WAIT_PER_QUEUED_S = 0.09
# Two round trips to another region or failure domain: connection and request.
FAR_PENALTY_S = 0.12
NEAR_PENALTY_S = 0.004


@attrs.frozen
class Candidate:
    """An engine as a request sees it."""

    engine: EngineEntry
    online: int
    batch: int
    distance_s: float

    @property
    def free(self) -> int:
        """Places that nobody uses; below zero when requests wait."""
        return self.engine.slots - self.online - self.batch

    @property
    def wait_s(self) -> float:
        """
        How long an online request is expected to wait for a place.

        Batch items give their places back, so only online requests count.
        """
        queued = max(0, self.online + 1 - self.engine.slots)
        return queued * WAIT_PER_QUEUED_S


@attrs.frozen
class Refused:
    """No engine can serve in time; a place is expected after this time."""

    retry_after_s: float
    engines: int = 0  # that could have been chosen


def place_online(
    candidates: Sequence[Candidate], patience_s: float
) -> EngineEntry | Refused:
    """
    Choose the engine with the earliest expected first event.

    :param candidates: the engines that may run the request.
    :param patience_s: the longest wait that still serves the caller in time.
    :return: an engine, or when to come back.
    """
    if not candidates:
        return Refused(NO_ENGINE_RETRY_S)
    best = min(candidates, key=_expected_delay)
    if best.wait_s > patience_s:
        return Refused(best.wait_s, len(candidates))
    return best.engine


def _expected_delay(candidate: Candidate) -> tuple[float, float]:
    """
    Weigh waiting, distance and crowding.

    An engine slows down as it fills, and a batch item that has to leave first
    costs its own delay.
    """
    crowded = candidate.online / candidate.engine.slots
    evicts = EVICTION_S if candidate.free <= 0 and candidate.batch else 0.0
    return (
        candidate.wait_s + candidate.distance_s + evicts + crowded * CROWDING_S,
        candidate.batch,
    )


NO_ENGINE_RETRY_S = 0.5  # engines that crashed or restart take about this long
EVICTION_S = 0.16  # the news to the item's host, its end, and its second start
CROWDING_S = 0.06  # what a full engine is slower by over the first event
