"""The clock of the decision logic, which tests replace."""

from __future__ import annotations

from typing import Protocol


class Clock(Protocol):
    """A monotonic clock, a wall clock and a way to wait."""

    def now_s(self) -> float:
        """Return monotonic seconds, the scale of all deadlines."""

    def wall_s(self) -> float:
        """Return seconds since the Unix epoch, for display and storage."""

    async def sleep_until(self, deadline_s: float) -> None:
        """Return once ``now_s`` has reached the deadline."""
