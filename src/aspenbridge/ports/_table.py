"""Protocol of the platform's transactional table service."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple, Protocol

import attrs

if TYPE_CHECKING:
    from collections.abc import Sequence

    from returns.result import Result


class RowKey(NamedTuple):
    """
    The address of a row: its table, its key, and its part of the table.

    In a store that has parts, a transaction covers rows of one part only.
    """

    table: str
    key: str
    part: str = ""


@attrs.frozen
class Row:
    """A row as it was read; each write gives it a higher version."""

    key: RowKey
    value: bytes
    version: int


@attrs.frozen
class Check:
    """A condition that a row has this version; 0 if it must not exist."""

    key: RowKey
    version: int


@attrs.frozen
class Put:
    """A row to write."""

    key: RowKey
    value: bytes


@attrs.frozen
class Delete:
    """A row to remove."""

    key: RowKey


@attrs.frozen
class Transaction:
    """Writes that are applied together, and only if every check holds."""

    checks: tuple[Check, ...] = ()
    puts: tuple[Put, ...] = ()
    deletes: tuple[Delete, ...] = ()


@attrs.frozen
class Committed:
    """A transaction was applied; holds the new versions of the put rows."""

    versions: dict[RowKey, int]


@attrs.frozen
class Conflict:
    """A transaction was not applied; holds the rows whose check failed."""

    rows: dict[RowKey, Row | None]


@attrs.frozen
class Unavailable:
    """
    A store did not answer, or answered with an error.

    ``maybe_applied`` tells whether the call may have taken effect.
    """

    reason: str
    maybe_applied: bool


@attrs.frozen
class Page:
    """One page of a scan; ``after`` is the cursor, None on the last page."""

    rows: tuple[Row, ...]
    after: str | None


class TableService(Protocol):
    """Conditional transactions over many rows, reads and prefix scans."""

    async def transact(
        self, transaction: Transaction
    ) -> Result[Committed, Conflict | Unavailable]:
        """Apply all writes of a transaction, or none."""

    async def read(
        self, keys: Sequence[RowKey]
    ) -> Result[tuple[Row | None, ...], Unavailable]:
        """Return the rows in the order of the keys, all read at one time."""

    async def scan(
        self, table: str, prefix: str, *, after: str = "", limit: int = 1000
    ) -> Result[Page, Unavailable]:
        """
        Return one page of the rows whose key has a prefix, in key order.

        :param after: the cursor of the page before; empty for the first page.
        :param limit: the maximum number of rows on the page.
        """
