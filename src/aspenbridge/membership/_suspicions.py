"""
Suspicions about hosts, resolved through the table service.

A host that receives no answer from any peer can't tell whether it is cut off
or is the last live host. It writes a suspicion row for the peer; a peer that
is alive and reaches the table service deletes the row.
"""

from __future__ import annotations

from enum import Enum
from typing import TYPE_CHECKING

import attrs
from returns.result import Failure

from aspenbridge.ports import RowKey
from aspenbridge.store import Changes

if TYPE_CHECKING:
    from collections.abc import Callable

    from aspenbridge.ports import Clock
    from aspenbridge.store import Store

    from ._identity import Identity

SUSPICIONS_TABLE = "host_doubts"
# Each host reads one row per interval: 84 reads/s in a fleet of 420 hosts.
SUSPICION_ANSWER_INTERVAL_S = 5.0
# Two answer intervals, so that one answer may be lost, and 2 s for the calls
# to the table service.
ANSWER_LIMIT_S = 2 * SUSPICION_ANSWER_INTERVAL_S + 2.0


class SuspicionState(Enum):
    """State of a suspicion, as read from the table service."""

    OPEN = "open"
    ALIVE = "alive"
    FAILED = "gone"


@attrs.frozen
class SuspicionRecord:
    """
    Suspicion row; the suspected incarnation deletes it if it is alive.

    ``doubter`` is the incarnation of the host that wrote the row.
    """

    doubter: str


@attrs.frozen
class _OpenSuspicion:
    since_s: float
    answer_until_s: float


class StoredSuspicions:
    """Writes suspicions of other hosts; answers those about this host."""

    def __init__(
        self, identity: Callable[[], Identity], store: Store, clock: Clock
    ) -> None:
        self._identity = identity
        self._store = store
        self._clock = clock
        self._open: dict[str, _OpenSuspicion] = {}

    async def resolve(self, incarnation: str, since_s: float) -> SuspicionState:
        """
        Find out through the table service whether a suspected host is alive.

        The first call for a suspicion writes the row and returns ``OPEN``, and
        so do later calls until the row is gone or ``ANSWER_LIMIT_S`` has
        passed since the write. A row that is gone means ``ALIVE``. A row that
        is still there after the limit is deleted, and the result is
        ``FAILED``. While the table service is unavailable, the suspicion stays
        ``OPEN``.

        :param since_s: when the suspicion began, on the monotonic clock; a
            different value starts a new suspicion.
        """
        opened = self._open.get(incarnation)
        if opened is None or opened.since_s != since_s:
            await self._open_suspicion(incarnation, since_s)
            return SuspicionState.OPEN
        read = await self._store.get(_key(incarnation), SuspicionRecord)
        if isinstance(read, Failure):
            return SuspicionState.OPEN
        if read.unwrap() is None:
            del self._open[incarnation]
            return SuspicionState.ALIVE
        if self._clock.now_s() < opened.answer_until_s:
            return SuspicionState.OPEN
        return await self._declare_failed(incarnation)

    async def _open_suspicion(self, incarnation: str, since_s: float) -> None:
        suspicion = SuspicionRecord(self._identity().incarnation)
        written = await self._store.commit(Changes().put(_key(incarnation), suspicion))
        if not isinstance(written, Failure):
            answer_until_s = self._clock.now_s() + ANSWER_LIMIT_S
            self._open[incarnation] = _OpenSuspicion(since_s, answer_until_s)

    async def _declare_failed(self, incarnation: str) -> SuspicionState:
        deleted = await self._store.commit(Changes().delete(_key(incarnation)))
        if isinstance(deleted, Failure):
            return SuspicionState.OPEN
        del self._open[incarnation]
        return SuspicionState.FAILED

    async def answer(self) -> None:
        """Delete a suspicion row about this host, if there is one."""
        key = _key(self._identity().incarnation)
        read = await self._store.get(key, SuspicionRecord)
        if isinstance(read, Failure) or (stored := read.unwrap()) is None:
            # On a failed read the next interval answers; ANSWER_LIMIT_S allows
            # for one lost answer.
            return
        await self._store.commit(Changes().unchanged(stored).delete(key))


def _key(incarnation: str) -> RowKey:
    return RowKey(SUSPICIONS_TABLE, incarnation)
