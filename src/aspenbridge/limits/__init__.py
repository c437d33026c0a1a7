"""Limits on retries, so that overload ends, and on what bodies hold."""

from __future__ import annotations

from ._memory_budget import MAX_HELD_BYTES, HeldMemory, MemoryBudget
from ._retry_budget import RetryBudget

__all__ = ["MAX_HELD_BYTES", "HeldMemory", "MemoryBudget", "RetryBudget"]
