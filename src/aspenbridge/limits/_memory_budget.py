"""
Bounds what a host holds in memory for its callers together.

The load is a crowd of callers, each of which sends as much as it may: bodies,
heads and pipelined requests, or takes no answers.
"""

from __future__ import annotations

from collections import Counter
from contextlib import contextmanager
from typing import TYPE_CHECKING

import attrs

if TYPE_CHECKING:
    from collections.abc import Callable, Iterator

# Resident size of the program with its copies of the platform's tables.
PROGRAM_BYTES = 50 * 1024 * 1024
MAX_CALLER_BYTES = 48 * 1024 * 1024
MAX_HELD_BYTES = MAX_CALLER_BYTES * 2 // 3
MIN_REQUEST_BYTES = 9 * 1024 * 1024  # for one body of the largest size
MIN_JOB_BYTES = 4 * 1024 * 1024


@attrs.frozen
class MemoryShares:
    """
    What a host may hold on its machine, besides the program itself.

    What neither callers nor jobs hold is left to copies that are made while
    bodies are passed on, and to what the allocator does not return.
    """

    requests_bytes: int  # of callers' requests and their answers
    connections_bytes: int  # of callers' connections as such
    jobs_bytes: int  # of the items of accepted batch jobs

    @classmethod
    def of(cls, machine_bytes: int) -> MemoryShares:
        """Return the shares on a machine with so much memory."""
        left_bytes = max(0, machine_bytes - PROGRAM_BYTES)
        callers_bytes = min(MAX_CALLER_BYTES, left_bytes // 2)
        return cls(
            requests_bytes=max(MIN_REQUEST_BYTES, callers_bytes * 2 // 3),
            connections_bytes=callers_bytes // 3,
            jobs_bytes=max(MIN_JOB_BYTES, left_bytes // 3),
        )


class MemoryBudget:
    """
    Memory that connections and their requests share.

    :param limit_bytes: what all of them may hold together.
    :ivar on_short: called before a share is refused more memory, with the
        number of bytes that have to be free; may give up other shares.
    """

    def __init__(self, limit_bytes: int = MAX_HELD_BYTES) -> None:
        self.limit_bytes = limit_bytes
        self._held_bytes = 0
        self.on_short: Callable[[int], None] = lambda needed_bytes: None

    def hold(self) -> HeldMemory:
        """Return the share of one connection, which holds nothing yet."""
        return HeldMemory(self)

    @property
    def free_bytes(self) -> int:
        """What no share holds."""
        return self.limit_bytes - self._held_bytes

    @property
    def largest_share_bytes(self) -> int:
        """The most that one share can hold when there is no other."""
        return self.limit_bytes // 2

    def add(self, size_bytes: int) -> None:
        """Count bytes as held, or as free if their number is negative."""
        self._held_bytes += size_bytes

    def make_room(self, needed_bytes: int) -> bool:
        """Return whether so many bytes are free, or can be made free."""
        if needed_bytes > self.free_bytes:
            self.on_short(needed_bytes)
        return needed_bytes <= self.free_bytes


class KeyedShares:
    """
    What the requests of each route hold together.

    A route whose engines are slow may take no more than half of the memory and
    of the connections, so that the requests of other routes still find room.

    :param max_requests: how many requests of one route there may be.
    """

    def __init__(self, budget: MemoryBudget, max_requests: int) -> None:
        self._budget = budget
        self._max_requests = max_requests
        self._held_bytes: Counter[str] = Counter()
        self._requests: Counter[str] = Counter()

    @contextmanager
    def hold(self, key: str, size_bytes: int) -> Iterator[bool]:
        """
        Count a request, and what a connection holds for it, for a key as well.

        :return: whether the key may have it, as a context manager.
        """
        allowed = (
            self._held_bytes[key] + size_bytes <= self._budget.free_bytes
            and self._requests[key] < self._max_requests
        )
        self._held_bytes[key] += size_bytes
        self._requests[key] += 1
        try:
            yield allowed
        finally:
            self._held_bytes[key] -= size_bytes
            self._requests[key] -= 1
            if not self._requests[key]:
                del self._held_bytes[key], self._requests[key]


class HeldMemory:
    """The share of one connection, released when the context manager ends."""

    def __init__(self, budget: MemoryBudget) -> None:
        self._budget = budget
        self._closed = False
        self.held_bytes = 0

    def __enter__(self) -> HeldMemory:
        return self

    def __exit__(self, *error: object) -> None:
        self.close()

    def close(self) -> None:
        """Hold nothing from now on."""
        self._closed = True
        self.shrink_to(0)

    def fits(self, size_bytes: int) -> bool:
        """
        Whether this share may hold so many bytes more.

        No share may exceed what is left, so that small requests still find
        room beside many large ones.
        """
        needed_bytes = self.held_bytes + 2 * size_bytes
        return not self._closed and self._budget.make_room(needed_bytes)

    def grow(self, size_bytes: int) -> bool:
        """Hold so many bytes more, and return whether ``fits`` allows it."""
        return self.fits(size_bytes) and self._hold(size_bytes)

    def reserve(self, size_bytes: int) -> bool:
        """Hold so many bytes more if they are free, and return whether."""
        if self._closed or not self._budget.make_room(size_bytes):
            return False
        return self._hold(size_bytes)

    def _hold(self, size_bytes: int) -> bool:
        self._budget.add(size_bytes)
        self.held_bytes += size_bytes
        return True

    def shrink(self, size_bytes: int) -> None:
        """Hold so many bytes less."""
        self.shrink_to(self.held_bytes - size_bytes)

    def shrink_to(self, size_bytes: int) -> None:
        """Hold no more than so many bytes."""
        freed_bytes = max(0, self.held_bytes - max(0, size_bytes))
        self._budget.add(-freed_bytes)
        self.held_bytes -= freed_bytes


__all__ = [
    "MAX_HELD_BYTES",
    "HeldMemory",
    "KeyedShares",
    "MemoryBudget",
    "MemoryShares",
]
