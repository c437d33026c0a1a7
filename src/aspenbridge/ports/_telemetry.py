"""Counters, timers and gauges."""

from __future__ import annotations

from typing import Protocol


class Metrics(Protocol):
    """Takes measurements; a call never waits and never fails."""

    def count(self, name: str, value: int = 1) -> None:
        """Add to a counter."""

    def time(self, name: str, duration_s: float) -> None:
        """Record how long something took."""

    def gauge(self, name: str, value: float) -> None:
        """Set a level."""


class NoMetrics:
    """Drops every measurement."""

    def count(self, name: str, value: int = 1) -> None:
        """Do nothing."""

    def time(self, name: str, duration_s: float) -> None:
        """Do nothing."""

    def gauge(self, name: str, value: float) -> None:
        """Do nothing."""
