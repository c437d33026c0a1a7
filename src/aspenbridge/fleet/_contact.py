"""
What this host reaches: the store, and the other hosts.

Answers a host that is cut off: one that can't be told from an outage of the
store goes on, one that hears nobody else leaves new work to the others.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from ._hosts import REACHED_S, SILENCE_LIMIT_S

if TYPE_CHECKING:
    from ._follower import Follower
    from ._hosts import Heartbeat, HostTable
    from ._load import LoadBoard

FRESH_LIMIT_S = 2.5  # a feed without news is confirmed more often than this


class Contact:
    """Judged by the host's own row, the table of hosts and their reports."""

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
        beaten = self._heartbeat.age_s < REACHED_S
        return beaten or self.hosts_current

    @property
    def hosts_current(self) -> bool:
        """
        Whether it is known which hosts live.

        The table of hosts that was read before an outage shows none alive.
        """
        return self._follower.age_s < FRESH_LIMIT_S

    @property
    def replaced(self) -> bool:
        """Whether others take this host for gone, and claim what it runs."""
        return self._heartbeat.age_s > SILENCE_LIMIT_S and self._hosts.any_reported()

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
