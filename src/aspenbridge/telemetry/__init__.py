"""Traces, metrics and logs of a host."""

from __future__ import annotations

from ._context import TRACEPARENT, current_traceparent, parent_context
from ._logs import configure_logs
from ._ports import Hops, MeasuredAdmission

__all__ = [
    "TRACEPARENT",
    "Hops",
    "MeasuredAdmission",
    "configure_logs",
    "current_traceparent",
    "parent_context",
]
