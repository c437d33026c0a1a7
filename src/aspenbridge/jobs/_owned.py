"""State of a batch job on its owner: waiting, running and finished items."""

from __future__ import annotations

from collections import deque
from functools import cached_property
from typing import TYPE_CHECKING

import attrs

from aspenbridge.quarantine import RunSubjects, request_fingerprint, run_subjects

from ._item_run import ITEM_METHOD

if TYPE_CHECKING:
    from collections.abc import Collection, Iterable

    from aspenbridge.store import Stored

    from ._messages import SubmittedItem
    from ._records import JobHead, ProgressRecord

RETRY_DELAY_S = 0.1  # an engine frees a slot about this often
# An item has to be placed within 5 s once engines are up and have free slots.
MAX_RETRY_DELAY_S = 4.0
MAX_DOUBLINGS = 6  # reach that delay


@attrs.define
class ItemState:
    """What has been generated of an item, and how often it failed."""

    index: int
    events: list[str] = attrs.field(factory=list)
    last_event_id: int | None = None
    failures: int = 0
    runs_without_progress: int = 0  # consecutive runs without a new event
    events_at_delay: int = 0  # number of events when the last retry was delayed
    not_before_s: float = 0.0  # monotonic time of the earliest next run
    held: str | None = None  # the part of its prompt for which it waits, if any
    saved_events: int = 0  # number in the progress row that the store may have
    saved_failures: int = 0

    def restore(self, record: ProgressRecord) -> None:
        """Continue from the progress that another host has saved."""
        self.events = list(record.events)
        self.last_event_id = record.last_event_id if self.events else None
        self.failures = record.failures
        self.events_at_delay = len(self.events)
        self.mark_saved()

    @property
    def maybe_saved(self) -> bool:
        """Whether the store may have a progress row of this item."""
        return self.saved_events > 0 or self.saved_failures > 0

    def mark_saved(self) -> None:
        """Record that the present state has been or may have been written."""
        self.saved_events = len(self.events)
        self.saved_failures = self.failures

    def drop_last_event(self) -> None:
        """Forget the last event, if there is one, so that it is run again."""
        if self.events and self.last_event_id is not None:
            self.events.pop()
            self.last_event_id = self.last_event_id - 1 if self.events else None

    def drop_events(self) -> None:
        """Forget all events, so that the next run starts anew."""
        self.events.clear()
        self.last_event_id = None

    def delay_retry(self, now_s: float) -> None:
        """
        Put off the next run by an exponential backoff.

        The delay doubles with each failure and each run without progress.
        """
        self.events_at_delay = len(self.events)
        doublings = min(self.failures + self.runs_without_progress, MAX_DOUBLINGS)
        delay_s = min(RETRY_DELAY_S * 2**doublings, MAX_RETRY_DELAY_S)
        self.not_before_s = now_s + delay_s


@attrs.define
class FinishedItem:
    """A finished item not listed yet; ``text`` is None if it failed."""

    state: ItemState
    text: str | None


class OwnedJob:
    """
    The items of a job that this host owns.

    Each item that is not listed yet is either waiting, running or finished.
    """

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
        self.listing = False  # whether a write of results is in progress

    @property
    def head(self) -> JobHead:
        """The job's head as this host last wrote or read it."""
        return self.stored.record

    @cached_property
    def fingerprints(self) -> tuple[str, ...]:
        """The fingerprint of each item, by index."""
        return tuple(
            request_fingerprint(ITEM_METHOD, self.head.host, item.target, item.body)
            for item in self.items
        )

    @cached_property
    def subjects(self) -> tuple[RunSubjects, ...]:
        """What a crash under each item may be blamed on, by index."""
        return tuple(
            run_subjects(fingerprint, item.prompt_parts, owed=True)
            for fingerprint, item in zip(self.fingerprints, self.items, strict=True)
        )

    @cached_property
    def size_bytes(self) -> int:
        """What the items hold in memory."""
        return sum(item.size_bytes for item in self.items)

    def waiting_tokens(self, listed: Collection[int]) -> int:
        """Return the tokens of the items without those that are listed."""
        done = set(listed)
        return sum(
            item.tokens for index, item in enumerate(self.items) if index not in done
        )

    def apply_head(self, stored: Stored[JobHead]) -> None:
        """
        Continue from a head that was read again.

        A write of results whose reply was lost may have taken effect; its
        items must not be listed a second time.
        """
        self.stored = stored
        self.drop_listed()

    def drop_listed(self) -> None:
        """Drop finished items that already have a position in the results."""
        listed = set(self.head.listed)
        self.finished = [f for f in self.finished if f.state.index not in listed]

    def restore(self, records: Iterable[tuple[int, ProgressRecord]]) -> None:
        """Apply the progress that another host has saved to waiting items."""
        by_item = dict(records)
        for state in self.waiting:
            if state.index in by_item:
                state.restore(by_item[state.index])

    def ready(self, now_s: float) -> list[ItemState]:
        """Return the waiting items whose retry delay is over."""
        return [state for state in self.waiting if state.not_before_s <= now_s]

    def start(self, state: ItemState) -> None:
        """Move an item from waiting to running."""
        self.waiting.remove(state)
        self.running[state.index] = state

    def requeue(self, state: ItemState) -> None:
        """
        Move an unfinished item from running to the front of the waiting ones.

        It comes before items that have not started yet.
        """
        del self.running[state.index]
        self.waiting.appendleft(state)

    def finish(self, state: ItemState, text: str | None) -> None:
        """Move an item from running to finished."""
        del self.running[state.index]
        self.finished.append(FinishedItem(state, text))

    def unfinished(self) -> list[ItemState]:
        """Return the items that are neither listed nor finished."""
        return [*self.running.values(), *self.waiting]
