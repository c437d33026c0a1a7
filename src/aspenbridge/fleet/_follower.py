"""Keeps a copy of a table up to date despite outages and lost history."""

from __future__ import annotations

import asyncio
import logging
from contextlib import suppress
from typing import TYPE_CHECKING, Protocol

from returns.result import Failure

from aspenbridge.ports import HistoryLost, RowChange

if TYPE_CHECKING:
    from collections.abc import Callable
    from random import Random

    from aspenbridge.ports import ChangeFeed, Clock, Row

logger = logging.getLogger(__name__)
# The longest wait of a request for changes. A dead connection is detected
# after this time plus the timeout margin of the feed's client.
POLL_WAIT_S = 1.5
FIRST_RETRY_S = 0.1
MAX_RETRY_S = 0.8


class TableCopy(Protocol):
    """A local copy of a table, updated by a follower."""

    def replace(self, rows: tuple[Row, ...]) -> None:
        """Replace the copy by all rows of the table."""

    def apply_change(self, change: RowChange) -> None:
        """Apply one change."""


class Follower:
    """
    Reads a whole table, then its changes; rereads it if history is lost.

    Without ``all_parts``, only the unnamed part of the table is read at first.

    :param interval_s: the least time between two reads of changes, so that one
        read brings the changes that many rows had meanwhile. ``read_now``
        ends it early.
    """

    def __init__(
        self,
        feed: ChangeFeed,
        clock: Clock,
        random: Random,
        table: str,
        copy: TableCopy,
        *,
        all_parts: bool = False,
        interval_s: float = 0.0,
    ) -> None:
        self._feed = feed
        self._clock = clock
        self._random = random
        self._table = table
        self._copy = copy
        self._all_parts = all_parts
        self._interval_s = interval_s
        self._next_read_s = float("-inf")
        self._read_now = asyncio.Event()
        self._version: int | None = None
        self._unavailable = False
        self.confirmed_s = float("-inf")  # when the copy was last known to be current
        # Since when it has been followed without an outage of the store.
        self.followed_since_s = float("inf")
        self.loaded = asyncio.Event()  # set once the whole table was read
        # Called when the store answers again after an outage, before the copy
        # is updated.
        self.on_recovery: Callable[[], None] = lambda: None

    @property
    def age_s(self) -> float:
        """The time since the copy was last known to be up to date."""
        return self._clock.now_s() - self.confirmed_s

    def read_now(self) -> None:
        """Read at once what has changed, since someone waits for a change."""
        self._read_now.set()

    async def run(self) -> None:
        """Follow the table until cancelled."""
        retry_s = FIRST_RETRY_S
        while True:
            if await self._step():
                retry_s = FIRST_RETRY_S
                continue
            wake_s = self._clock.now_s() + retry_s * self._random.uniform(0.5, 1.0)
            await self._clock.sleep_until(wake_s)
            retry_s = min(retry_s * 2, MAX_RETRY_S)

    async def _step(self) -> bool:
        """Make one read; return False if it has to be tried again later."""
        if self._version is None:
            return await self._read_whole()
        wait_s = POLL_WAIT_S - await self._wait_for_interval()
        started_s = self._clock.now_s()
        page = await self._feed.changes(self._table, self._version, wait_s)
        if isinstance(page, Failure):
            error = page.failure()
            if isinstance(error, HistoryLost):
                logger.warning("history of table %s is lost", self._table)
                self._version = None
                return True
            self._mark_unavailable(error.reason)
            return False
        self._next_read_s = started_s + self._interval_s
        self._mark_available()
        for change in page.unwrap().changes:
            self._copy.apply_change(change)
        self._version = page.unwrap().version
        self.confirmed_s = self._clock.now_s()
        return True

    async def _wait_for_interval(self) -> float:
        """Wait until the next read may start; return how long that took."""
        started_s = self._clock.now_s()
        delay_s = self._next_read_s - started_s
        if delay_s > 0:
            with suppress(TimeoutError):
                async with asyncio.timeout(delay_s):
                    await self._read_now.wait()
        self._read_now.clear()
        return self._clock.now_s() - started_s

    async def _read_whole(self) -> bool:
        rows: list[Row] = []
        started_s = self._clock.now_s()  # rows read first lack later changes
        # The unnamed part is read first, so that its version, from which
        # changes are followed, is older than the list of parts.
        version = await self._read_part("", rows)
        if version is None:
            return False
        parts = await self._other_parts()
        if parts is None:
            return False
        for part in parts:
            if await self._read_part(part, rows) is None:
                return False
        self._mark_available()
        self._copy.replace(tuple(rows))
        self._version = version
        self.confirmed_s = started_s
        self.loaded.set()
        return True

    async def _other_parts(self) -> tuple[str, ...] | None:
        if not self._all_parts:
            return ()
        parts = await self._feed.parts(self._table)
        if isinstance(parts, Failure):
            self._mark_unavailable(parts.failure().reason)
            return None
        return tuple(part for part in parts.unwrap() if part)

    async def _read_part(self, part: str, rows: list[Row]) -> int | None:
        """Append the rows of a part; return the version of its first page."""
        first_version: int | None = None
        start = ""
        while True:
            result = await self._feed.rows(self._table, part, start=start)
            if isinstance(result, Failure):
                self._mark_unavailable(result.failure().reason)
                return None
            page = result.unwrap()
            rows.extend(page.rows)
            first_version = page.version if first_version is None else first_version
            if page.complete:
                return first_version
            start = page.rows[-1].key.key + "\0"

    def _mark_unavailable(self, reason: str) -> None:
        self.followed_since_s = float("inf")
        if not self._unavailable:
            self._unavailable = True
            logger.warning("store: table %s can't be followed: %s", self._table, reason)

    def _mark_available(self) -> None:
        self.followed_since_s = min(self.followed_since_s, self._clock.now_s())
        if self._unavailable:
            self._unavailable = False
            logger.warning(
                "store: table %s is followed again, last seen %.1f s ago",
                self._table,
                min(self.age_s, 1e6),
            )
            self.on_recovery()
