"""
Quarantine of requests and parts of prompts that crash engines.

One ledger holds the evidence against both, whatever host they reach.
``aspenbridge.suspects`` does the same for hosts that talk over Cap'n Proto.
"""

from __future__ import annotations

from ._arrivals import EventArrivals
from ._quarantine import Quarantine
from ._records import CRASHES_TABLE
from ._subjects import RunSubjects, is_part, request_fingerprint, run_subjects
from ._verdicts import QUARANTINE_CRASHES

__all__ = [
    "CRASHES_TABLE",
    "QUARANTINE_CRASHES",
    "EventArrivals",
    "Quarantine",
    "RunSubjects",
    "is_part",
    "request_fingerprint",
    "run_subjects",
]
