"""The demo: a fleet of hosts, engines and the platform in one process."""

from __future__ import annotations

from ._report import DemoReport, DemoRow
from ._run import run_demo

__all__ = ["DemoReport", "DemoRow", "run_demo"]
