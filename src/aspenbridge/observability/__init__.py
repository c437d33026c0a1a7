"""Log lines and metrics of an entry host, for its engineers."""

from __future__ import annotations

from . import _metrics as metrics
from ._lateness import watch_lateness
from ._lines import MAX_LOGGED_PARTS, LineHandler, configure_logging, log_decision
from ._metrics import metrics_text

__all__ = [
    "MAX_LOGGED_PARTS",
    "LineHandler",
    "configure_logging",
    "log_decision",
    "metrics",
    "metrics_text",
    "watch_lateness",
]
