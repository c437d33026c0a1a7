"""Keeps the configuration view of a host at the newest revision."""

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

MAX_INCREMENTAL_CHANGES = 200  # a view that lacks more loads a snapshot
SNAPSHOT_LOG_CHANGES = 100  # changes before a snapshot that are kept for peers
PEER_TIMEOUT_S = 1.0


class Follower:
    """
    Applies the changes that the view lacks.

    Changes are read from the table service, or fetched from a peer that
    reported a newer revision.

    :ivar newest_reported: the highest revision that any peer has reported.
    :ivar confirmed_s: when the revision was last known to be the newest, in
        seconds of ``Clock.now_s``; None if it was never confirmed.
    """

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
        self._newer_reported = asyncio.Event()
        self._newer_peer: PeerAddress | None = None
        self._update_lock = asyncio.Lock()
        self.newest_reported = 0
        self.confirmed_s: float | None = None

    @property
    def revision(self) -> int:
        """The revision that this host has applied."""
        return self._view.revision

    @property
    def confirmed_age_s(self) -> float:
        """
        Seconds since the revision was last known to be the newest.

        Negative if it was never confirmed.
        """
        if self.confirmed_s is None:
            return -1.0
        return self._clock.now_s() - self.confirmed_s

    async def refresh(self) -> bool:
        """
        Bring the view to the newest revision of the table service.

        If the table service can't be read, changes are fetched from a peer
        that reported a newer revision, if there is one.

        :return: True if the table service was read and the view has its newest
            revision; False even if a peer supplied the changes.
        """
        async with self._update_lock:
            started_s = self._clock.now_s()
            newest = await self._read_head()
            if newest is None or not await self._catch_up(newest):
                await self._fetch_from_peer()
                return False
            self._confirm(started_s)
            return True

    async def fetch_reported(self) -> None:
        """
        Fetch the newest reported revision from the peer that reported it.

        If the peer does not reply or lacks some of the changes, the table
        service is read.
        """
        async with self._update_lock:
            if await self._fetch_from_peer():
                return
        await self.refresh()

    async def wait_for_report(self, deadline_s: float) -> bool:
        """
        Wait until a peer reports a newer revision.

        :return: False if no peer has reported one by the deadline.
        """
        remaining_s = max(0.0, deadline_s - self._clock.now_s())
        try:
            async with asyncio.timeout(remaining_s):
                await self._newer_reported.wait()
        except TimeoutError:
            return False
        self._newer_reported.clear()
        return True

    def receive_revision(
        self, peer: PeerAddress, revision: int, confirmed_s: float | None = None
    ) -> None:
        """
        Receive the revision that a peer reports.

        If this host lacks the revision, ``wait_for_report`` returns. If not,
        a confirmation by the peer also confirms this host's revision.

        :param peer: the peer, which is asked for changes that this host lacks.
        :param revision: the revision that the peer has applied.
        :param confirmed_s: a time on this host's monotonic clock, not later
            than the read of the head row that confirmed the revision as the
            newest; None if the peer's revision is not confirmed.
        """
        self.newest_reported = max(self.newest_reported, revision)
        if revision > self._view.revision:
            self._newer_peer = peer
            self._newer_reported.set()
        elif confirmed_s is not None:
            self._confirm(confirmed_s)

    def answer(self, request: ChangesRequest) -> ChangesReply:
        """Return changes that a peer lacks, as far as this host has them."""
        return ChangesReply(self._view.revision, self._log.after(request.after))

    def _confirm(self, confirmed_s: float) -> None:
        if self.confirmed_s is None or confirmed_s > self.confirmed_s:
            self.confirmed_s = confirmed_s

    async def _read_head(self) -> int | None:
        """Return the newest revision, or None if the head can't be read."""
        read = await self._store.get(HEAD, Head)
        if isinstance(read, Failure):
            return None
        head = read.unwrap()
        return head.record.revision if head else 0

    async def _catch_up(self, newest: int) -> bool:
        """Read missing changes or a snapshot; return whether that worked."""
        missing = newest - self._view.revision
        if missing <= 0:
            return True
        if self._view.revision == 0 or missing > MAX_INCREMENTAL_CHANGES:
            return await self._load_snapshot(newest)
        changes = await self._read_changes(self._view.revision, newest)
        if changes is None:
            return False
        for change in changes:
            self._apply(change)
        return self._view.revision >= newest

    def _apply(self, change: Change) -> None:
        if self._view.apply(change):
            self._log.add(change)

    async def _read_changes(self, after: int, newest: int) -> list[Change] | None:
        """Return the changes after a revision; None if one can't be read."""
        keys = [change_key(revision) for revision in range(after + 1, newest + 1)]
        read = await self._store.get_many(keys, Change)
        if isinstance(read, Failure):
            return None
        stored = read.unwrap()
        changes = [item.record for item in stored if item is not None]
        return changes if len(changes) == len(keys) else None

    async def _load_snapshot(self, before: int) -> bool:
        """
        Scan all objects, then apply the changes committed during the scan.

        A scan reads its pages at different times, so the objects alone may not
        be those of any one revision. Some changes before the scan are read as
        well and kept in the log, so that peers can fetch them from this host.

        :param before: the newest revision when the scan starts.
        :return: whether everything could be read.
        """
        read = await self._store.scan("config", "object/", ConfigObject)
        newest = await self._read_head()
        if isinstance(read, Failure) or newest is None:
            return False
        changes = await self._read_changes(
            max(0, before - SNAPSHOT_LOG_CHANGES), newest
        )
        if changes is None:
            return False
        objects = {
            (stored.record.kind, stored.record.name): stored.record
            for stored in read.unwrap()
        }
        for change in changes:
            for object_id in change.removed:
                objects.pop(object_id, None)
            objects.update({(item.kind, item.name): item for item in change.put})
        self._view.replace(newest, objects.values())
        for change in changes:
            self._log.add(change)
        return True

    async def _fetch_from_peer(self) -> bool:
        """
        Fetch changes from the peer that last reported a newer revision.

        :return: whether the view has now reached the newest reported revision.
        """
        peer, wanted = self._newer_peer, self.newest_reported
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
