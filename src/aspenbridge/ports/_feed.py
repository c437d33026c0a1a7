"""Protocol of a store that lists the changes of its tables."""

from __future__ import annotations

from typing import TYPE_CHECKING, Protocol

import attrs

if TYPE_CHECKING:
    from returns.result import Result

    from ._table import Row, RowKey, Unavailable


@attrs.frozen
class RowChange:
    """A write of a row, or its removal if ``value`` is None."""

    key: RowKey
    value: bytes | None
    version: int


@attrs.frozen
class ChangePage:
    """Changes in order; the next page holds those after ``version``."""

    changes: tuple[RowChange, ...]
    version: int


@attrs.frozen
class HistoryLost:
    """The store no longer keeps the requested changes."""


@attrs.frozen
class RowRange:
    """
    Rows of one part of a table at one time, in key order.

    ``version`` is the version of the table at that time. If ``complete`` is
    False, the range holds more rows after the last one.
    """

    rows: tuple[Row, ...]
    version: int
    complete: bool


class ChangeFeed(Protocol):
    """Reads whole tables and follows the changes to them."""

    async def rows(
        self, table: str, part: str = "", *, start: str = "", end: str = ""
    ) -> Result[RowRange, Unavailable]:
        """
        Return rows of a part whose keys are in a range.

        :param start: the inclusive lower bound; empty for no bound.
        :param end: the exclusive upper bound; empty for no bound.
        """

    async def parts(self, table: str) -> Result[tuple[str, ...], Unavailable]:
        """Return the names of all parts of a table."""

    async def changes(
        self, table: str, after: int, wait_s: float
    ) -> Result[ChangePage, Unavailable | HistoryLost]:
        """
        Return the changes after a version.

        :param wait_s: how long to wait for a change if there is none yet.
        """
