"""What the decision logic needs from the outside, as protocols."""

from __future__ import annotations

from ._backends import (
    ADAPTER_MARK,
    CallOutcome,
    Engine,
    EngineClient,
    EngineFailure,
    EngineLoad,
    EngineOrder,
    Generate,
    GeneratedChunk,
    ServiceCall,
    ServiceClient,
    ServiceFailure,
    ServiceReply,
)
from ._clock import Clock
from ._hosts import HostEntry, HostList
from ._objects import ObjectStore
from ._peers import PeerAddress, PeerHandler, PeerTransport, PeerUnreachableError
from ._table import (
    Check,
    Committed,
    Conflict,
    Delete,
    Page,
    Put,
    Row,
    RowKey,
    TableService,
    Transaction,
    Unavailable,
)
from ._telemetry import Metrics, NoMetrics

__all__ = [
    "ADAPTER_MARK",
    "CallOutcome",
    "Check",
    "Clock",
    "Committed",
    "Conflict",
    "Delete",
    "Engine",
    "EngineClient",
    "EngineFailure",
    "EngineLoad",
    "EngineOrder",
    "Generate",
    "GeneratedChunk",
    "HostEntry",
    "HostList",
    "Metrics",
    "NoMetrics",
    "ObjectStore",
    "Page",
    "PeerAddress",
    "PeerHandler",
    "PeerTransport",
    "PeerUnreachableError",
    "Put",
    "Row",
    "RowKey",
    "ServiceCall",
    "ServiceClient",
    "ServiceFailure",
    "ServiceReply",
    "TableService",
    "Transaction",
    "Unavailable",
]
