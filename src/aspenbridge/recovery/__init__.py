"""Takeover of the work of failed hosts; new registration of fenced hosts."""

from __future__ import annotations

from ._reconcile import RECONCILE_INTERVAL_S, Reconciler, Worker
from ._registration import Registration
from ._sweep import HostSweep, sweep_interval_s
from ._takeover import Adopter, Takeover

__all__ = [
    "RECONCILE_INTERVAL_S",
    "Adopter",
    "HostSweep",
    "Reconciler",
    "Registration",
    "Takeover",
    "Worker",
    "sweep_interval_s",
]
