"""Traces and metrics of a host."""

from __future__ import annotations

from ._context import TRACEPARENT, current_traceparent, parent_context

__all__ = ["TRACEPARENT", "current_traceparent", "parent_context"]
