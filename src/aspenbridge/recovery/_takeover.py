"""Fencing of failed incarnations and takeover of their open work."""

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
MAX_CONCURRENT_TAKEOVERS = 32
RETRY_INTERVAL_S = 1.0
MAX_RECOVERY_ATTEMPTS = 5


class TakeoverHandler(Protocol):
    """Takes over open work of one kind."""

    async def take_over(self, failed: str, name: str) -> bool:
        """
        Take over a work item unless it has ended.

        :param failed: the incarnation that owns the item: a fenced one, or
            this host's own for work that no task runs.
        :return: False if the call must be repeated, for example because the
            store was unavailable.
        """


class Takeover:
    """Fences failed incarnations and recovers their work, a task for each."""

    def __init__(
        self,
        identity: Callable[[], Identity],
        store: Store,
        members: Members,
        clock: Clock,
        handlers: Mapping[str, TakeoverHandler],
    ) -> None:
        self._identity = identity
        self._store = store
        self._members = members
        self._clock = clock
        self._handlers = handlers
        self._tasks: dict[str, asyncio.Task[None]] = {}
        self.counters: Counter[str] = Counter()

    def start(self, incarnation: str, *, resume: bool = False) -> None:
        """
        Fence and recover an incarnation unless a task already does so.

        :param resume: recover it even if another host has fenced it.
        """
        if incarnation in self._tasks or incarnation == self._identity().incarnation:
            return
        task = asyncio.ensure_future(self._run(incarnation, resume))
        self._tasks[incarnation] = task
        task.add_done_callback(lambda _: self._tasks.pop(incarnation, None))

    async def aclose(self) -> None:
        """Cancel all takeovers; the sweep of another host resumes them."""
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
            logger.exception("takeover of incarnation %s failed", incarnation)

    async def _recover_all(self, incarnation: str) -> None:
        """Recover an incarnation; if all attempts fail, a sweep resumes it."""
        for _ in range(MAX_RECOVERY_ATTEMPTS):
            if await self.recover(incarnation):
                return
            await self._clock.sleep_until(self._clock.now_s() + RETRY_INTERVAL_S)

    async def fence(self, incarnation: str) -> bool:
        """
        Make all later guarded writes of an incarnation fail.

        The incarnation is also declared failed in the member list, unless its
        row could not be read or written.

        :return: whether this call fenced it, so that the caller must recover
            its work.
        """
        key = host_key(incarnation)
        read = await self._store.get(key, HostRecord)
        if isinstance(read, Failure):
            return False
        stored = read.unwrap()
        if stored is None or stored.record.state != LIVE:
            self._members.declare_failed(incarnation)
            return False
        if not await self._write_fence(stored):
            return False
        self._members.declare_failed(incarnation)
        return True

    async def _write_fence(self, stored: Stored[HostRecord]) -> bool:
        fenced = attrs.evolve(stored.record, state=FENCED)
        changes = self._identity().guard(Changes().unchanged(stored))
        result = await self._store.commit(changes.put(stored.key, fenced))
        if isinstance(result, Failure):
            return False
        self.counters["takeover.fenced"] += 1
        logger.warning("incarnation %s is fenced", fenced.incarnation)
        return True

    async def recover(self, incarnation: str) -> bool:
        """
        Take over the open work of a fenced incarnation, then delete its row.

        :return: whether all work was taken over and the row is gone.
        """
        prefix = owned_prefix(incarnation)
        scanned = await self._store.scan(OWNED_TABLE, prefix, OwnedRecord)
        if isinstance(scanned, Failure):
            return False
        owned = [stored.record for stored in scanned.unwrap()]
        all_taken_over = True
        for start in range(0, len(owned), MAX_CONCURRENT_TAKEOVERS):
            group = owned[start : start + MAX_CONCURRENT_TAKEOVERS]
            results = await asyncio.gather(
                *(self._take_over_item(incarnation, item) for item in group)
            )
            all_taken_over = all_taken_over and all(results)
        return all_taken_over and await self._delete_row(incarnation)

    async def deregister(self) -> None:
        """
        End the incarnation of this host at shutdown.

        If open work remains or can't be listed, the row is marked as fenced
        instead of deleted, so that another host recovers the work.
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

    async def _take_over_item(self, incarnation: str, item: OwnedRecord) -> bool:
        taken_over = await self._handlers[item.kind].take_over(incarnation, item.name)
        self.counters["takeover.adopted"] += taken_over
        return taken_over

    async def _delete_row(self, incarnation: str) -> bool:
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
