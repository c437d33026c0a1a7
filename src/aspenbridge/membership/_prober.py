"""Probes one peer after another and spreads news of the rest."""

from __future__ import annotations

from typing import TYPE_CHECKING, Protocol

from returns.result import Success

from aspenbridge.peers import Ack, MemberNews, Probe, ProbeReply
from aspenbridge.ports import PeerAddress, PeerUnreachableError

from ._members import DEAD, LIVE

if TYPE_CHECKING:
    from collections.abc import Callable
    from random import Random

    from aspenbridge.peers import ProbeVia
    from aspenbridge.ports import Clock, HostList, PeerTransport
    from aspenbridge.settings import MembershipSettings

    from ._identity import Identity
    from ._members import Members

NEWS_AT_ONCE = 8


class RevisionSpread(Protocol):
    """What probes carry about the configuration."""

    @property
    def revision(self) -> int:
        """The revision in force on this host."""

    @property
    def confirmed_age_s(self) -> float:
        """The age of the read that confirmed it; negative for none."""

    def hear(self, peer: PeerAddress, revision: int, confirmed_s: float | None) -> None:
        """Take in what a peer knows."""


class _NoSpread:
    """Carries nothing, until the host puts its follower here."""

    revision = 0
    confirmed_age_s = -1.0

    def hear(self, peer: PeerAddress, revision: int, confirmed_s: float | None) -> None:
        """Ignore what a peer knows."""


class Prober:
    """Keeps the member list by probing peers in random order."""

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
        self._listed: tuple[PeerAddress, ...] = ()
        self.listed_hosts: int | None = None
        self._counter = 0
        self.spread: RevisionSpread = _NoSpread()
        self.state = LIVE
        self.on_declared_dead: Callable[[], None] = lambda: None

    def own_news(self) -> MemberNews:
        """Return the news of this host."""
        record = self._identity().record
        self._counter += 1
        return MemberNews(
            incarnation=record.incarnation,
            address=record.address,
            state=self.state,
            region=record.region,
            failure_domain=record.failure_domain,
            counter=self._counter,
            revision=self.spread.revision,
        )

    async def read_host_list(self) -> None:
        """Learn new addresses from the platform."""
        result = await self._host_list.hosts()
        if isinstance(result, Success):
            own = self._identity().record.address
            entries = result.unwrap()
            self._listed = tuple(
                PeerAddress.parse(entry.address)
                for entry in entries
                if entry.address != own
            )
            self.listed_hosts = len(self._listed) + 1

    def targets(self) -> list[PeerAddress]:
        """Return the address of each peer that may be alive."""
        known = {member.address for member in self._members.present()}
        return sorted(known | set(self._listed))

    async def probe(self, target: PeerAddress) -> str | None:
        """Probe a peer and return the incarnation that answers, or None."""
        asked_s = self._clock.now_s()
        deadline_s = asked_s + self._settings.probe_timeout_s
        probe = Probe(
            self.own_news(),
            self._some_news(),
            self.spread.revision,
            self.spread.confirmed_age_s,
        )
        try:
            reply = await self._peers.call(target, probe, deadline_s)
        except PeerUnreachableError:
            return None
        if not isinstance(reply, ProbeReply):
            return None
        self._learn(reply, asked_s)
        return reply.sender.incarnation

    async def answer_via(self, request: ProbeVia) -> Ack:
        """Probe a third host for a peer."""
        answered = await self.probe(PeerAddress.parse(request.target))
        return Ack(ok=answered is not None, detail=answered or "")

    def answer(self, probe: Probe) -> ProbeReply:
        """Answer a peer's probe and learn from it."""
        sent_s = self._clock.now_s() - self._settings.probe_timeout_s  # at the latest
        self._learn(probe, sent_s)
        return ProbeReply(
            self.own_news(),
            self._some_news(),
            self.spread.revision,
            self.spread.confirmed_age_s,
        )

    def _learn(self, message: Probe | ProbeReply, sent_s: float) -> None:
        own = self._identity().incarnation
        age_s = message.confirmed_age_s
        confirmed_s = sent_s - age_s if age_s >= 0 else None
        peer = PeerAddress.parse(message.sender.address)
        self.spread.hear(peer, message.revision, confirmed_s)
        self._members.hear(message.sender, direct=True)
        for news in message.news:
            if news.incarnation != own:
                self._members.hear(news, direct=False)
                address = PeerAddress.parse(news.address)
                self.spread.hear(address, news.revision, None)
            elif news.state == DEAD:
                self.on_declared_dead()

    def _some_news(self) -> tuple[MemberNews, ...]:
        news = self._members.news()
        return tuple(self._random.sample(news, min(NEWS_AT_ONCE, len(news))))
