"""Registration of this host, renewed each time that it has been fenced."""

from __future__ import annotations

import asyncio
import logging
from typing import TYPE_CHECKING

from returns.result import Failure, Result, Success

from aspenbridge.membership import host_key, register

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable, Sequence
    from random import Random

    from aspenbridge.membership import Identity
    from aspenbridge.ports import Clock, Conflict, PeerAddress, Unavailable
    from aspenbridge.settings import HostSettings
    from aspenbridge.store import Store

logger = logging.getLogger(__name__)
RETRY_INTERVAL_S = 1.0


class Registration:
    """Registers this host, and again as a new incarnation once fenced."""

    def __init__(
        self,
        store: Store,
        clock: Clock,
        random: Random,
        host: HostSettings,
        peer: PeerAddress,
    ) -> None:
        self._store = store
        self._clock = clock
        self._random = random
        self._host = host
        self._peer = peer
        self._fenced = asyncio.Event()
        self.identity: Identity | None = None
        self.renewals = 0
        store.on_conflict = self.check_conflict

    async def register(self) -> Result[None, Unavailable]:
        """Register a new incarnation of this host."""
        registered = await register(
            self._store, self._clock, self._random, self._host, self._peer
        )
        if isinstance(registered, Failure):
            return registered
        self.identity = registered.unwrap()
        return Success(None)

    def check_conflict(self, conflict: Conflict) -> None:
        """Detect from a conflict on the own row that this host was fenced."""
        if self.identity is None:
            return
        if host_key(self.identity.incarnation) in conflict.rows:
            self.mark_fenced()

    def mark_fenced(self) -> None:
        """Make ``watch`` register this host as a new incarnation."""
        self._fenced.set()

    async def watch(self, stop_work: Sequence[Callable[[], Awaitable[None]]]) -> None:
        """
        Register a new incarnation each time that this host has been fenced.

        :param stop_work: functions that stop the work of the fenced
            incarnation on this host; other hosts take that work over.
        """
        while True:
            await self._fenced.wait()
            logger.warning(
                "host %s was fenced and registers as a new incarnation", self._host.name
            )
            for stop in stop_work:
                await stop()
            while isinstance(await self.register(), Failure):
                await self._clock.sleep_until(self._clock.now_s() + RETRY_INTERVAL_S)
            self.renewals += 1
            self._fenced.clear()
