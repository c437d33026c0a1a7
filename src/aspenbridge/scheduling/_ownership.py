"""Which host hands out the places of a group, as this host sees it."""

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
    """Rendezvous over live hosts, those in the group's region first."""

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

    def own(self) -> str:
        """Return this host's incarnation."""
        return self._identity().incarnation

    def refresh(self) -> bool:
        """Take over the member list; return whether it has changed."""
        found = {
            _Candidate(item.news.incarnation, item.news.region)
            for item in self._members.live()
        }
        if not self._leaving() or not found:
            record = self._identity().record
            found.add(_Candidate(record.incarnation, record.region))
        if found == self._candidates:
            return False
        self._candidates = frozenset(found)
        self._owners.clear()
        return True

    def live(self) -> set[str]:
        """Return the hosts that may hold places, this one included."""
        return {item.incarnation for item in self._candidates} | {self.own()}

    def owner_of(self, group: str) -> str:
        """Return the incarnation that should own a group."""
        if not self._candidates:
            self.refresh()
        owner = self._owners.get(group)
        if owner is None:
            owner = rank(self._near(region_of(group)), group)[0]
            self._owners[group] = owner
        return owner

    def address(self, incarnation: str) -> PeerAddress | None:
        """Return where a host listens, if it is known."""
        member = self._members.find(incarnation)
        return None if member is None else member.address

    def _near(self, region: str) -> list[str]:
        near = [x.incarnation for x in self._candidates if x.region == region]
        return near or [x.incarnation for x in self._candidates]
