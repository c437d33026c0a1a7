"""
Which hosts get a load report directly, and how often.

Answers the load of the reports themselves: what a host receives in a second is
bounded. In a small fleet each report goes to all other hosts at once. In a
larger one the reports become rarer. When they would become too old, they go to
a few hosts of each failure domain instead, and those pass them on within their
domain, so that few bytes cross domains.
"""

from __future__ import annotations

import math
from collections import defaultdict
from typing import TYPE_CHECKING

import attrs

if TYPE_CHECKING:
    from collections.abc import Iterable, Mapping
    from random import Random

    from ._datagrams import PeerAddress

SMALL_FLEET_PEERS = 12  # up to this many peers get each change at once
# Up to this many peers get each report directly; those of a host are then
# 0.75 s apart, so that two are sent while one is valid.
DIRECT_PEERS = 150
# The reports that a host receives on the mean in a fleet that is not small.
MAX_MESSAGES_PER_S = 200.0
# How often a report reaches each host on the mean, so that a lost datagram
# rarely keeps it from one.
COPIES = 2.5


@attrs.frozen
class Fanout:
    """
    How far a report is sent in one round.

    :ivar near: hosts of the own failure domain; they also get the reports that
        are passed on.
    :ivar far: hosts of each failure domain that pass the report on.
    :ivar interval_s: the least time between two rounds.
    """

    near: int
    far: int
    interval_s: float


def direct_interval_s(peers: int) -> float:
    """
    Return the least time between two reports that go to all peers.

    :param peers: the number of other hosts.
    """
    return 0.0 if peers <= SMALL_FLEET_PEERS else peers / MAX_MESSAGES_PER_S


def plan_fanout(hosts: int, domains: int) -> Fanout:
    """
    Return how far a report is sent in a fleet.

    Of all ways in which a report reaches each host ``COPIES`` times, this one
    needs the fewest messages.

    :param hosts: the number of hosts in the fleet.
    :param domains: the number of failure domains.
    """
    passed_on = COPIES * hosts / domains
    far = math.ceil(math.sqrt(passed_on / max(1, domains - 1)))
    near = max(far, math.ceil(passed_on / far))
    messages = near + far * (domains - 1)
    return Fanout(near, far, messages / MAX_MESSAGES_PER_S)


class Rounds:
    """
    Draws the recipients of each round; all get their turn.

    :param peers: the failure domain of each other host.
    """

    def __init__(
        self, peers: Mapping[PeerAddress, str], failure_domain: str, random: Random
    ) -> None:
        by_domain: dict[str, list[PeerAddress]] = defaultdict(list)
        for address, domain in peers.items():
            by_domain[domain].append(address)
        near = by_domain.pop(failure_domain, [])
        self.fanout = plan_fanout(len(peers) + 1, len(by_domain) + 1)
        self._near = _Turns(near, random)
        self._far = [_Turns(addresses, random) for addresses in by_domain.values()]

    def near(self) -> list[PeerAddress]:
        """Return the next hosts of the own failure domain."""
        return self._near.take(self.fanout.near)

    def far(self) -> list[PeerAddress]:
        """Return the next hosts of the other failure domains."""
        return [
            address for turns in self._far for address in turns.take(self.fanout.far)
        ]


class _Turns:
    """Goes through hosts in a random order, again and again."""

    def __init__(self, addresses: Iterable[PeerAddress], random: Random) -> None:
        self._addresses = list(addresses)
        random.shuffle(self._addresses)
        self._next = 0

    def take(self, count: int) -> list[PeerAddress]:
        count = min(count, len(self._addresses))
        first, self._next = self._next, self._next + count
        taken = self._addresses[first : self._next]
        if len(taken) < count:
            self._next = count - len(taken)
            taken += self._addresses[: self._next]
        return taken
