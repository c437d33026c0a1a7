"""Takeover of the work of failed hosts; new registration of fenced hosts."""

from __future__ import annotations

from ._reconcile import RECONCILE_INTERVAL_S, Reconciler, Worker
from ._registration import Registration
from ._sweep import HostSweep, sweep_interval_s
from ._takeover import Takeover, TakeoverHandler

__all__ = [
    "RECONCILE_INTERVAL_S",
    "HostSweep",
    "Reconciler",
    "Registration",
    "Takeover",
    "TakeoverHandler",
    "Worker",
    "sweep_interval_s",
]
