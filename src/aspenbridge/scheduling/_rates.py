"""Rates of events, forgotten with time."""

from __future__ import annotations

import math

MEMORY_S = 1.0


class Rate:
    """An exponentially weighted rate of events."""

    def __init__(self, now_s: float) -> None:
        self._value = 0.0
        self._last_s = now_s
        self._start_s = now_s

    def count(self, now_s: float) -> None:
        """Count one event."""
        self._value = self._decayed(now_s) + 1.0 / MEMORY_S
        self._last_s = now_s

    def per_s(self, now_s: float) -> float:
        """Return the rate; corrected while there is little to go by."""
        age_s = max(0.05, now_s - self._start_s)
        return self._decayed(now_s) / (1.0 - math.exp(-age_s / MEMORY_S))

    def _decayed(self, now_s: float) -> float:
        return self._value * math.exp(-(now_s - self._last_s) / MEMORY_S)
