"""Protocol for metrics: counters, timers and gauges."""

from __future__ import annotations

from typing import Protocol


class Metrics(Protocol):
    """Records metrics; no call blocks or raises an error."""

    def count(self, name: str, value: int = 1) -> None:
        """Add to a counter."""

    def time(self, name: str, duration_s: float) -> None:
        """Record a duration."""

    def gauge(self, name: str, value: float) -> None:
        """Set the current value of a gauge."""


class NoMetrics:
    """Discards all metrics."""

    def count(self, name: str, value: int = 1) -> None:
        """Do nothing."""

    def time(self, name: str, duration_s: float) -> None:
        """Do nothing."""

    def gauge(self, name: str, value: float) -> None:
        """Do nothing."""
