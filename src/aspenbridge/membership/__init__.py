"""Membership of the fleet, failure detection and ownership of open work."""

from __future__ import annotations

from ._detector import FailureDetector
from ._identity import (
    FENCED,
    HOSTS_TABLE,
    LIVE,
    HostRecord,
    Identity,
    host_key,
    register,
)
from ._members import LEAVING, Member, Members
from ._owned import CHUNK, OWNED_TABLE, REQUEST, OwnedRecord, owned_key, owned_prefix
from ._prober import Prober
from ._rendezvous import rank, score
from ._suspicions import SUSPICION_ANSWER_INTERVAL_S, StoredSuspicions

__all__ = [
    "CHUNK",
    "FENCED",
    "HOSTS_TABLE",
    "LEAVING",
    "LIVE",
    "OWNED_TABLE",
    "REQUEST",
    "SUSPICION_ANSWER_INTERVAL_S",
    "FailureDetector",
    "HostRecord",
    "Identity",
    "Member",
    "Members",
    "OwnedRecord",
    "Prober",
    "StoredSuspicions",
    "host_key",
    "owned_key",
    "owned_prefix",
    "rank",
    "register",
    "score",
]
