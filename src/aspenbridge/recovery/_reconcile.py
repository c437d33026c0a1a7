"""Finds open work of this host that no task runs after a lost reply."""

from __future__ import annotations

from typing import TYPE_CHECKING, Protocol

from returns.result import Failure

from aspenbridge.membership import OWNED_TABLE, OwnedRecord, owned_prefix

from ._takeover import TakeoverHandler

if TYPE_CHECKING:
    from collections.abc import Callable, Mapping

    from aspenbridge.membership import Identity
    from aspenbridge.store import Store

# All work must end within 60 s after a fault, and work is run only after two
# scans have found it idle. A scan reads the rows of one key prefix.
RECONCILE_INTERVAL_S = 20.0


class Worker(TakeoverHandler, Protocol):
    """A takeover handler that also reports which work runs on this host."""

    def is_running(self, name: str) -> bool:
        """Return whether a work item runs on this host."""


class Reconciler:
    """
    Restarts work of this host that two scans in a row have found idle.

    A commit whose reply was lost may have made this host the owner of work
    that it never started.
    """

    def __init__(
        self,
        identity: Callable[[], Identity],
        store: Store,
        workers: Mapping[str, Worker],
    ) -> None:
        self._identity = identity
        self._store = store
        self._workers = workers
        self._idle_at_last_scan: set[tuple[str, str]] = set()

    async def run(self) -> None:
        """Scan the index of this host's open work once."""
        own = self._identity().incarnation
        scanned = await self._store.scan(OWNED_TABLE, owned_prefix(own), OwnedRecord)
        if isinstance(scanned, Failure):
            return
        owned = [stored.record for stored in scanned.unwrap()]
        idle = {
            (item.kind, item.name)
            for item in owned
            if not self._workers[item.kind].is_running(item.name)
        }
        for kind, name in sorted(idle & self._idle_at_last_scan):
            await self._workers[kind].take_over(own, name)
        self._idle_at_last_scan = idle
