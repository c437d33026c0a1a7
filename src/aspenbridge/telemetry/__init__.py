"""Traces, metrics and logs of a host."""

from __future__ import annotations

from ._context import TRACEPARENT, current_traceparent, parent_context
from ._logs import configure_logs
from ._ports import CallRecorder, MeasuredAdmission

__all__ = [
    "TRACEPARENT",
    "CallRecorder",
    "MeasuredAdmission",
    "configure_logs",
    "current_traceparent",
    "parent_context",
]
