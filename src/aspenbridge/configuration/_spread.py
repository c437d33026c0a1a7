"""Spreads new revisions between hosts and judges how current this one is."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import attrs

from aspenbridge.peers import Ack, RevisionNotice
from aspenbridge.ports import PeerAddress, PeerUnreachableError

from ._freshness import FreshnessPolicy, Knowledge, Verdict

if TYPE_CHECKING:
    from collections.abc import Callable

    from aspenbridge.membership import Member, Members
    from aspenbridge.ports import Clock, PeerTransport
    from aspenbridge.settings import ConfigurationSettings

    from ._follower import Follower

NOTICE_TIMEOUT_S = 1.0


@attrs.frozen
class Notified:
    """How many hosts took a new revision when they were told of it."""

    in_force: int
    known_hosts: int


class Spread:
    """One host's part in bringing each revision to every host."""

    def __init__(
        self,
        follower: Follower,
        members: Members,
        peers: PeerTransport,
        clock: Clock,
        settings: ConfigurationSettings,
        listed_hosts: Callable[[], int | None] = lambda: None,
    ) -> None:
        """
        Keep what the freshness rule looks at.

        :param listed_hosts: the hosts of the platform's list, this one
            included, or None as long as it could not be read.
        """
        self._listed_hosts = listed_hosts
        self._follower = follower
        self._members = members
        self._peers = peers
        self._clock = clock
        self._settings = settings
        self._policy = FreshnessPolicy(settings.fresh_limit_s)

    def knowledge(self) -> Knowledge:
        """Return what the freshness rule looks at."""
        now_s = self._clock.now_s()
        known = self._members.live()
        since_s = now_s - self._settings.fresh_limit_s
        reached = [member for member in known if member.received_s >= since_s]
        return Knowledge(
            now_s=now_s,
            revision=self._follower.revision,
            newest_heard=self._follower.newest_heard,
            confirmed_s=self._follower.confirmed_s,
            reached_hosts=len(reached) + 1,
            known_hosts=max(len(known) + 1, self._listed_hosts() or 0),
            list_was_read=self._listed_hosts() is not None,
        )

    def verdict(self) -> Verdict:
        """Return whether the known revision may be acted on."""
        return self._policy.judge(self.knowledge())

    def may_serve(self) -> bool:
        """Return whether new work may be taken under the settings."""
        if self._settings.when_unknown == "serve":
            return True
        now_s = self._clock.now_s()
        if self._policy.confirmed(now_s, self._follower.confirmed_s):
            return True  # the usual case, asked for each request: count no hosts
        return self.verdict().sure

    def reaches_majority(self) -> bool:
        """Return whether this host is in contact with most known hosts."""
        return self.knowledge().majority

    async def wait_for_poll(self, jitter: float) -> None:
        """Wait for the next poll; pull what peers tell of until then."""
        interval_s = self._settings.poll_interval_s * jitter
        deadline_s = self._clock.now_s() + interval_s
        while await self._follower.wait(deadline_s):
            await self._follower.pull()

    async def answer(self, notice: RevisionNotice) -> Ack:
        """Bring in a revision that the accepting host tells of."""
        self._follower.hear(PeerAddress.parse(notice.address), notice.revision)
        if notice.revision > self._follower.revision:
            await self._follower.pull()
        return Ack(ok=self._follower.revision >= notice.revision)

    async def announce(self, revision: int, address: str) -> Notified:
        """
        Bring an accepted revision into force here and tell every peer.

        :param address: where peers reach this host.
        """
        await self._follower.refresh()
        known = self._members.live()
        notice = RevisionNotice(revision, address)
        told = await asyncio.gather(*(self._tell(peer, notice) for peer in known))
        own = self._follower.revision >= revision
        return Notified(sum(told) + own, len(known) + 1)

    async def _tell(self, member: Member, notice: RevisionNotice) -> bool:
        deadline_s = self._clock.now_s() + NOTICE_TIMEOUT_S
        try:
            reply = await self._peers.call(member.address, notice, deadline_s)
        except PeerUnreachableError:
            return False
        return isinstance(reply, Ack) and reply.ok
