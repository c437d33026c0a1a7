"""Requests that crash engines: suspected, run alone, convicted or cleared."""

from __future__ import annotations

from ._ledger import CONVICTING_CRASHES, SuspectRecord, fingerprint
from ._suspects import Suspects

__all__ = ["CONVICTING_CRASHES", "SuspectRecord", "Suspects", "fingerprint"]
