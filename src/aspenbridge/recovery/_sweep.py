"""Periodic scan of the host rows for incarnations that no host monitors."""

from __future__ import annotations

from typing import TYPE_CHECKING

from returns.result import Failure

from aspenbridge.membership import (
    FENCED,
    HOSTS_TABLE,
    LIVE,
    HostRecord,
    host_key,
    rank,
)
from aspenbridge.peers import MemberNews

if TYPE_CHECKING:
    from collections.abc import Callable

    from aspenbridge.membership import Identity, Members
    from aspenbridge.store import Store, Stored

    from ._takeover import Takeover

SWEEPERS = 3
MIN_INTERVAL_S = 10.0
# Upper limit on the rate at which a sweeper reads rows of live hosts.
HOSTS_PER_S = 12.0


def sweep_interval_s(live_hosts: int) -> float:
    """Return the time between two sweeps; it grows with the fleet."""
    return max(MIN_INTERVAL_S, live_hosts / HOSTS_PER_S)


class HostSweep:
    """
    Checks the rows of hosts at intervals.

    Each host checks its own row. A few hosts, selected by rendezvous hashing,
    also read the rows of all other hosts.
    """

    def __init__(
        self,
        identity: Callable[[], Identity],
        store: Store,
        members: Members,
        takeover: Takeover,
        on_fenced: Callable[[], None],
    ) -> None:
        self._identity = identity
        self._store = store
        self._members = members
        self._takeover = takeover
        self._on_fenced = on_fenced

    @property
    def interval_s(self) -> float:
        """Time until the next sweep, for the current number of live hosts."""
        return sweep_interval_s(len(self._members.live()) + 1)

    async def run(self) -> None:
        """Check the row of this host; a sweeper also checks all other rows."""
        await self.check_own()
        own = self._identity().incarnation
        sweepers = rank(self._live_incarnations(), "host-sweep")[:SWEEPERS]
        if own not in sweepers:
            return
        scanned = await self._store.scan(HOSTS_TABLE, "", HostRecord)
        if isinstance(scanned, Failure):
            return
        for stored in scanned.unwrap():
            if stored.record.incarnation != own:
                self._check_row(stored, sweepers)

    async def check_own(self) -> None:
        """Call ``on_fenced`` if this host's row is missing or not live."""
        key = host_key(self._identity().incarnation)
        read = await self._store.get(key, HostRecord)
        if isinstance(read, Failure):
            return
        stored = read.unwrap()
        if stored is None or stored.record.state != LIVE:
            self._on_fenced()

    def _live_incarnations(self) -> list[str]:
        live = [member.news.incarnation for member in self._members.live()]
        return [self._identity().incarnation, *live]

    def _check_row(self, stored: Stored[HostRecord], sweepers: list[str]) -> None:
        """Resume the takeover of a fenced host; add an unknown live host."""
        record = stored.record
        if record.state == FENCED:
            own = self._identity().incarnation
            if rank(sweepers, record.incarnation)[0] == own:
                self._takeover.start(record.incarnation, resume=True)
            return
        if self._members.find(record.incarnation) is None:
            self._members.apply(_news(record), direct=False)


def _news(record: HostRecord) -> MemberNews:
    return MemberNews(
        incarnation=record.incarnation,
        address=record.address,
        state=LIVE,
        region=record.region,
        failure_domain=record.failure_domain,
        counter=0,
    )
