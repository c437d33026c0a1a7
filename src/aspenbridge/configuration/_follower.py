"""Keeps a host's view at the newest revision."""

from __future__ import annotations

from typing import TYPE_CHECKING

from returns.result import Failure

from aspenbridge.ports import RowKey

from ._authority import HEAD, change_key
from ._objects import Change, ConfigObject, Head

if TYPE_CHECKING:
    from aspenbridge.ports import Clock
    from aspenbridge.store import Store

    from ._view import View

CHANGES_AT_ONCE = 200


class Follower:
    """Reads the head row and the changes that the view lacks."""

    def __init__(self, store: Store, clock: Clock, view: View) -> None:
        self._store = store
        self._clock = clock
        self._view = view
        self.confirmed_s: float | None = None

    async def refresh(self) -> bool:
        """Bring the view up to the head; return whether that worked."""
        asked_s = self._clock.now_s()
        read = await self._store.get(HEAD, Head)
        if isinstance(read, Failure):
            return False
        head = read.unwrap()
        newest = head.record.revision if head else 0
        if not await self._catch_up(newest):
            return False
        self.confirmed_s = asked_s
        return True

    async def _catch_up(self, newest: int) -> bool:
        missing = newest - self._view.revision
        if missing <= 0:
            return True
        if self._view.revision == 0 or missing > CHANGES_AT_ONCE:
            return await self._load_snapshot(newest)
        revisions = range(self._view.revision + 1, newest + 1)
        keys = [change_key(revision) for revision in revisions]
        read = await self._store.get_many(keys, Change)
        if isinstance(read, Failure):
            return False
        for stored in read.unwrap():
            if stored is not None:
                self._view.apply(stored.record)
        return self._view.revision >= newest

    async def _load_snapshot(self, newest: int) -> bool:
        read = await self._store.scan("config", "object/", ConfigObject)
        if isinstance(read, Failure):
            return False
        objects = [stored.record for stored in read.unwrap()]
        self._view.replace(newest, objects)
        return True


__all__ = ["Follower", "RowKey"]
