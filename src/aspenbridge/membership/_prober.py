"""Probes of peers, which also exchange the known states of other hosts."""

from __future__ import annotations

from typing import TYPE_CHECKING, Protocol

from returns.result import Success

from aspenbridge.peers import Ack, MemberNews, Probe, ProbeReply
from aspenbridge.ports import PeerAddress, PeerUnreachableError

from ._members import FAILED, LIVE

if TYPE_CHECKING:
    from collections.abc import Callable
    from random import Random

    from aspenbridge.peers import ProbeVia
    from aspenbridge.ports import Clock, HostList, PeerTransport
    from aspenbridge.settings import MembershipSettings

    from ._identity import Identity
    from ._members import Members

MAX_NEWS_PER_MESSAGE = 8


class RevisionTracker(Protocol):
    """Tracks the configuration revisions of this host and of its peers."""

    @property
    def revision(self) -> int:
        """Configuration revision in force on this host."""

    @property
    def confirmed_age_s(self) -> float:
        """Age of the read that confirmed the revision; negative if none."""

    def receive_revision(
        self, peer: PeerAddress, revision: int, confirmed_s: float | None
    ) -> None:
        """
        Receive the revision that a peer reports.

        :param confirmed_s: a time on this host's monotonic clock, no later
            than when the peer confirmed the revision; None if unknown.
        """


class _NoRevisionTracker:
    """Placeholder without a revision until the host sets its tracker."""

    revision = 0
    confirmed_age_s = -1.0

    def receive_revision(
        self, peer: PeerAddress, revision: int, confirmed_s: float | None
    ) -> None:
        """Ignore the revision that a peer reports."""


class Prober:
    """Probes peers, answers probes, and updates the member list from both."""

    def __init__(
        self,
        identity: Callable[[], Identity],
        members: Members,
        peers: PeerTransport,
        host_list: HostList,
        clock: Clock,
        random: Random,
        settings: MembershipSettings,
    ) -> None:
        self._identity = identity
        self._members = members
        self._peers = peers
        self._host_list = host_list
        self._clock = clock
        self._random = random
        self._settings = settings
        self._listed_addresses: tuple[PeerAddress, ...] = ()
        # Number of hosts on the host list and this one; None until it is read.
        self.listed_hosts: int | None = None
        self._counter = 0
        self.revision_tracker: RevisionTracker = _NoRevisionTracker()
        self.state = LIVE
        # Called when a peer reports this host's incarnation as failed.
        self.on_declared_failed: Callable[[], None] = lambda: None

    def own_news(self) -> MemberNews:
        """Return the current state of this host, with a new counter."""
        record = self._identity().record
        self._counter += 1
        return MemberNews(
            incarnation=record.incarnation,
            address=record.address,
            state=self.state,
            region=record.region,
            failure_domain=record.failure_domain,
            counter=self._counter,
            revision=self.revision_tracker.revision,
        )

    async def read_host_list(self) -> None:
        """Read the addresses of hosts from the platform's host list."""
        result = await self._host_list.hosts()
        if isinstance(result, Success):
            own = self._identity().record.address
            entries = result.unwrap()
            self._listed_addresses = tuple(
                PeerAddress.parse(entry.address)
                for entry in entries
                if entry.address != own
            )
            self.listed_hosts = len(self._listed_addresses) + 1

    def targets(self) -> list[PeerAddress]:
        """Return the addresses of listed peers and of members not failed."""
        member_addresses = {member.address for member in self._members.present()}
        return sorted(member_addresses | set(self._listed_addresses))

    async def probe(self, target: PeerAddress) -> str | None:
        """Probe a peer; return the incarnation that answers, or None."""
        sent_s = self._clock.now_s()
        deadline_s = sent_s + self._settings.probe_timeout_s
        probe = Probe(
            self.own_news(),
            self._sample_news(),
            self.revision_tracker.revision,
            self.revision_tracker.confirmed_age_s,
        )
        try:
            reply = await self._peers.call(target, probe, deadline_s)
        except PeerUnreachableError:
            return None
        if not isinstance(reply, ProbeReply):
            return None
        self._apply_message(reply, sent_s)
        return reply.sender.incarnation

    async def answer_via(self, request: ProbeVia) -> Ack:
        """Probe the target host on behalf of the requesting peer."""
        answered_by = await self.probe(PeerAddress.parse(request.target))
        return Ack(ok=answered_by is not None, detail=answered_by or "")

    def answer(self, probe: Probe) -> ProbeReply:
        """Apply the content of a peer's probe and return the answer."""
        # The probe was sent at most one timeout ago. Assuming the earliest
        # time keeps the peer's confirmation from looking newer than it is.
        sent_s = self._clock.now_s() - self._settings.probe_timeout_s
        self._apply_message(probe, sent_s)
        return ProbeReply(
            self.own_news(),
            self._sample_news(),
            self.revision_tracker.revision,
            self.revision_tracker.confirmed_age_s,
        )

    def _apply_message(self, message: Probe | ProbeReply, sent_s: float) -> None:
        own = self._identity().incarnation
        age_s = message.confirmed_age_s
        confirmed_s = sent_s - age_s if age_s >= 0 else None
        peer = PeerAddress.parse(message.sender.address)
        self.revision_tracker.receive_revision(peer, message.revision, confirmed_s)
        self._members.apply(message.sender, direct=True)
        for news in message.news:
            if news.incarnation != own:
                self._members.apply(news, direct=False)
                address = PeerAddress.parse(news.address)
                self.revision_tracker.receive_revision(address, news.revision, None)
            elif news.state == FAILED:
                self.on_declared_failed()

    def _sample_news(self) -> tuple[MemberNews, ...]:
        news = self._members.news()
        return tuple(self._random.sample(news, min(MAX_NEWS_PER_MESSAGE, len(news))))
