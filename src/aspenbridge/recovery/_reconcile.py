"""Finds own open work that no task runs, left by ambiguous commits."""

from __future__ import annotations

from typing import TYPE_CHECKING, Protocol

from returns.result import Failure

from aspenbridge.membership import OWNED_TABLE, OwnedRecord, owned_prefix

from ._takeover import Adopter

if TYPE_CHECKING:
    from collections.abc import Callable, Mapping

    from aspenbridge.membership import Identity
    from aspenbridge.store import Store

# Two scans have to find the work idle before it is run, within the 60 s in
# which all work ends after a fault; a scan reads one prefix.
RECONCILE_INTERVAL_S = 20.0


class Worker(Adopter, Protocol):
    """An adopter that knows which work it runs."""

    def runs(self, name: str) -> bool:
        """Return whether a piece of work runs on this host."""


class Reconciler:
    """Adopts own work that two scans in a row have found idle."""

    def __init__(
        self,
        identity: Callable[[], Identity],
        store: Store,
        workers: Mapping[str, Worker],
    ) -> None:
        self._identity = identity
        self._store = store
        self._workers = workers
        self._idle: set[tuple[str, str]] = set()

    async def run(self) -> None:
        """Scan the own index once."""
        own = self._identity().incarnation
        scanned = await self._store.scan(OWNED_TABLE, owned_prefix(own), OwnedRecord)
        if isinstance(scanned, Failure):
            return
        owned = [stored.record for stored in scanned.unwrap()]
        idle = {
            (item.kind, item.name)
            for item in owned
            if not self._workers[item.kind].runs(item.name)
        }
        for kind, name in sorted(idle & self._idle):
            await self._workers[kind].adopt(own, name)
        self._idle = idle
