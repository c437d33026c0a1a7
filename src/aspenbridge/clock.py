"""The system clock that hosts use outside of tests."""

from __future__ import annotations

import asyncio
import time


class SystemClock:
    """Reads the clocks of the machine and waits on the running event loop."""

    def now_s(self) -> float:
        """Return the monotonic time in seconds."""
        return time.monotonic()

    def wall_s(self) -> float:
        """Return the wall-clock time in seconds since the Unix epoch."""
        return time.time()

    async def sleep_until(self, deadline_s: float) -> None:
        """Wait until the monotonic time ``deadline_s``."""
        await asyncio.sleep(max(0.0, deadline_s - self.now_s()))


__all__ = ["SystemClock"]
