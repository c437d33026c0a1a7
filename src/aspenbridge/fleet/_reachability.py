"""
Whether this host reaches the store and the other hosts.

A host that loses only the store goes on serving, because the store itself may
be down. A host that receives no reports from the other hosts either is cut
off; it reports that it is not ready, so that new requests go to other hosts.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from ._hosts import LIVENESS_TIMEOUT_S, STORE_REACHED_S

if TYPE_CHECKING:
    from ._follower import Follower
    from ._hosts import Heartbeat, HostTable
    from ._load import LoadView

# A change feed answers more often than this, also without changes, and each
# answer confirms that the copy is current.
FRESH_LIMIT_S = 2.5


class Reachability:
    """
    Which parts of the fleet this host reaches.

    Derived from the renewal of its own row, the table of hosts and the load
    reports of the other hosts.
    """

    def __init__(
        self,
        heartbeat: Heartbeat,
        follower: Follower,
        hosts: HostTable,
        load_view: LoadView,
    ) -> None:
        self._heartbeat = heartbeat
        self._follower = follower
        self._hosts = hosts
        self._load_view = load_view

    @property
    def reaches_store(self) -> bool:
        """Whether the store has answered this host recently."""
        renewed = self._heartbeat.age_s < STORE_REACHED_S
        return renewed or self.hosts_current

    @property
    def hosts_current(self) -> bool:
        """
        Whether this host knows which hosts are live.

        A copy of the hosts table that was read before an outage of the store
        shows every host as lost, since it receives no renewals.
        """
        return self._follower.age_s < FRESH_LIMIT_S

    @property
    def presumed_lost(self) -> bool:
        """Whether other hosts regard this one as lost and claim its jobs."""
        return (
            self._heartbeat.age_s > LIVENESS_TIMEOUT_S
            and self._hosts.any_peer_reached_store()
        )

    @property
    def others_may_reach_store(self) -> bool:
        """
        Whether another host may reach the store while this one doesn't.

        Also true when this host receives reports from fewer than half of the
        other hosts, since the rest of them may reach the store.
        """
        reporting = self._load_view.reporting_hosts()
        return (
            self._hosts.any_peer_reached_store() or reporting < self._other_hosts() / 2
        )

    @property
    def cut_off(self) -> bool:
        """
        Whether this host reaches neither the store nor any other host.

        False if a single host is listed, which is taken to be this one.
        """
        if self.reaches_store or not self._other_hosts():
            return False
        return self._load_view.reporting_hosts() == 0

    def _other_hosts(self) -> int:
        return self._hosts.listed_count() - 1
