"""The platform's transactional table service."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple, Protocol

import attrs

if TYPE_CHECKING:
    from collections.abc import Sequence

    from returns.result import Result


class RowKey(NamedTuple):
    """
    Where a row is: its table, its key, and the part of the table it is in.

    A store that has parts applies a transaction to the rows of one part.
    """

    table: str
    key: str
    part: str = ""


@attrs.frozen
class Row:
    """A row as it was read; its version rises by one with each write."""

    key: RowKey
    value: bytes
    version: int


@attrs.frozen
class Check:
    """A condition: the row has this version; 0 means it is absent."""

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
    """Writes that take effect together if every check holds."""

    checks: tuple[Check, ...] = ()
    puts: tuple[Put, ...] = ()
    deletes: tuple[Delete, ...] = ()


@attrs.frozen
class Committed:
    """The transaction took effect."""

    versions: dict[RowKey, int]


@attrs.frozen
class Conflict:
    """The transaction had no effect since these rows failed their check."""

    rows: dict[RowKey, Row | None]


@attrs.frozen
class Unavailable:
    """The service gave no answer."""

    reason: str
    maybe_applied: bool


@attrs.frozen
class Page:
    """A part of a scan; ``after`` resumes it, or is None at the end."""

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
        """Return the rows in the order of the keys, from one moment."""

    async def scan(
        self, table: str, prefix: str, *, after: str = "", limit: int = 1000
    ) -> Result[Page, Unavailable]:
        """Return rows whose key has the prefix, in key order."""
