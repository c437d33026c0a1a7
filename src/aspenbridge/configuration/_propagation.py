"""Propagates revisions between hosts and checks that this one is current."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import attrs

from aspenbridge.peers import Ack, RevisionNotice
from aspenbridge.ports import PeerAddress, PeerUnreachableError

from ._freshness import Freshness, FreshnessInputs, FreshnessPolicy

if TYPE_CHECKING:
    from collections.abc import Callable

    from aspenbridge.membership import Member, Members
    from aspenbridge.ports import Clock, PeerTransport
    from aspenbridge.settings import ConfigurationSettings

    from ._follower import Follower

NOTICE_TIMEOUT_S = 1.0


@attrs.frozen
class AnnounceResult:
    """How many of the known hosts applied an announced revision."""

    in_force_hosts: int
    known_hosts: int


class RevisionPropagation:
    """
    Announces and receives configuration revisions on one host.

    Also decides whether the host may act on the revision that it has applied.
    """

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
        Create the propagation of one host.

        :param follower: holds the revision that this host has applied.
        :param members: the hosts that this host knows.
        :param listed_hosts: returns the number of hosts on the platform's host
            list, this one included, or None while the list was never read.
        """
        self._listed_hosts = listed_hosts
        self._follower = follower
        self._members = members
        self._peers = peers
        self._clock = clock
        self._settings = settings
        self._policy = FreshnessPolicy(settings.fresh_limit_s)

    def freshness_inputs(self) -> FreshnessInputs:
        """Return the current inputs of the freshness policy."""
        now_s = self._clock.now_s()
        members = self._members.live()
        since_s = now_s - self._settings.fresh_limit_s
        reached = [member for member in members if member.received_s >= since_s]
        return FreshnessInputs(
            now_s=now_s,
            revision=self._follower.revision,
            newest_reported=self._follower.newest_reported,
            confirmed_s=self._follower.confirmed_s,
            reached_hosts=len(reached) + 1,
            known_hosts=max(len(members) + 1, self._listed_hosts() or 0),
            host_list_read=self._listed_hosts() is not None,
        )

    def freshness(self) -> Freshness:
        """Return whether this host may act on its revision, and why."""
        return self._policy.evaluate(self.freshness_inputs())

    def may_serve(self) -> bool:
        """Return whether the host may accept new work under its settings."""
        if self._settings.when_unknown == "serve":
            return True
        # This runs for each request; the usual case needs no count of hosts.
        now_s = self._clock.now_s()
        if self._policy.recently_confirmed(now_s, self._follower.confirmed_s):
            return True
        return self.freshness().may_act

    def reaches_majority(self) -> bool:
        """Return whether this host is in contact with a majority of hosts."""
        return self.freshness_inputs().reaches_majority

    async def wait_for_poll(self, jitter: float) -> None:
        """
        Wait until the next poll of the table service is due.

        Newer revisions that peers report meanwhile are fetched at once.

        :param jitter: a factor of the poll interval.
        """
        interval_s = self._settings.poll_interval_s * jitter
        deadline_s = self._clock.now_s() + interval_s
        while await self._follower.wait_for_report(deadline_s):
            await self._follower.fetch_reported()

    async def answer(self, notice: RevisionNotice) -> Ack:
        """Apply an announced revision; the reply tells whether that worked."""
        self._follower.receive_revision(
            PeerAddress.parse(notice.address), notice.revision
        )
        if notice.revision > self._follower.revision:
            await self._follower.fetch_reported()
        return Ack(ok=self._follower.revision >= notice.revision)

    async def announce(self, revision: int, address: str) -> AnnounceResult:
        """
        Apply an accepted revision here and announce it to every live peer.

        :param revision: the revision that was accepted.
        :param address: the address that peers fetch the changes from.
        :return: how many hosts, this one included, have applied it.
        """
        await self._follower.refresh()
        members = self._members.live()
        notice = RevisionNotice(revision, address)
        applied = await asyncio.gather(
            *(self._notify(peer, notice) for peer in members)
        )
        own = self._follower.revision >= revision
        return AnnounceResult(sum(applied) + own, len(members) + 1)

    async def _notify(self, member: Member, notice: RevisionNotice) -> bool:
        """Send a notice; return whether the peer has applied the revision."""
        deadline_s = self._clock.now_s() + NOTICE_TIMEOUT_S
        try:
            reply = await self._peers.call(member.address, notice, deadline_s)
        except PeerUnreachableError:
            return False
        return isinstance(reply, Ack) and reply.ok
