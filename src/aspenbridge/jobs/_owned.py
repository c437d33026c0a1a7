"""A batch job that this host runs: which items wait, run and are done."""

from __future__ import annotations

from collections import deque
from typing import TYPE_CHECKING

import attrs

if TYPE_CHECKING:
    from collections.abc import Iterable

    from aspenbridge.store import Stored

    from ._messages import SubmittedItem
    from ._records import JobHead, ProgressRecord

RETRY_PAUSE_S = 0.1  # an engine frees a place about this often
MOST_DOUBLINGS = 6  # 6.4 s; an engine that crashed is back by then


@attrs.define
class ItemState:
    """What was generated of an item, and how often it failed."""

    index: int
    events: list[str] = attrs.field(factory=list)
    last_event_id: int | None = None
    failures: int = 0
    breaks: int = 0  # runs in a row that ended without a new event
    events_at_pause: int = 0
    not_before_s: float = 0.0
    saved_events: int = 0  # the store may have a progress row with these
    saved_failures: int = 0

    def restore(self, record: ProgressRecord) -> None:
        """Go on from what another host had generated."""
        self.events = list(record.events)
        self.last_event_id = record.last_event_id if self.events else None
        self.failures = record.failures
        self.note_saved()

    @property
    def saved(self) -> bool:
        """Whether the store may have a progress row."""
        return self.saved_events > 0 or self.saved_failures > 0

    def note_saved(self) -> None:
        """Note that all of this was written, or may have been."""
        self.saved_events = len(self.events)
        self.saved_failures = self.failures

    def pause(self, now_s: float) -> None:
        """Wait before the next try, twice as long after each in vain."""
        self.events_at_pause = len(self.events)
        tries = min(self.failures + self.breaks, MOST_DOUBLINGS)
        pause_s = RETRY_PAUSE_S * 2**tries
        self.not_before_s = now_s + pause_s


@attrs.define
class FinishedItem:
    """An item that has to be listed; without a text it was given up."""

    state: ItemState
    text: str | None


class OwnedJob:
    """The items of one job on this host."""

    def __init__(
        self, stored: Stored[JobHead], items: tuple[SubmittedItem, ...]
    ) -> None:
        self.stored = stored
        self.items = items
        listed = set(stored.record.listed)
        self.waiting = deque(
            ItemState(index) for index in range(len(items)) if index not in listed
        )
        self.running: dict[int, ItemState] = {}
        self.finished: list[FinishedItem] = []
        self.listing = False

    @property
    def head(self) -> JobHead:
        """The job's head as this host last wrote or read it."""
        return self.stored.record

    def adopt(self, stored: Stored[JobHead]) -> None:
        """
        Go on from a head that was read again.

        A listing that was never answered may have been written after all; its
        items must not be listed a second time.
        """
        self.stored = stored
        self.drop_listed()

    def drop_listed(self) -> None:
        """Forget finished items that have a position already."""
        listed = set(self.head.listed)
        self.finished = [f for f in self.finished if f.state.index not in listed]

    def restore(self, records: Iterable[tuple[int, ProgressRecord]]) -> None:
        """Take over what another host had generated."""
        by_item = dict(records)
        for state in self.waiting:
            if state.index in by_item:
                state.restore(by_item[state.index])

    def ready(self, now_s: float) -> list[ItemState]:
        """Return the items that may be tried."""
        return [state for state in self.waiting if state.not_before_s <= now_s]

    def start(self, state: ItemState) -> None:
        """Move an item from waiting to running."""
        self.waiting.remove(state)
        self.running[state.index] = state

    def requeue(self, state: ItemState) -> None:
        """Put an item that did not finish back, ahead of those not begun."""
        del self.running[state.index]
        self.waiting.appendleft(state)

    def finish(self, state: ItemState, text: str | None) -> None:
        """Move an item from running to finished."""
        del self.running[state.index]
        self.finished.append(FinishedItem(state, text))

    def unfinished(self) -> list[ItemState]:
        """Return the items that are neither listed nor finished."""
        return [*self.running.values(), *self.waiting]
