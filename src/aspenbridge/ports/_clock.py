"""Time, as the decision logic sees it."""

from __future__ import annotations

from typing import Protocol


class Clock(Protocol):
    """A monotonic clock, a wall clock and a way to wait."""

    def now_s(self) -> float:
        """Return monotonic seconds; deadlines are kept on this scale."""

    def wall_s(self) -> float:
        """Return seconds since the Unix epoch, for people and records."""

    async def sleep_until(self, deadline_s: float) -> None:
        """Return once ``now_s`` has reached the deadline."""
