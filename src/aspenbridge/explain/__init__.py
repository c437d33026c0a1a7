"""Tells operators where a request went, and why."""

from __future__ import annotations

from ._decisions import Decisions
from ._dry_run import DryRun, Matches

__all__ = ["Decisions", "DryRun", "Matches"]
