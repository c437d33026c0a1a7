"""What an entry host tells engineers: lines for decisions, and metrics."""

from __future__ import annotations

from ._lines import LineHandler, configure_decision_log, log_decision

__all__ = ["LineHandler", "configure_decision_log", "log_decision"]
