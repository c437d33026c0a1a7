"""Tells by its events whether an answer outlived the start of its run."""

from __future__ import annotations

import attrs

# A part that crashes engines does so when they begin to write. So many events
# over this time don't come from an engine that has just crashed, also if the
# network held some of them back.
SOUND_EVENTS = 10
SOUND_SPAN_S = 0.1


@attrs.define
class EventArrivals:
    """How many events of one answer have arrived, and when."""

    count: int = 0
    first_s: float = 0.0
    last_s: float = 0.0

    def add(self, count: int, now_s: float) -> None:
        """Record that events have arrived."""
        if not self.count:
            self.first_s = now_s
        self.count += count
        self.last_s = now_s

    @property
    def span_s(self) -> float:
        """The time from the first event to the last one."""
        return self.last_s - self.first_s

    @property
    def show_sound_start(self) -> bool:
        """Whether no part of the prompt can have crashed the engine."""
        return self.count >= SOUND_EVENTS and self.span_s >= SOUND_SPAN_S
