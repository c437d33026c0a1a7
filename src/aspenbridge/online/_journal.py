"""Journal of service calls that must be sent at most once."""

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
WRITE_RETRY_LIMIT_S = 3600.0
WRITE_RETRY_INTERVAL_S = 2.0


@attrs.frozen
class CallRecord:
    """
    Entry of one call that must be sent at most once.

    :ivar owner: the incarnation that journalled the call.
    :ivar state: a state of the ``call`` chart.
    :ivar digest: the digest of the call's method, path and body.
    :ivar status: the HTTP status of the reply, 0 without one.
    :ivar body: the body of the reply.
    :ivar content_type: the content type of the reply.
    """

    call_id: str
    customer: str
    owner: str
    state: str
    digest: str
    status: int = 0
    body: bytes = b""
    content_type: str = ""

    def after_event(self, event: str) -> CallRecord:
        """Return the record in the state that follows an event."""
        return attrs.evolve(self, state=CHART.next_state(self.state, event))


def call_key(customer: str, service: str, name: str) -> RowKey:
    """
    Return the key of the row of a journalled call.

    :param name: the idempotency key, or the id of a call without one.
    """
    return RowKey("calls", f"{customer}/{service}/{name}")


class Journal:
    """Records calls before they are sent, and their outcomes afterwards."""

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
        Journal a call as sent before it is sent; return its row's version.

        :param version: the version of an earlier entry to replace, whose call
            was not sent; 0 if there is none.
        """
        changes = self._identity().guard(Changes().check(key, version))
        result = await self._store.commit(changes.put(key, record))
        return result.map(lambda committed: committed.versions[key])

    async def read(self, key: RowKey) -> Result[Stored[CallRecord] | None, Unavailable]:
        """Return the entry of a call."""
        return await self._store.get(key, CallRecord)

    async def record_reply(
        self, key: RowKey, version: int, record: CallRecord, reply: ServiceReply
    ) -> None:
        """Record the reply of a call; retry during outages."""
        done = attrs.evolve(
            record.after_event("reply"),
            status=reply.status,
            body=reply.body,
            content_type=reply.content_type,
        )
        await self._write(key, version, done)

    async def record_unknown(
        self, key: RowKey, version: int, record: CallRecord
    ) -> None:
        """Record that the outcome of a call is unknown."""
        await self._write(key, version, record.after_event("lose"))

    async def record_not_sent(
        self, key: RowKey, version: int, record: CallRecord
    ) -> None:
        """Record that a call was not sent or was refused; a resend may run."""
        await self._write(key, version, record.after_event("refuse"))

    async def settle_unsent(
        self, key: RowKey, version: int, record: CallRecord
    ) -> None:
        """
        Mark an entry as not sent, whether or not it has been written.

        The call of the entry was never sent. If the entry has not been
        written, the mark is written in its place, so that a delayed write of
        the entry fails its version check.
        """
        limit_s = self._clock.now_s() + WRITE_RETRY_LIMIT_S
        not_sent = record.after_event("refuse")
        while self._clock.now_s() < limit_s:
            read = await self.read(key)
            if isinstance(read, Success):
                stored = read.unwrap()
                current_version = stored.version if stored else 0
                is_own_entry = stored is not None and stored.record == record
                if not is_own_entry and current_version != version:
                    return
                changes = Changes().check(key, current_version).put(key, not_sent)
                if isinstance(await self._store.commit(changes), Success):
                    return
            await self._clock.sleep_until(self._clock.now_s() + WRITE_RETRY_INTERVAL_S)

    async def is_owner_live(self, record: CallRecord) -> bool:
        """
        Return whether the host of a call may still record its outcome.

        This is assumed if the row of the host can't be read.
        """
        read = await self._store.get(host_key(record.owner), HostRecord)
        if isinstance(read, Failure):
            return True
        stored = read.unwrap()
        return stored is not None and stored.record.state == LIVE

    async def _write(self, key: RowKey, version: int, record: CallRecord) -> None:
        """Replace an entry; retry during outages, not after a conflict."""
        limit_s = self._clock.now_s() + WRITE_RETRY_LIMIT_S
        changes = Changes().check(key, version).put(key, record)
        while self._clock.now_s() < limit_s:
            result = await self._store.commit(changes)
            if isinstance(result, Success) or isinstance(result.failure(), Conflict):
                return
            await self._clock.sleep_until(self._clock.now_s() + WRITE_RETRY_INTERVAL_S)
