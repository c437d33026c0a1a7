"""Clocks for measurements within one process."""

from __future__ import annotations

import asyncio
import heapq
import itertools
import time

START_S = 1_000.0
START_WALL_S = 1_700_000_000.0
SETTLING_ITERATIONS = 25  # iterations of the loop between two timers


class FastClock:
    """
    A clock that runs faster or slower than the system's.

    :param speed: seconds of this clock per second of the system's clock.
    """

    def __init__(self, speed: float) -> None:
        self._speed = speed
        self._start_s = time.monotonic()

    def now_s(self) -> float:
        """Return monotonic seconds of this clock."""
        return START_S + (time.monotonic() - self._start_s) * self._speed

    def wall_s(self) -> float:
        """Return seconds since the Unix epoch, on this clock."""
        return START_WALL_S + self.now_s()

    async def sleep_until(self, deadline_s: float) -> None:
        """Return once the deadline has passed."""
        await asyncio.sleep(max(0.0, deadline_s - self.now_s()) / self._speed)


class JumpClock:
    """A clock that jumps to the next timer once no task can run."""

    def __init__(self) -> None:
        self._now_s = START_S
        self._order = itertools.count()
        self._timers: list[tuple[float, int, asyncio.Future[None]]] = []

    def now_s(self) -> float:
        """Return monotonic seconds of this clock."""
        return self._now_s

    def wall_s(self) -> float:
        """Return seconds since the Unix epoch, on this clock."""
        return START_WALL_S + self._now_s

    async def sleep_until(self, deadline_s: float) -> None:
        """Return once the clock has jumped to the deadline."""
        done = asyncio.get_running_loop().create_future()
        heapq.heappush(self._timers, (deadline_s, next(self._order), done))
        await done

    async def run_for(self, duration_s: float) -> None:
        """Run the tasks for a number of seconds of this clock."""
        end_s = self._now_s + duration_s
        await _run_ready_tasks()
        while self._timers and self._timers[0][0] <= end_s:
            deadline_s, _, done = heapq.heappop(self._timers)
            self._now_s = max(self._now_s, deadline_s)
            if not done.done():
                done.set_result(None)
                await _run_ready_tasks()
        self._now_s = end_s


async def _run_ready_tasks() -> None:
    """Let tasks run until, in all likelihood, each waits for a timer."""
    for _ in range(SETTLING_ITERATIONS):
        await asyncio.sleep(0)
