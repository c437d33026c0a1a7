"""
Saves what running items have generated, for the host that takes them over.

Answers hosts that die without a farewell: an item that is taken over loses
what was generated since the last save, not all.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from aspenbridge.ports import Clock

    from ._owned import ItemState, OwnedJob
    from ._repository import JobRepository

# A tenth of the calls that listing and following make; a part of the store
# takes 200 writes a second.
SAVE_INTERVAL_S = 2.0
LEAST_NEW_EVENTS = 25  # half a second of an engine's work


def worth_saving(job: OwnedJob) -> list[ItemState]:
    """Return the items that have failed or generated enough since a save."""
    return [
        state
        for state in job.unfinished()
        if len(state.events) - state.saved_events >= LEAST_NEW_EVENTS
        or state.failures > state.saved_failures
    ]


class ProgressSaves:
    """Writes the progress of all owned jobs every few seconds."""

    def __init__(
        self, ledger: JobRepository, owned: dict[str, OwnedJob], clock: Clock
    ) -> None:
        self._ledger = ledger
        self._owned = owned
        self._clock = clock

    async def run(self) -> None:
        """Save until cancelled."""
        while True:
            await self._clock.sleep_until(self._clock.now_s() + SAVE_INTERVAL_S)
            for job in list(self._owned.values()):
                states = worth_saving(job)
                # A listing changes the head that a save depends on.
                if states and not job.listing and job.head.id in self._owned:
                    await self._ledger.save(job, states)
