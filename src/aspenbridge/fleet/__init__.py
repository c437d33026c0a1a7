"""One host's view of routes, engines, their load and the other hosts."""

from __future__ import annotations

from ._datagrams import Datagrams, PeerAddress, UdpDatagrams
from ._draw import draw_engines
from ._engines import EngineDirectory, EngineEntry
from ._exchange import CrashNotices, LoadExchange
from ._fanout import DIRECT_PEERS, direct_interval_s, plan_fanout
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
from ._load import EngineLoad, LoadView
from ._placement import (
    OTHER_DOMAIN_DELAY_S,
    Candidate,
    Refused,
    place_online,
    preference_key,
)
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
    "DIRECT_PEERS",
    "FRESH_LIMIT_S",
    "HOSTS_TABLE",
    "OTHER_DOMAIN_DELAY_S",
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
    "direct_interval_s",
    "draw_engines",
    "items_to_preempt",
    "place_online",
    "plan_fanout",
    "preference_key",
    "rank",
    "virtual_host",
]
