"""State charts, read from files and checked at start."""

from __future__ import annotations

from ._chart import Chart, ChartError, load_chart

__all__ = ["Chart", "ChartError", "load_chart"]
