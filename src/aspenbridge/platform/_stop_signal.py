"""Notes when a signal asks a process to stop."""

from __future__ import annotations

import asyncio
import signal
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from types import FrameType

    from aspenbridge.ports import Clock

STOP_SIGNALS = (signal.SIGTERM, signal.SIGINT)


class StopSignal:
    """
    The first signal that asks this process to stop.

    The interpreter runs its handler between two instructions, so that the time
    is right also when the event loop is late.

    :ivar arrived: set once the loop has handled the signal.
    :ivar arrived_s: when it arrived, on the monotonic clock.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self.arrived = asyncio.Event()
        self.arrived_s: float | None = None

    def watch(self) -> None:
        """Handle the signals from now on, on the running loop."""
        loop = asyncio.get_running_loop()
        for number in STOP_SIGNALS:
            loop.add_signal_handler(number, self.arrived.set)
            wake_loop = signal.getsignal(number)

            def note(
                number: int, frame: FrameType | None, wake_loop: object = wake_loop
            ) -> None:
                if self.arrived_s is None:
                    self.arrived_s = self._clock.now_s()
                if callable(wake_loop):
                    wake_loop(number, frame)

            signal.signal(number, note)
