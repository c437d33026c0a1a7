"""One entry host on a platform with a store, engines and an operator."""

from __future__ import annotations

from ._host import EntryHost
from ._ports import EntryPorts, OperatorTables
from ._settings import Address, EntrySettings, StoreLimits, TimeBounds

__all__ = [
    "Address",
    "EntryHost",
    "EntryPorts",
    "EntrySettings",
    "OperatorTables",
    "StoreLimits",
    "TimeBounds",
]
