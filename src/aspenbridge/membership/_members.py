"""The hosts that this one knows, from probes and from the host list."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

from aspenbridge.ports import PeerAddress

if TYPE_CHECKING:
    from aspenbridge.peers import MemberNews
    from aspenbridge.ports import Clock

LIVE = "live"
LEAVING = "leaving"
DEAD = "dead"
DEAD_KEPT_S = 600.0


@attrs.define
class Member:
    """One other host, as last heard of."""

    news: MemberNews
    heard_s: float

    @property
    def address(self) -> PeerAddress:
        """Where the member listens for peers."""
        return PeerAddress.parse(self.news.address)


class Members:
    """Other hosts by incarnation; newer news wins by its counter."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._members: dict[str, Member] = {}

    def hear(self, news: MemberNews, *, direct: bool) -> None:
        """
        Take in news of a host.

        :param direct: whether the host itself sent it just now.
        """
        member = self._members.get(news.incarnation)
        now_s = self._clock.now_s()
        if member is None:
            self._members[news.incarnation] = Member(news, now_s)
            return
        if member.news.state == DEAD:
            return
        if news.state == DEAD:
            member.news = attrs.evolve(member.news, state=DEAD)
            member.heard_s = now_s
        elif news.counter > member.news.counter:
            member.news = news
            member.heard_s = now_s
        elif direct:
            member.heard_s = now_s

    def declare_dead(self, incarnation: str) -> None:
        """Mark a member as dead; only a newer incarnation comes back."""
        member = self._members.get(incarnation)
        if member is not None:
            member.news = attrs.evolve(member.news, state=DEAD)
            member.heard_s = self._clock.now_s()

    def forget_dead(self) -> None:
        """Drop members that have been dead for long."""
        limit_s = self._clock.now_s() - DEAD_KEPT_S
        self._members = {
            name: member
            for name, member in self._members.items()
            if member.news.state != DEAD or member.heard_s > limit_s
        }

    def present(self) -> list[Member]:
        """Return the members that are not dead."""
        return [item for item in self._members.values() if item.news.state != DEAD]

    def find(self, incarnation: str) -> Member | None:
        """Return a member, or None."""
        return self._members.get(incarnation)

    def live(self) -> list[Member]:
        """Return the members that are neither dead nor leaving."""
        return [item for item in self._members.values() if item.news.state == LIVE]

    def silent_since(self, limit_s: float) -> list[Member]:
        """Return live members that were last heard of before a moment."""
        return [item for item in self.live() if item.heard_s < limit_s]

    def news(self) -> tuple[MemberNews, ...]:
        """Return what is known of every member."""
        return tuple(item.news for item in self._members.values())
