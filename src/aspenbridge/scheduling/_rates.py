"""Rates of events over recent time."""

from __future__ import annotations

import math

DECAY_TIME_S = 1.0


class Rate:
    """An exponentially decaying average of the events per second."""

    def __init__(self, now_s: float) -> None:
        self._value = 0.0
        self._last_s = now_s
        self._start_s = now_s

    def count(self, now_s: float) -> None:
        """Count one event."""
        self._value = self._decayed(now_s) + 1.0 / DECAY_TIME_S
        self._last_s = now_s

    def per_s(self, now_s: float) -> float:
        """
        Return the events per second.

        The value is scaled up while less time than a few ``DECAY_TIME_S`` has
        passed since the start; otherwise the average would be too low.
        """
        age_s = max(0.05, now_s - self._start_s)
        return self._decayed(now_s) / (1.0 - math.exp(-age_s / DECAY_TIME_S))

    def _decayed(self, now_s: float) -> float:
        return self._value * math.exp(-(now_s - self._last_s) / DECAY_TIME_S)
