"""
State charts of calls, requests, jobs, engines and hosts.

Each chart is a YAML file in this folder. It is validated when a module that
uses it is imported, or a host is created.
"""

from __future__ import annotations

from ._chart import Chart, ChartError, load_chart

__all__ = ["Chart", "ChartError", "load_chart"]
