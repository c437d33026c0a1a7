"""
Protocols for stores, peers, backend servers, the clock and metrics.

The decision logic does its I/O through them, so that tests can replace it.
"""

from __future__ import annotations

from ._backends import (
    ADAPTER_SEPARATOR,
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
from ._feed import ChangeFeed, ChangePage, HistoryLost, RowChange, RowRange
from ._hosts import HostEntry, HostList
from ._objects import ObjectStore
from ._peers import PeerAddress, PeerHandler, PeerTransport, PeerUnreachableError
from ._relayed import (
    FIRST_NOT_SUCCESS,
    AnswerHead,
    AttemptError,
    BodyEnd,
    EngineCaller,
    Headers,
    RelayedAnswer,
    RelayedCall,
)
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
    "ADAPTER_SEPARATOR",
    "FIRST_NOT_SUCCESS",
    "AnswerHead",
    "AttemptError",
    "BodyEnd",
    "CallOutcome",
    "ChangeFeed",
    "ChangePage",
    "Check",
    "Clock",
    "Committed",
    "Conflict",
    "Delete",
    "Engine",
    "EngineCaller",
    "EngineClient",
    "EngineFailure",
    "EngineLoad",
    "EngineOrder",
    "Generate",
    "GeneratedChunk",
    "Headers",
    "HistoryLost",
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
    "RelayedAnswer",
    "RelayedCall",
    "Row",
    "RowChange",
    "RowKey",
    "RowRange",
    "ServiceCall",
    "ServiceClient",
    "ServiceFailure",
    "ServiceReply",
    "TableService",
    "Transaction",
    "Unavailable",
]
