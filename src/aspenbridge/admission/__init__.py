"""
Admission of batch jobs: how many tokens may wait on a route.

An operator limits the tokens that all callers together may have waiting on a
batch route. A quota counts what waits and decides whether a job still fits.
"""

from __future__ import annotations

from ._quota import (
    AdmissionDecision,
    AdmissionQuota,
    CountedQuota,
    Reservation,
    ReservationBook,
    Verdict,
)

__all__ = [
    "AdmissionDecision",
    "AdmissionQuota",
    "CountedQuota",
    "Reservation",
    "ReservationBook",
    "Verdict",
]
