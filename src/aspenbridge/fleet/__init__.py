"""One host's view of routes, engines, their load and the other hosts."""

from __future__ import annotations

from ._datagrams import Datagrams, PeerAddress, UdpDatagrams
from ._engines import EngineDirectory, EngineEntry
from ._exchange import CrashNotices, LoadExchange
from ._follower import Follower, TableCopy
from ._health import EngineHealth
from ._hosts import (
    HOSTS_TABLE,
    READ_INTERVAL_S,
    Heartbeat,
    HostRecord,
    HostTable,
    rank,
)
from ._load import NO_BACKLOG, EngineLoad, LoadView
from ._placement import Candidate, Refused, place_online
from ._preemption import items_to_preempt
from ._reachability import FRESH_LIMIT_S, Reachability
from ._routes import (
    CallKind,
    Configuration,
    RequestLimits,
    Route,
    Target,
    virtual_host,
)
from ._slot_assignment import Backlog, assign_slots
from ._view import EngineView

__all__ = [
    "FRESH_LIMIT_S",
    "HOSTS_TABLE",
    "NO_BACKLOG",
    "READ_INTERVAL_S",
    "Backlog",
    "CallKind",
    "Candidate",
    "Configuration",
    "CrashNotices",
    "Datagrams",
    "EngineDirectory",
    "EngineEntry",
    "EngineHealth",
    "EngineLoad",
    "EngineView",
    "Follower",
    "Heartbeat",
    "HostRecord",
    "HostTable",
    "LoadExchange",
    "LoadView",
    "PeerAddress",
    "Reachability",
    "Refused",
    "RequestLimits",
    "Route",
    "TableCopy",
    "Target",
    "UdpDatagrams",
    "assign_slots",
    "items_to_preempt",
    "place_online",
    "rank",
    "virtual_host",
]
