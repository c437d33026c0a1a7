"""Bounds what the bodies that a host reads hold in memory together."""

from __future__ import annotations

from typing import Self

# Beside 48 MiB of the program and the buffers of many connections, this
# fits into a machine with 128 MB. A body may be copied once.
MAX_HELD_BYTES = 16 * 1024 * 1024


class MemoryBudget:
    """
    Memory that bodies share while they are read and passed on.

    :param limit_bytes: what all bodies may hold together.
    """

    def __init__(self, limit_bytes: int = MAX_HELD_BYTES) -> None:
        self._limit_bytes = limit_bytes
        self._held_bytes = 0

    def hold(self) -> HeldMemory:
        """Return the share of one request, which holds nothing yet."""
        return HeldMemory(self)

    @property
    def free_bytes(self) -> int:
        """What no body holds."""
        return self._limit_bytes - self._held_bytes

    def add(self, size_bytes: int) -> None:
        """Count bytes as held, or as free if their number is negative."""
        self._held_bytes += size_bytes


class HeldMemory:
    """The share of one request, while entered as a context manager."""

    def __init__(self, budget: MemoryBudget) -> None:
        self._budget = budget
        self._held_bytes = 0

    def __enter__(self) -> Self:
        return self

    def __exit__(self, *error: object) -> None:
        self.shrink(self._held_bytes)

    def grow(self, size_bytes: int) -> bool:
        """
        Hold so many bytes more, and return whether the budget allows it.

        No share may exceed what is left, so that small bodies still find room
        beside many large ones.
        """
        if self._held_bytes + size_bytes > self._budget.free_bytes - size_bytes:
            return False
        self._budget.add(size_bytes)
        self._held_bytes += size_bytes
        return True

    def shrink(self, size_bytes: int) -> None:
        """Hold so many bytes less."""
        self._budget.add(-size_bytes)
        self._held_bytes -= size_bytes


__all__ = ["MAX_HELD_BYTES", "HeldMemory", "MemoryBudget"]
