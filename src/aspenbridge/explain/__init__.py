"""Shows operators how requests were handled and what changes would match."""

from __future__ import annotations

from ._decisions import Decisions
from ._dry_run import DryRun, Matches

__all__ = ["Decisions", "DryRun", "Matches"]
