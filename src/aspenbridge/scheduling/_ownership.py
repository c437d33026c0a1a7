"""The owner of each engine group, computed from this host's member list."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

from aspenbridge.membership import rank
from aspenbridge.routing import region_of

if TYPE_CHECKING:
    from collections.abc import Callable

    from aspenbridge.membership import Identity, Members
    from aspenbridge.ports import PeerAddress


@attrs.frozen
class _Candidate:
    incarnation: str
    region: str


class Ownership:
    """
    Chooses the owner of an engine group by rendezvous hashing.

    The candidates are the live hosts in the group's region, or all live hosts
    if the region has none. This host is left out while it is leaving, unless
    it knows no other live host.
    """

    def __init__(
        self,
        identity: Callable[[], Identity],
        members: Members,
        leaving: Callable[[], bool],
    ) -> None:
        self._identity = identity
        self._members = members
        self._leaving = leaving
        self._candidates: frozenset[_Candidate] = frozenset()
        self._owners: dict[str, str] = {}

    def own_incarnation(self) -> str:
        """Return the incarnation id of this host."""
        return self._identity().incarnation

    def refresh(self) -> bool:
        """Read the member list; return whether the candidates changed."""
        candidates = {
            _Candidate(member.news.incarnation, member.news.region)
            for member in self._members.live()
        }
        if not self._leaving() or not candidates:
            record = self._identity().record
            candidates.add(_Candidate(record.incarnation, record.region))
        if candidates == self._candidates:
            return False
        self._candidates = frozenset(candidates)
        self._owners.clear()
        return True

    def live_hosts(self) -> set[str]:
        """Return the incarnations of the live hosts and of this host."""
        return {candidate.incarnation for candidate in self._candidates} | {
            self.own_incarnation()
        }

    def owner_of(self, group: str) -> str:
        """Return the incarnation of the host that owns a group."""
        if not self._candidates:
            self.refresh()
        owner = self._owners.get(group)
        if owner is None:
            owner = rank(self._candidates_for_region(region_of(group)), group)[0]
            self._owners[group] = owner
        return owner

    def address_of(self, incarnation: str) -> PeerAddress | None:
        """Return the peer address of a host, or None if it is not a member."""
        member = self._members.find(incarnation)
        return None if member is None else member.address

    def _candidates_for_region(self, region: str) -> list[str]:
        in_region = [
            candidate.incarnation
            for candidate in self._candidates
            if candidate.region == region
        ]
        return in_region or [candidate.incarnation for candidate in self._candidates]
