"""
Chooses the engine of an online request, or refuses the request.

The rule suits short bursts of online requests on a few engines that all hosts
share and that also run batch items, each for seconds.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

if TYPE_CHECKING:
    from collections.abc import Sequence

    from ._engines import EngineEntry

# A queued online request waits for a slot of its engine. A request occupies a
# slot for 0.7 s, so that with eight slots one becomes free every 0.09 s. Eight
# slots are assumed for every engine, whatever its number of slots is.
WAIT_PER_QUEUED_S = 0.09
# Two round trips, for the connection and the request: to another region, and
# to another failure domain of the same region.
OTHER_REGION_DELAY_S = 0.12
OTHER_DOMAIN_DELAY_S = 0.004


@attrs.frozen
class Candidate:
    """An engine that may run a request, with its current load."""

    engine: EngineEntry
    online: int
    batch: int
    network_delay_s: float

    @property
    def preference_key(self) -> tuple[float, int]:
        """The candidate with the lowest key is preferred."""
        return preference_key(
            self.engine.slots, self.online, self.batch, self.network_delay_s
        )

    @property
    def expected_wait_s(self) -> float:
        """How long an online request is expected to wait for a slot."""
        return expected_wait_s(self.engine.slots, self.online)


@attrs.frozen
class Refused:
    """No engine can serve in time; a slot is expected to be free later."""

    retry_after_s: float
    engines: int = 0  # the number of engines that were considered


def place_online(
    candidates: Sequence[Candidate], wait_budget_s: float
) -> EngineEntry | Refused:
    """
    Choose the engine with the earliest expected first event.

    :param candidates: the engines that may run the request.
    :param wait_budget_s: the longest wait for a slot that still serves the
        caller in time.
    :return: an engine, or a refusal with a retry delay.
    """
    if not candidates:
        return Refused(NO_ENGINE_RETRY_S)
    best = min(candidates, key=lambda candidate: candidate.preference_key)
    if best.expected_wait_s > wait_budget_s:
        return Refused(best.expected_wait_s, len(candidates))
    return best.engine


def preference_key(
    slots: int, online: int, batch: int, network_delay_s: float
) -> tuple[float, int]:
    """
    Return the sort key of an engine: expected delay, then batch items.

    The engine with the lowest key is preferred. An engine becomes slower as it
    fills up, and the preemption of a batch item adds a delay of its own.
    """
    preempts = batch and online + batch >= slots
    return (
        expected_wait_s(slots, online)
        + network_delay_s
        + (PREEMPTION_DELAY_S if preempts else 0.0)
        + online / slots * FULL_ENGINE_DELAY_S,
        batch,
    )


def expected_wait_s(slots: int, online: int) -> float:
    """
    Return how long an online request is expected to wait for a slot.

    Only online requests count, because batch items are preempted.
    """
    return max(0, online + 1 - slots) * WAIT_PER_QUEUED_S


NO_ENGINE_RETRY_S = 0.5  # a crashed or restarting engine is usually back
# The time for the load report to reach the host of the batch item, for that
# host to stop the item, and for the item to start again on a slot. The restart
# does not delay the online request; it counts as a cost of the preemption.
PREEMPTION_DELAY_S = 0.16
FULL_ENGINE_DELAY_S = 0.06  # a full engine sends the first event this much later
