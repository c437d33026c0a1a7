"""An event loop on virtual time, which passes only when no task can run."""

from __future__ import annotations

import asyncio
import heapq
import selectors
from typing import TYPE_CHECKING, Any

if TYPE_CHECKING:
    from collections.abc import Coroutine


class _NoSelector(selectors.SelectSelector):
    """A selector that never waits for I/O."""

    def select(self, timeout: float | None = None) -> list[Any]:
        return super().select(0)


class VirtualLoop(asyncio.SelectorEventLoop):
    """Advances its time to the next timer whenever no callback is ready."""

    def __init__(self) -> None:
        super().__init__(_NoSelector())
        self.virtual_s = 1_000.0

    def time(self) -> float:
        return self.virtual_s

    def _run_once(self) -> None:
        if not self._ready:
            while self._scheduled and self._scheduled[0]._cancelled:
                timer = heapq.heappop(self._scheduled)
                timer._scheduled = False
                self._timer_cancelled_count = max(0, self._timer_cancelled_count - 1)
            if self._scheduled:
                self.virtual_s = max(self.virtual_s, self._scheduled[0]._when)
        super()._run_once()


class ManualClock:
    """Satisfies the ``Clock`` protocol with the time of a virtual loop."""

    def __init__(self, loop: VirtualLoop) -> None:
        self._loop = loop

    def now_s(self) -> float:
        return self._loop.virtual_s

    def wall_s(self) -> float:
        return 1_700_000_000.0 + self._loop.virtual_s

    async def sleep_until(self, deadline_s: float) -> None:
        await asyncio.sleep(max(0.0, deadline_s - self.now_s()))


def run_virtual(scenario: Any) -> Any:
    """Run ``scenario(clock)`` on a new virtual loop; return its result."""
    loop = VirtualLoop()
    try:
        coroutine: Coroutine[Any, Any, Any] = scenario(ManualClock(loop))
        return loop.run_until_complete(coroutine)
    finally:
        _cancel_all(loop)
        loop.close()


def _cancel_all(loop: VirtualLoop) -> None:
    """Cancel every task, and the tasks that these start when cancelled."""
    while pending := asyncio.all_tasks(loop):
        for task in pending:
            task.cancel()
        loop.run_until_complete(asyncio.gather(*pending, return_exceptions=True))
