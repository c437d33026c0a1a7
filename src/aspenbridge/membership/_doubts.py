"""
Doubts about hosts, settled in the table by a host that hears no peer.

Answers a host that can't tell whether it is cut off or is the last one left:
a peer that lives and reaches the table takes the doubt about it away.
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

DOUBTS_TABLE = "host_doubts"
ANSWER_INTERVAL_S = 5.0  # one read of each host; 84 a second of 420 hosts
# Two answers, of which one may be lost, and the calls that carry them.
ANSWER_LIMIT_S = 2 * ANSWER_INTERVAL_S + 2.0


class Verdict(Enum):
    """What the table says of a host."""

    OPEN = "open"
    ALIVE = "alive"
    GONE = "gone"


@attrs.frozen
class DoubtRecord:
    """Asks an incarnation to remove this row."""

    doubter: str


@attrs.frozen
class _Raised:
    since_s: float
    answer_until_s: float


class Doubts:
    """Raises doubts about other hosts and answers those about this one."""

    def __init__(
        self, identity: Callable[[], Identity], store: Store, clock: Clock
    ) -> None:
        self._identity = identity
        self._store = store
        self._clock = clock
        self._raised: dict[str, _Raised] = {}

    async def verdict(self, incarnation: str, since_s: float) -> Verdict:
        """
        Return whether a silent host lives; asks it by the table first.

        :param since_s: when its silence began; a new silence is asked anew.
        """
        raised = self._raised.get(incarnation)
        if raised is None or raised.since_s != since_s:
            await self._raise(incarnation, since_s)
            return Verdict.OPEN
        read = await self._store.get(_key(incarnation), DoubtRecord)
        if isinstance(read, Failure):
            return Verdict.OPEN
        if read.unwrap() is None:
            del self._raised[incarnation]
            return Verdict.ALIVE
        if self._clock.now_s() < raised.answer_until_s:
            return Verdict.OPEN
        return await self._give_up(incarnation)

    async def _raise(self, incarnation: str, since_s: float) -> None:
        doubt = DoubtRecord(self._identity().incarnation)
        written = await self._store.commit(Changes().put(_key(incarnation), doubt))
        if not isinstance(written, Failure):
            until_s = self._clock.now_s() + ANSWER_LIMIT_S
            self._raised[incarnation] = _Raised(since_s, until_s)

    async def _give_up(self, incarnation: str) -> Verdict:
        dropped = await self._store.commit(Changes().delete(_key(incarnation)))
        if isinstance(dropped, Failure):
            return Verdict.OPEN
        del self._raised[incarnation]
        return Verdict.GONE

    async def answer(self) -> None:
        """Take away a doubt about this host."""
        key = _key(self._identity().incarnation)
        read = await self._store.get(key, DoubtRecord)
        if isinstance(read, Failure) or (stored := read.unwrap()) is None:
            return  # the next answer comes soon; the limit allows for one lost
        await self._store.commit(Changes().unchanged(stored).delete(key))


def _key(incarnation: str) -> RowKey:
    return RowKey(DOUBTS_TABLE, incarnation)
