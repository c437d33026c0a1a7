"""The other hosts known to this host, from probes and from host rows."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

from aspenbridge.ports import PeerAddress

if TYPE_CHECKING:
    from aspenbridge.peers import MemberNews
    from aspenbridge.ports import Clock

LIVE = "live"
LEAVING = "leaving"
FAILED = "dead"  # the value in messages between hosts
FAILED_RETENTION_S = 600.0


@attrs.define
class Member:
    """The newest known state of another host, and when it was received."""

    news: MemberNews
    received_s: float

    @property
    def address(self) -> PeerAddress:
        """Address at which the member receives messages from peers."""
        return PeerAddress.parse(self.news.address)


class Members:
    """Other hosts by incarnation; a higher counter marks a newer state."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._members: dict[str, Member] = {}

    def apply(self, news: MemberNews, *, direct: bool) -> None:
        """
        Apply the state of a host as reported by itself or by another host.

        A report that a member has failed applies whatever its counter; a
        failed member never becomes live again.

        :param direct: whether the message came from the host itself, which
            then counts as received now even if its counter is not newer.
        """
        member = self._members.get(news.incarnation)
        now_s = self._clock.now_s()
        if member is None:
            self._members[news.incarnation] = Member(news, now_s)
            return
        if member.news.state == FAILED:
            return
        if news.state == FAILED:
            member.news = attrs.evolve(member.news, state=FAILED)
            member.received_s = now_s
        elif news.counter > member.news.counter:
            member.news = news
            member.received_s = now_s
        elif direct:
            member.received_s = now_s

    def declare_failed(self, incarnation: str) -> None:
        """
        Mark a member as failed.

        Its host, if it still runs, has to register as a new incarnation.
        """
        member = self._members.get(incarnation)
        if member is not None:
            member.news = attrs.evolve(member.news, state=FAILED)
            member.received_s = self._clock.now_s()

    def remove_failed(self) -> None:
        """Remove members marked failed over ``FAILED_RETENTION_S`` ago."""
        limit_s = self._clock.now_s() - FAILED_RETENTION_S
        self._members = {
            incarnation: member
            for incarnation, member in self._members.items()
            if member.news.state != FAILED or member.received_s > limit_s
        }

    def present(self) -> list[Member]:
        """Return the members that have not failed."""
        return [
            member for member in self._members.values() if member.news.state != FAILED
        ]

    def find(self, incarnation: str) -> Member | None:
        """Return the member of an incarnation, or None if it is unknown."""
        return self._members.get(incarnation)

    def live(self) -> list[Member]:
        """Return the members that have neither failed nor are leaving."""
        return [
            member for member in self._members.values() if member.news.state == LIVE
        ]

    def not_received_since(self, limit_s: float) -> list[Member]:
        """Return the live members with no update received since a time."""
        return [member for member in self.live() if member.received_s < limit_s]

    def news(self) -> tuple[MemberNews, ...]:
        """Return the newest known state of each member, failed or not."""
        return tuple(member.news for member in self._members.values())
