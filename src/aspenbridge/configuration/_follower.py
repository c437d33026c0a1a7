"""Keeps a host's view at the newest revision."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import msgspec
from returns.result import Failure

from aspenbridge.peers import ChangesReply, ChangesRequest
from aspenbridge.ports import PeerUnreachableError

from ._authority import HEAD, change_key
from ._log import ChangeLog, decode_changes
from ._objects import Change, ConfigObject, Head

if TYPE_CHECKING:
    from aspenbridge.ports import Clock, PeerAddress, PeerTransport
    from aspenbridge.store import Store

    from ._view import View

CHANGES_AT_ONCE = 200
SEED_CHANGES = 100
PEER_TIMEOUT_S = 1.0


class Follower:
    """Brings in the changes that the view lacks, from the table or a peer."""

    def __init__(
        self,
        store: Store,
        clock: Clock,
        view: View,
        peers: PeerTransport | None = None,
    ) -> None:
        self._store = store
        self._clock = clock
        self._view = view
        self._peers = peers
        self._log = ChangeLog()
        self._noticed = asyncio.Event()
        self._informant: PeerAddress | None = None
        self._busy = asyncio.Lock()
        self.newest_heard = 0
        self.confirmed_s: float | None = None

    @property
    def revision(self) -> int:
        """The revision in force on this host."""
        return self._view.revision

    @property
    def confirmed_age_s(self) -> float:
        """The age of the read that confirmed it; negative for none."""
        if self.confirmed_s is None:
            return -1.0
        return self._clock.now_s() - self.confirmed_s

    async def refresh(self) -> bool:
        """Bring the view up to the head; return whether that worked."""
        async with self._busy:
            asked_s = self._clock.now_s()
            newest = await self._head()
            if newest is None or not await self._catch_up(newest):
                await self._pull()
                return False
            self._confirm(asked_s)
            return True

    async def pull(self) -> None:
        """Bring in what a peer told of, from the table if the peer fails."""
        async with self._busy:
            if await self._pull():
                return
        await self.refresh()

    async def wait(self, deadline_s: float) -> bool:
        """Return at the deadline, or True as soon as a peer tells of more."""
        left_s = max(0.0, deadline_s - self._clock.now_s())
        try:
            async with asyncio.timeout(left_s):
                await self._noticed.wait()
        except TimeoutError:
            return False
        self._noticed.clear()
        return True

    def hear(
        self, peer: PeerAddress, revision: int, confirmed_s: float | None = None
    ) -> None:
        """
        Take in what a peer knows.

        :param confirmed_s: no later than when the head was read that made
            the peer sure of the revision; None when it is not sure.
        """
        self.newest_heard = max(self.newest_heard, revision)
        if revision > self._view.revision:
            self._informant = peer
            self._noticed.set()
        elif confirmed_s is not None:
            self._confirm(confirmed_s)

    def answer(self, request: ChangesRequest) -> ChangesReply:
        """Give a peer the changes that it lacks."""
        return ChangesReply(self._view.revision, self._log.after(request.after))

    def _confirm(self, moment_s: float) -> None:
        if self.confirmed_s is None or moment_s > self.confirmed_s:
            self.confirmed_s = moment_s

    async def _head(self) -> int | None:
        read = await self._store.get(HEAD, Head)
        if isinstance(read, Failure):
            return None
        head = read.unwrap()
        return head.record.revision if head else 0

    async def _catch_up(self, newest: int) -> bool:
        missing = newest - self._view.revision
        if missing <= 0:
            return True
        if self._view.revision == 0 or missing > CHANGES_AT_ONCE:
            return await self._load_snapshot(newest)
        changes = await self._changes(self._view.revision, newest)
        if changes is None:
            return False
        for change in changes:
            self._apply(change)
        return self._view.revision >= newest

    def _apply(self, change: Change) -> None:
        if self._view.apply(change):
            self._log.add(change)

    async def _changes(self, after: int, newest: int) -> list[Change] | None:
        keys = [change_key(revision) for revision in range(after + 1, newest + 1)]
        read = await self._store.get_many(keys, Change)
        if isinstance(read, Failure):
            return None
        stored = read.unwrap()
        found = [item.record for item in stored if item is not None]
        return found if len(found) == len(keys) else None

    async def _load_snapshot(self, before: int) -> bool:
        """
        Scan all objects and replay what was accepted during the scan.

        Some earlier changes are replayed as well, so that peers which lack
        them can have them from this host.
        """
        read = await self._store.scan("config", "object/", ConfigObject)
        newest = await self._head()
        if isinstance(read, Failure) or newest is None:
            return False
        changes = await self._changes(max(0, before - SEED_CHANGES), newest)
        if changes is None:
            return False
        objects = {
            (stored.record.kind, stored.record.name): stored.record
            for stored in read.unwrap()
        }
        for change in changes:
            for place in change.removed:
                objects.pop(place, None)
            objects.update({(item.kind, item.name): item for item in change.put})
        self._view.replace(newest, objects.values())
        for change in changes:
            self._log.add(change)
        return True

    async def _pull(self) -> bool:
        """Ask the peer that knows more; return whether it had all of it."""
        peer, wanted = self._informant, self.newest_heard
        if self._peers is None or peer is None or wanted <= self._view.revision:
            return False
        request = ChangesRequest(self._view.revision)
        deadline_s = self._clock.now_s() + PEER_TIMEOUT_S
        try:
            reply = await self._peers.call(peer, request, deadline_s)
            changes = decode_changes(getattr(reply, "changes", ()))
        except (PeerUnreachableError, msgspec.MsgspecError):
            return False
        for change in changes:
            self._apply(change)
        return self._view.revision >= wanted


__all__ = ["Follower"]
