"""Fences a failed incarnation and hands its open work to live hosts."""

from __future__ import annotations

import asyncio
import logging
from collections import Counter
from typing import TYPE_CHECKING, Protocol

import attrs
from returns.result import Failure, Success

from aspenbridge.membership import (
    FENCED,
    LIVE,
    OWNED_TABLE,
    HostRecord,
    OwnedRecord,
    host_key,
    owned_prefix,
)
from aspenbridge.store import Changes

if TYPE_CHECKING:
    from collections.abc import Callable, Mapping

    from aspenbridge.membership import Identity, Members
    from aspenbridge.ports import Clock
    from aspenbridge.store import Store, Stored

logger = logging.getLogger(__name__)
ADOPT_AT_ONCE = 32
RETRY_S = 1.0
RECOVER_ATTEMPTS = 5


class Adopter(Protocol):
    """Takes over one kind of open work."""

    async def adopt(self, failed: str, name: str) -> bool:
        """
        Take over a piece of work, or find that it has ended.

        :param failed: the fenced incarnation that owned it.
        :return: False when it must be tried again.
        """


class Takeover:
    """Fences and recovers incarnations, each in a task of its own."""

    def __init__(
        self,
        identity: Callable[[], Identity],
        store: Store,
        members: Members,
        clock: Clock,
        adopters: Mapping[str, Adopter],
    ) -> None:
        self._identity = identity
        self._store = store
        self._members = members
        self._clock = clock
        self._adopters = adopters
        self._tasks: dict[str, asyncio.Task[None]] = {}
        self.counters: Counter[str] = Counter()

    def start(self, incarnation: str, *, resume: bool = False) -> None:
        """
        Fence and recover an incarnation unless that already runs.

        :param resume: go on also when another host has fenced it.
        """
        if incarnation in self._tasks or incarnation == self._identity().incarnation:
            return
        task = asyncio.ensure_future(self._run(incarnation, resume))
        self._tasks[incarnation] = task
        task.add_done_callback(lambda _: self._tasks.pop(incarnation, None))

    async def aclose(self) -> None:
        """Stop every takeover; the sweep of another host goes on with it."""
        tasks = list(self._tasks.values())
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    async def _run(self, incarnation: str, resume: bool) -> None:
        try:
            if await self.fence(incarnation) or resume:
                await self._recover_all(incarnation)
        except Exception:
            self.counters["takeover.faults"] += 1
            logger.exception("the takeover of %s failed", incarnation)

    async def _recover_all(self, incarnation: str) -> None:
        for _ in range(RECOVER_ATTEMPTS):
            if await self.recover(incarnation):
                return
            await self._clock.sleep_until(self._clock.now_s() + RETRY_S)

    async def fence(self, incarnation: str) -> bool:
        """
        Make every later write of an incarnation fail.

        :return: whether this call did it, so that recovery falls to it.
        """
        key = host_key(incarnation)
        read = await self._store.get(key, HostRecord)
        if isinstance(read, Failure):
            return False
        stored = read.unwrap()
        if stored is None or stored.record.state != LIVE:
            self._members.declare_dead(incarnation)
            return False
        if not await self._raise_fence(stored):
            return False
        self._members.declare_dead(incarnation)
        return True

    async def _raise_fence(self, stored: Stored[HostRecord]) -> bool:
        fenced = attrs.evolve(stored.record, state=FENCED)
        changes = self._identity().guard(Changes().unchanged(stored))
        result = await self._store.commit(changes.put(stored.key, fenced))
        if isinstance(result, Failure):
            return False
        self.counters["takeover.fenced"] += 1
        logger.warning("incarnation %s is fenced", fenced.incarnation)
        return True

    async def recover(self, incarnation: str) -> bool:
        """Adopt the open work of a fenced incarnation, then drop its row."""
        prefix = owned_prefix(incarnation)
        scanned = await self._store.scan(OWNED_TABLE, prefix, OwnedRecord)
        if isinstance(scanned, Failure):
            return False
        owned = [stored.record for stored in scanned.unwrap()]
        adopted = True
        for start in range(0, len(owned), ADOPT_AT_ONCE):
            part = owned[start : start + ADOPT_AT_ONCE]
            results = await asyncio.gather(
                *(self._adopt(incarnation, item) for item in part)
            )
            adopted = adopted and all(results)
        return adopted and await self._drop_row(incarnation)

    async def leave(self) -> None:
        """
        End the own incarnation at a shutdown.

        Open work that is left makes other hosts recover it.
        """
        own = self._identity()
        prefix = owned_prefix(own.incarnation)
        scanned = await self._store.scan(OWNED_TABLE, prefix, OwnedRecord)
        key = host_key(own.incarnation)
        changes = own.guard(Changes())
        if isinstance(scanned, Success) and not scanned.unwrap():
            changes.delete(key)
        else:
            changes.put(key, attrs.evolve(own.record, state=FENCED))
        await self._store.commit(changes)

    async def _adopt(self, incarnation: str, item: OwnedRecord) -> bool:
        adopted = await self._adopters[item.kind].adopt(incarnation, item.name)
        self.counters["takeover.adopted"] += adopted
        return adopted

    async def _drop_row(self, incarnation: str) -> bool:
        key = host_key(incarnation)
        read = await self._store.get(key, HostRecord)
        if isinstance(read, Failure):
            return False
        stored = read.unwrap()
        if stored is None:
            return True
        if stored.record.state != FENCED:
            return False
        changes = self._identity().guard(Changes().unchanged(stored))
        result = await self._store.commit(changes.delete(key))
        return isinstance(result, Success)
