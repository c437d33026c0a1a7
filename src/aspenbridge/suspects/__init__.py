"""
Quarantine of requests that crash engines.

A request that was running when an engine crashed becomes a suspect. A suspect
runs isolated from other suspects; it is cleared when it completes, and
quarantined after ``QUARANTINE_CRASHES`` crashes.
"""

from __future__ import annotations

from aspenbridge.quarantine import QUARANTINE_CRASHES

from ._ledger import SuspectRecord, fingerprint
from ._suspects import Suspects

__all__ = ["QUARANTINE_CRASHES", "SuspectRecord", "Suspects", "fingerprint"]
