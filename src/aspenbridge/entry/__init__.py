"""
One entry host: relays online requests and runs batch jobs.

The platform provides the store and the engines; its operator writes the
configuration.
"""

from __future__ import annotations

from ._host import EntryHost
from ._ports import EntryPorts, OperatorTables
from ._settings import (
    Address,
    EntrySettings,
    MachineLimits,
    StoreLimits,
    TimeBounds,
)

__all__ = [
    "Address",
    "EntryHost",
    "EntryPorts",
    "EntrySettings",
    "MachineLimits",
    "OperatorTables",
    "StoreLimits",
    "TimeBounds",
]
