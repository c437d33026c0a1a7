"""Keeps a copy of a table up to date, through outages and lost history."""

from __future__ import annotations

import asyncio
import logging
from typing import TYPE_CHECKING, Protocol

from returns.result import Failure

from aspenbridge.ports import Change, HistoryLost

if TYPE_CHECKING:
    from collections.abc import Callable
    from random import Random

    from aspenbridge.ports import ChangeFeed, Clock, Row

logger = logging.getLogger(__name__)
WAIT_S = 1.5  # a dead connection is noticed after this and the slack of the call
FIRST_RETRY_S = 0.1
LONGEST_RETRY_S = 0.8


class TableCopy(Protocol):
    """Takes in rows of a table."""

    def replace(self, rows: tuple[Row, ...]) -> None:
        """Take in the whole table."""

    def change(self, change: Change) -> None:
        """Take in one change."""


class Follower:
    """Reads a table whole, then its changes; reads it again when it has to."""

    def __init__(
        self,
        feed: ChangeFeed,
        clock: Clock,
        random: Random,
        table: str,
        copy: TableCopy,
        *,
        parts: bool = False,
    ) -> None:
        self._feed = feed
        self._clock = clock
        self._random = random
        self._table = table
        self._copy = copy
        self._parts = parts
        self._version: int | None = None
        self._away = False
        self.confirmed_s = float("-inf")  # when the copy was last up to date
        self.loaded = asyncio.Event()
        self.on_return: Callable[[], None] = lambda: None

    @property
    def age_s(self) -> float:
        """How long ago the copy was known to be up to date."""
        return self._clock.now_s() - self.confirmed_s

    async def run(self) -> None:
        """Follow the table until cancelled."""
        retry_s = FIRST_RETRY_S
        while True:
            if await self._step():
                retry_s = FIRST_RETRY_S
                continue
            wake_s = self._clock.now_s() + retry_s * self._random.uniform(0.5, 1.0)
            await self._clock.sleep_until(wake_s)
            retry_s = min(retry_s * 2, LONGEST_RETRY_S)

    async def _step(self) -> bool:
        if self._version is None:
            return await self._read_whole()
        page = await self._feed.changes(self._table, self._version, WAIT_S)
        if isinstance(page, Failure):
            error = page.failure()
            if isinstance(error, HistoryLost):
                logger.warning("history of table %s is lost", self._table)
                self._version = None
                return True
            self._lost(error.reason)
            return False
        self._regained()
        for change in page.unwrap().changes:
            self._copy.change(change)
        self._version = page.unwrap().version
        self.confirmed_s = self._clock.now_s()
        return True

    async def _read_whole(self) -> bool:
        rows: list[Row] = []
        # Read first: its version comes before the list of parts was made.
        version = await self._read_part("", rows)
        if version is None:
            return False
        parts = await self._other_parts()
        if parts is None:
            return False
        for part in parts:
            if await self._read_part(part, rows) is None:
                return False
        self._regained()
        self._copy.replace(tuple(rows))
        self._version = version
        self.confirmed_s = self._clock.now_s()
        self.loaded.set()
        return True

    async def _other_parts(self) -> tuple[str, ...] | None:
        if not self._parts:
            return ()
        parts = await self._feed.parts(self._table)
        if isinstance(parts, Failure):
            self._lost(parts.failure().reason)
            return None
        return tuple(part for part in parts.unwrap() if part)

    async def _read_part(self, part: str, rows: list[Row]) -> int | None:
        """Append the rows of a part; return the first answer's version."""
        first_version: int | None = None
        start = ""
        while True:
            found = await self._feed.rows(self._table, part, start=start)
            if isinstance(found, Failure):
                self._lost(found.failure().reason)
                return None
            page = found.unwrap()
            rows.extend(page.rows)
            first_version = page.version if first_version is None else first_version
            if page.complete:
                return first_version
            start = page.rows[-1].key.key + "\0"

    def _lost(self, reason: str) -> None:
        if not self._away:
            self._away = True
            logger.warning("store: table %s can't be followed: %s", self._table, reason)

    def _regained(self) -> None:
        if self._away:
            self._away = False
            logger.warning(
                "store: table %s is followed again, last seen %.1f s ago",
                self._table,
                min(self.age_s, 1e6),
            )
            self.on_return()
