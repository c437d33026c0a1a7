"""Following the tables of a store that reports its changes."""

from __future__ import annotations

from typing import TYPE_CHECKING, Protocol

import attrs

if TYPE_CHECKING:
    from returns.result import Result

    from ._table import Row, RowKey, Unavailable


@attrs.frozen
class Change:
    """A row that was written, or removed when it has no value."""

    key: RowKey
    value: bytes | None
    version: int


@attrs.frozen
class ChangePage:
    """Changes in order; the next page starts after ``version``."""

    changes: tuple[Change, ...]
    version: int


@attrs.frozen
class HistoryLost:
    """The store no longer has the changes that were asked for."""


@attrs.frozen
class RowRange:
    """Rows of one part as of one moment, in key order."""

    rows: tuple[Row, ...]
    version: int
    complete: bool


class ChangeFeed(Protocol):
    """Whole tables and the changes to them."""

    async def rows(
        self, table: str, part: str = "", *, start: str = "", end: str = ""
    ) -> Result[RowRange, Unavailable]:
        """Return rows of a part from ``start`` up to, without, ``end``."""

    async def parts(self, table: str) -> Result[tuple[str, ...], Unavailable]:
        """Return the names of all parts of a table."""

    async def changes(
        self, table: str, after: int, wait_s: float
    ) -> Result[ChangePage, Unavailable | HistoryLost]:
        """Return what changed after a version; wait if nothing did."""
