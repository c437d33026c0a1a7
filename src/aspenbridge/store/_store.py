"""Reads and commits of records that stay correct when replies are lost."""

from __future__ import annotations

from typing import TYPE_CHECKING, TypeVar

from returns.result import Failure, Result, Success

from aspenbridge.ports import Committed, Conflict, RowKey, Unavailable

from ._records import TOKEN_BYTES, RecordError, Stored, decode_record, token_of

if TYPE_CHECKING:
    from collections.abc import Callable, Sequence
    from random import Random

    from aspenbridge.ports import Clock, Row, TableService, Transaction

    from ._changes import Changes

Record = TypeVar("Record")
StoreError = Conflict | Unavailable
INITIAL_BACKOFF_S = 0.05
MAX_BACKOFF_S = 2.0
COMMIT_TIMEOUT_S = 5.0
SCAN_PAGE_ROWS = 1000


class Store:
    """
    Reads and writes typed records in the table service.

    A retried commit that puts a row recognises its own earlier write by the
    write token.
    """

    def __init__(self, table: TableService, clock: Clock, random: Random) -> None:
        self._table = table
        self._clock = clock
        self._random = random
        # Called with each conflict, even one with an earlier try of the same
        # commit.
        self.on_conflict: Callable[[Conflict], None] = lambda conflict: None

    async def get(
        self, key: RowKey, record_class: type[Record]
    ) -> Result[Stored[Record] | None, Unavailable]:
        """
        Return the record of a row, or None if there is no such row.

        A row that holds no such record counts as unavailable.
        """
        result = await self._table.read([key])
        try:
            return result.map(lambda rows: _stored(rows[0], record_class))
        except RecordError as error:
            reason = f"row {key.key!r} of table {key.table} can't be read: {error}"
            return Failure(Unavailable(reason, maybe_applied=False))

    async def get_many(
        self, keys: Sequence[RowKey], record_class: type[Record]
    ) -> Result[tuple[Stored[Record] | None, ...], Unavailable]:
        """Return records in the order of the given keys, read atomically."""
        result = await self._table.read(keys)
        return result.map(
            lambda rows: tuple(_stored(row, record_class) for row in rows)
        )

    async def scan(
        self, table: str, prefix: str, record_class: type[Record]
    ) -> Result[tuple[Stored[Record], ...], Unavailable]:
        """Return all records whose key has the prefix, in key order."""
        records: list[Stored[Record]] = []
        after = ""
        while True:
            result = await self._table.scan(
                table, prefix, after=after, limit=SCAN_PAGE_ROWS
            )
            if isinstance(result, Failure):
                return result
            page = result.unwrap()
            records.extend(
                Stored(row.key, decode_record(row.value, record_class), row.version)
                for row in page.rows
            )
            if page.after is None:
                return Success(tuple(records))
            after = page.after

    async def commit(
        self, changes: Changes, *, deadline_s: float | None = None
    ) -> Result[Committed, StoreError]:
        """
        Commit changes atomically; retry while the service is unavailable.

        A retry that conflicts with its own earlier write counts as success if
        the changes put a row; deleted rows have no token to recognise. It is a
        conflict if another writer has changed a checked row since.

        :param deadline_s: time on the monotonic clock after which no retry
            starts; by default ``COMMIT_TIMEOUT_S`` from now.
        :return: the new versions, or the conflict, or ``Unavailable`` when
            the deadline ended the retries or a conflict of a retry could not
            be resolved; its ``maybe_applied`` tells whether the changes may
            still have been applied.
        """
        token = self._random.randbytes(TOKEN_BYTES)
        transaction = changes.transaction(token)
        limit_s = deadline_s or self._clock.now_s() + COMMIT_TIMEOUT_S
        backoff_s = INITIAL_BACKOFF_S
        maybe_applied = False
        while True:
            result = await self._table.transact(transaction)
            error = _failure(result)
            if error is None:
                return result
            if isinstance(error, Conflict):
                self.on_conflict(error)
                if not maybe_applied:
                    return result
                return await self._resolve_conflict(transaction, token, error)
            maybe_applied = maybe_applied or error.maybe_applied
            retry_s = self._clock.now_s() + backoff_s * self._random.uniform(0.5, 1.0)
            if retry_s >= limit_s:
                return Failure(Unavailable(error.reason, maybe_applied))
            await self._clock.sleep_until(retry_s)
            backoff_s = min(backoff_s * 2, MAX_BACKOFF_S)

    async def _resolve_conflict(
        self, transaction: Transaction, token: bytes, conflict: Conflict
    ) -> Result[Committed, StoreError]:
        """
        Return success if the conflict is with an earlier try of this commit.

        That is so if one of the written rows has the token of this commit, and
        so have all that it checks. The new version of a checked row is the
        condition of the caller's next write, so it must be of its own write.
        """
        checked = {check.key for check in transaction.checks}
        keys = [put.key for put in transaction.puts]
        result = await self._table.read(keys)
        if isinstance(result, Failure):
            return Failure(Unavailable("conflict not resolved", maybe_applied=True))
        rows = [row for row in result.unwrap() if row is not None]
        own = {row.key for row in rows if token_of(row.value) == token}
        if own and checked.intersection(keys) <= own:
            return Success(Committed({row.key: row.version for row in rows}))
        return Failure(conflict)


def _failure(result: Result[Committed, StoreError]) -> StoreError | None:
    return result.failure() if isinstance(result, Failure) else None


def _stored(row: Row | None, record_class: type[Record]) -> Stored[Record] | None:
    if row is None:
        return None
    return Stored(row.key, decode_record(row.value, record_class), row.version)
