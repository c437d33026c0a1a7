"""
What this host reaches: the store, and the other hosts.

Answers a host that is cut off: one that can't be told from an outage of the
store goes on, one that hears nobody else leaves new work to the others.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from ._follower import Follower
    from ._hosts import Heartbeat, HostTable
    from ._load import LoadBoard

FRESH_LIMIT_S = 2.5  # a feed without news is confirmed more often than this


class Contact:
    """Judged by the host's own row, a feed and the reports of others."""

    def __init__(
        self,
        heartbeat: Heartbeat,
        follower: Follower,
        hosts: HostTable,
        board: LoadBoard,
    ) -> None:
        self._heartbeat = heartbeat
        self._follower = follower
        self._hosts = hosts
        self._board = board

    @property
    def store(self) -> bool:
        """Whether the store has answered this host lately."""
        return self._heartbeat.store_reached or self._follower.age_s < FRESH_LIMIT_S

    @property
    def store_of_others(self) -> bool:
        """Whether another host may reach the store where this one doesn't."""
        heard = self._board.hosts_heard()
        return self._hosts.any_reported() or heard < self._others() / 2

    @property
    def cut_off(self) -> bool:
        """Whether neither the store nor any of the known hosts is heard."""
        if self.store or not self._others():
            return False
        return self._board.hosts_heard() == 0

    def _others(self) -> int:
        return self._hosts.known() - 1
