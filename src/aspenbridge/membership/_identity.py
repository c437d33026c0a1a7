"""Durable row of a host incarnation; a changed row version fences the host."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs
from returns.result import Failure, Result, Success

from aspenbridge.ports import Conflict, RowKey
from aspenbridge.store import Changes
from aspenbridge.work import new_id

from ._owned import OwnedRecord, owned_key

if TYPE_CHECKING:
    from random import Random

    from aspenbridge.ports import Clock, PeerAddress, Unavailable
    from aspenbridge.settings import HostSettings
    from aspenbridge.store import Store

HOSTS_TABLE = "hosts"
LIVE = "live"
FENCED = "fenced"


@attrs.frozen
class HostRecord:
    """Row of one incarnation: one start or re-registration of a host."""

    incarnation: str
    host: str
    address: str
    region: str
    failure_domain: str
    state: str
    since_wall_s: float


@attrs.frozen
class Identity:
    """The incarnation of this host and the version of its row."""

    record: HostRecord
    version: int

    @property
    def incarnation(self) -> str:
        """Id of the incarnation, unique over all hosts."""
        return self.record.incarnation

    def guard(self, changes: Changes) -> Changes:
        """Add a check that fails the commit after this host is fenced."""
        return changes.check(host_key(self.incarnation), self.version)

    def add_owned(self, changes: Changes, kind: str, name: str) -> Changes:
        """Add an index row for a work item that this incarnation now owns."""
        key = owned_key(self.incarnation, kind, name)
        return self.guard(changes).put(key, OwnedRecord(kind, name))

    def remove_owned(self, changes: Changes, kind: str, name: str) -> Changes:
        """Delete the index row of a work item that ended or was released."""
        return self.guard(changes).delete(owned_key(self.incarnation, kind, name))


def host_key(incarnation: str) -> RowKey:
    """Return the key of an incarnation's row."""
    return RowKey(HOSTS_TABLE, incarnation)


async def register(
    store: Store, clock: Clock, random: Random, host: HostSettings, peer: PeerAddress
) -> Result[Identity, Unavailable]:
    """
    Create an incarnation and write its row.

    :param peer: the address at which other hosts reach this host.
    :return: the identity that guards the durable writes of the incarnation,
        or the failure to write the row.
    :raises RuntimeError: when the generated incarnation id is already in use.
    """
    record = HostRecord(
        incarnation=new_id(host.name, random),
        host=host.name,
        address=str(peer),
        region=host.region,
        failure_domain=host.failure_domain,
        state=LIVE,
        since_wall_s=clock.wall_s(),
    )
    key = host_key(record.incarnation)
    result = await store.commit(Changes().absent(key).put(key, record))
    if isinstance(result, Failure):
        error = result.failure()
        if isinstance(error, Conflict):
            raise RuntimeError(
                f"incarnation id {record.incarnation!r} is already in use"
            )
        return Failure(error)
    return Success(Identity(record, result.unwrap().versions[key]))
