"""The platform's transactional table service, in memory."""

from __future__ import annotations

from typing import TYPE_CHECKING

from returns.result import Failure, Result, Success
from sortedcontainers import SortedDict

from aspenbridge.ports import Committed, Conflict, Page, Row, RowKey

if TYPE_CHECKING:
    from collections.abc import Sequence

    from aspenbridge.ports import Transaction, Unavailable


class MemoryTable:
    """
    A table service that never fails.

    Row versions come from one counter, so a version never repeats, also when
    a row is deleted and written again.
    """

    def __init__(self) -> None:
        self._rows: SortedDict[RowKey, Row] = SortedDict()
        self._version = 0

    async def transact(
        self, transaction: Transaction
    ) -> Result[Committed, Conflict | Unavailable]:
        """Apply all writes of a transaction, or none if a check fails."""
        return self.apply(transaction)

    def apply(
        self, transaction: Transaction
    ) -> Result[Committed, Conflict | Unavailable]:
        """Do the work of ``transact`` without awaiting."""
        failed = {
            check.key: self._rows.get(check.key)
            for check in transaction.checks
            if self._version_of(check.key) != check.version
        }
        if failed:
            return Failure(Conflict(failed))
        self._version += 1
        for put in transaction.puts:
            self._rows[put.key] = Row(put.key, put.value, self._version)
        for delete in transaction.deletes:
            self._rows.pop(delete.key, None)
        return Success(Committed({put.key: self._version for put in transaction.puts}))

    async def read(
        self, keys: Sequence[RowKey]
    ) -> Result[tuple[Row | None, ...], Unavailable]:
        """Return the rows in the order of the keys; None for absent rows."""
        return Success(tuple(self._rows.get(key) for key in keys))

    async def scan(
        self, table: str, prefix: str, *, after: str = "", limit: int = 1000
    ) -> Result[Page, Unavailable]:
        """Return a page of rows whose keys have the prefix, in key order."""
        start = RowKey(table, max(prefix, after))
        rows: list[Row] = []
        for key in self._rows.irange(start):
            if key.table != table or not key.key.startswith(prefix):
                break
            if key.key == after:
                continue
            if len(rows) == limit:
                return Success(Page(tuple(rows), rows[-1].key.key))
            rows.append(self._rows[key])
        return Success(Page(tuple(rows), None))

    def _version_of(self, key: RowKey) -> int:
        row = self._rows.get(key)
        return row.version if row else 0
