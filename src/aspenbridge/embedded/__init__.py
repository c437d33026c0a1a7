"""
In-memory platform, peers and backend servers in one process.

The demo, the benchmarks, the stand-in servers and the tests use them.
"""

from __future__ import annotations

from ._engine import EmbeddedEngine, EngineProfile
from ._engines import EmbeddedEngines
from ._hosts import EmbeddedHostList
from ._objects import MemoryObjects
from ._peers import LocalPeers
from ._service import BookingLedger, EmbeddedServices
from ._table import MemoryTable
from ._text import token_text

__all__ = [
    "BookingLedger",
    "EmbeddedEngine",
    "EmbeddedEngines",
    "EmbeddedHostList",
    "EmbeddedServices",
    "EngineProfile",
    "LocalPeers",
    "MemoryObjects",
    "MemoryTable",
    "token_text",
]
