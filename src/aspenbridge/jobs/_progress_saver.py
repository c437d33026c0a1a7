"""
Saves the progress of unfinished items in the store.

When a host crashes, an item that another host takes over loses only what was
generated since the last save.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from aspenbridge.ports import Clock

    from ._owned import ItemState, OwnedJob
    from ._repository import JobRepository

# Saves at this interval make a tenth as many store calls as listing results
# and following tables do; one part of a table takes 200 writes a second.
SAVE_INTERVAL_S = 2.0
MIN_NEW_EVENTS = 25  # half a second of an engine's work


def items_to_save(job: OwnedJob) -> list[ItemState]:
    """Return the items with a new failure or enough events not yet saved."""
    return [
        state
        for state in job.unfinished()
        if len(state.events) - state.saved_events >= MIN_NEW_EVENTS
        or state.failures > state.saved_failures
    ]


class ProgressSaver:
    """Writes the progress of all owned jobs at regular intervals."""

    def __init__(
        self, repository: JobRepository, owned: dict[str, OwnedJob], clock: Clock
    ) -> None:
        self._repository = repository
        self._owned = owned
        self._clock = clock

    async def run(self) -> None:
        """Save until cancelled."""
        while True:
            await self._clock.sleep_until(self._clock.now_s() + SAVE_INTERVAL_S)
            for job in list(self._owned.values()):
                states = items_to_save(job)
                # Listing results changes the head, and a save would then fail.
                if states and not job.listing and job.head.id in self._owned:
                    await self._repository.save(job, states)
