"""In-process stand-ins of the platform's services, with faults."""

from __future__ import annotations

from typing import TYPE_CHECKING

from aspenbridge.embedded import MemoryObjects, MemoryTable

if TYPE_CHECKING:
    from collections.abc import Sequence

    from returns.result import Result

    from aspenbridge.ports import (
        Committed,
        Conflict,
        Page,
        Row,
        RowKey,
        Transaction,
        Unavailable,
    )

    from ._faults import FaultyCalls


class FaultyTable:
    """A table service that can be down, slow, or lose replies."""

    def __init__(self, calls: FaultyCalls, table: MemoryTable | None = None) -> None:
        self.calls = calls
        self.table = table or MemoryTable()

    async def transact(
        self, transaction: Transaction
    ) -> Result[Committed, Conflict | Unavailable]:
        """Apply all writes of a transaction, or none of them."""
        return await self.calls.write(lambda: self.table.transact(transaction))

    async def read(
        self, keys: Sequence[RowKey]
    ) -> Result[tuple[Row | None, ...], Unavailable]:
        """Return the row of each key, or None, in the order of the keys."""
        return await self.calls.read(lambda: self.table.read(keys))

    async def scan(
        self, table: str, prefix: str, *, after: str = "", limit: int = 1000
    ) -> Result[Page, Unavailable]:
        """Return rows whose key has the prefix, in key order."""
        return await self.calls.read(
            lambda: self.table.scan(table, prefix, after=after, limit=limit)
        )


class FaultyObjects:
    """An object store that can be down, slow, or lose replies."""

    def __init__(self, calls: FaultyCalls) -> None:
        self.calls = calls
        self.objects = MemoryObjects()

    async def put(self, name: str, body: bytes) -> Result[None, Unavailable]:
        """Write an object."""
        return await self.calls.write(lambda: self.objects.put(name, body))

    async def get(self, name: str) -> Result[bytes | None, Unavailable]:
        """Return an object, or None if it does not exist."""
        return await self.calls.read(lambda: self.objects.get(name))

    async def delete(self, name: str) -> Result[None, Unavailable]:
        """Remove an object."""
        return await self.calls.write(lambda: self.objects.delete(name))
