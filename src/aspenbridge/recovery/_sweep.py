"""A paced scan of the host rows for incarnations that nobody watches."""

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
SHORTEST_INTERVAL_S = 10.0
HOSTS_PER_S = 12.0


def sweep_interval_s(live_hosts: int) -> float:
    """Return the time between two sweeps; it grows with the fleet."""
    return max(SHORTEST_INTERVAL_S, live_hosts / HOSTS_PER_S)


class HostSweep:
    """A few hosts, chosen by rendezvous, read all host rows now and then."""

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
        """Time until the next sweep."""
        return sweep_interval_s(len(self._members.live()) + 1)

    async def run(self) -> None:
        """Check the own row; a sweeper also reads all the others."""
        await self.check_own()
        own = self._identity().incarnation
        sweepers = rank(self._owners(), "host-sweep")[:SWEEPERS]
        if own not in sweepers:
            return
        scanned = await self._store.scan(HOSTS_TABLE, "", HostRecord)
        if isinstance(scanned, Failure):
            return
        for stored in scanned.unwrap():
            if stored.record.incarnation != own:
                self._consider(stored, sweepers)

    async def check_own(self) -> None:
        """Notice that this host was fenced."""
        key = host_key(self._identity().incarnation)
        read = await self._store.get(key, HostRecord)
        if isinstance(read, Failure):
            return
        stored = read.unwrap()
        if stored is None or stored.record.state != LIVE:
            self._on_fenced()

    def _owners(self) -> list[str]:
        live = [item.news.incarnation for item in self._members.live()]
        return [self._identity().incarnation, *live]

    def _consider(self, stored: Stored[HostRecord], sweepers: list[str]) -> None:
        """Watch a live row; go on with a takeover that was broken off."""
        record = stored.record
        if record.state == FENCED:
            own = self._identity().incarnation
            if rank(sweepers, record.incarnation)[0] == own:
                self._takeover.start(record.incarnation, resume=True)
            return
        if self._members.find(record.incarnation) is None:
            self._members.hear(_news(record), direct=False)


def _news(record: HostRecord) -> MemberNews:
    return MemberNews(
        incarnation=record.incarnation,
        address=record.address,
        state=LIVE,
        region=record.region,
        failure_domain=record.failure_domain,
        counter=0,
    )
