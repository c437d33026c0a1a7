"""The real clock of a host."""

from __future__ import annotations

import asyncio
import time


class SystemClock:
    """Monotonic time of the machine and waits on the running loop."""

    def now_s(self) -> float:
        """Return monotonic seconds."""
        return time.monotonic()

    def wall_s(self) -> float:
        """Return seconds since the Unix epoch."""
        return time.time()

    async def sleep_until(self, deadline_s: float) -> None:
        """Return once the deadline has passed."""
        await asyncio.sleep(max(0.0, deadline_s - self.now_s()))


__all__ = ["SystemClock"]
