"""Limits on retries, so that overload ends, and on what callers hold."""

from __future__ import annotations

from ._memory_budget import (
    MAX_HELD_BYTES,
    HeldMemory,
    KeyedShares,
    MemoryBudget,
    MemoryShares,
)
from ._places import Crowding, Place, Places, Wait, place_limit
from ._retry_budget import RetryBudget

__all__ = [
    "MAX_HELD_BYTES",
    "Crowding",
    "HeldMemory",
    "KeyedShares",
    "MemoryBudget",
    "MemoryShares",
    "Place",
    "Places",
    "RetryBudget",
    "Wait",
    "place_limit",
]
