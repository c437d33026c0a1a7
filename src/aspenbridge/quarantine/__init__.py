"""
Quarantine of requests that crash engines, whatever host they reach.

``aspenbridge.suspects`` does the same for hosts that talk over Cap'n Proto.
"""

from __future__ import annotations

from ._fingerprint import request_fingerprint
from ._ledger import QUARANTINE_CRASHES
from ._quarantine import Quarantine
from ._records import CRASHES_TABLE

__all__ = [
    "CRASHES_TABLE",
    "QUARANTINE_CRASHES",
    "Quarantine",
    "request_fingerprint",
]
