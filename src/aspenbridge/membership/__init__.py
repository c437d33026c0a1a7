"""Who is in the fleet, and whether this host still owns its work."""

from __future__ import annotations

from ._identity import HostRecord, Identity, host_key, register
from ._members import Member, Members
from ._prober import Prober
from ._rendezvous import rank, score

__all__ = [
    "HostRecord",
    "Identity",
    "Member",
    "Members",
    "Prober",
    "host_key",
    "rank",
    "register",
    "score",
]
