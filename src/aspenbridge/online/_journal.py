"""The journal of calls that must run at most once."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs
from returns.result import Failure, Result, Success

from aspenbridge.lifecycle import load_chart
from aspenbridge.membership import LIVE, HostRecord, host_key
from aspenbridge.ports import Conflict, RowKey
from aspenbridge.store import Changes

if TYPE_CHECKING:
    from collections.abc import Callable

    from aspenbridge.membership import Identity
    from aspenbridge.ports import Clock, ServiceReply, Unavailable
    from aspenbridge.store import Store, Stored, StoreError

CHART = load_chart("call")
SENT = CHART.initial
DONE = "done"
NOT_SENT = "not_sent"
UNKNOWN = "unknown"
MARK_LIMIT_S = 3600.0
MARK_RETRY_S = 2.0


@attrs.frozen
class CallRecord:
    """The journal of one call that must run at most once."""

    call_id: str
    customer: str
    owner: str
    state: str
    digest: str
    status: int = 0
    body: bytes = b""
    content_type: str = ""

    def after(self, event: str) -> CallRecord:
        """Return the record in the state that follows an event."""
        return attrs.evolve(self, state=CHART.next_state(self.state, event))


def call_key(customer: str, service: str, name: str) -> RowKey:
    """Return the row of a journalled call."""
    return RowKey("calls", f"{customer}/{service}/{name}")


class Journal:
    """Writes down calls before they are sent, and what became of them."""

    def __init__(
        self, identity: Callable[[], Identity], store: Store, clock: Clock
    ) -> None:
        self._identity = identity
        self._store = store
        self._clock = clock

    async def open(
        self, key: RowKey, record: CallRecord, version: int = 0
    ) -> Result[int, StoreError]:
        """
        Journal a call as sent; return the version of its row.

        :param version: that of an earlier entry whose call was not sent.
        """
        changes = self._identity().guard(Changes().check(key, version))
        result = await self._store.commit(changes.put(key, record))
        return result.map(lambda committed: committed.versions[key])

    async def read(self, key: RowKey) -> Result[Stored[CallRecord] | None, Unavailable]:
        """Return the entry of a call."""
        return await self._store.get(key, CallRecord)

    async def replied(
        self, key: RowKey, version: int, record: CallRecord, reply: ServiceReply
    ) -> None:
        """Keep the reply of a call, through outages."""
        done = attrs.evolve(
            record.after("reply"),
            status=reply.status,
            body=reply.body,
            content_type=reply.content_type,
        )
        await self._mark(key, version, done)

    async def lost(self, key: RowKey, version: int, record: CallRecord) -> None:
        """Keep that nobody knows what became of a call."""
        await self._mark(key, version, record.after("lose"))

    async def refused(self, key: RowKey, version: int, record: CallRecord) -> None:
        """Keep that no byte of a call went out, so that it may be sent."""
        await self._mark(key, version, record.after("refuse"))

    async def withdraw(self, key: RowKey, version: int, record: CallRecord) -> None:
        """
        Settle an entry that may or may not have been written.

        Its call was never sent. Either the entry is found and marked, or a
        mark is written in its place, so that a write that takes effect later
        fails its check.
        """
        limit_s = self._clock.now_s() + MARK_LIMIT_S
        mark = record.after("refuse")
        while self._clock.now_s() < limit_s:
            read = await self.read(key)
            if isinstance(read, Success):
                found = read.unwrap()
                current = found.version if found else 0
                ours = found is not None and found.record == record
                if not ours and current != version:
                    return
                changes = Changes().check(key, current).put(key, mark)
                if isinstance(await self._store.commit(changes), Success):
                    return
            await self._clock.sleep_until(self._clock.now_s() + MARK_RETRY_S)

    async def owner_lives(self, record: CallRecord) -> bool:
        """Return whether the host that journalled a call may still end it."""
        read = await self._store.get(host_key(record.owner), HostRecord)
        if isinstance(read, Failure):
            return True
        stored = read.unwrap()
        return stored is not None and stored.record.state == LIVE

    async def _mark(self, key: RowKey, version: int, record: CallRecord) -> None:
        limit_s = self._clock.now_s() + MARK_LIMIT_S
        changes = Changes().check(key, version).put(key, record)
        while self._clock.now_s() < limit_s:
            result = await self._store.commit(changes)
            if isinstance(result, Success) or isinstance(result.failure(), Conflict):
                return
            await self._clock.sleep_until(self._clock.now_s() + MARK_RETRY_S)
