"""Probes one peer after another and spreads news of the rest."""

from __future__ import annotations

from typing import TYPE_CHECKING

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
        self._counter = 0
        self.revision: Callable[[], int] = lambda: 0
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

    def targets(self) -> list[PeerAddress]:
        """Return the address of each peer that may be alive."""
        known = {member.address for member in self._members.present()}
        return sorted(known | set(self._listed))

    async def probe(self, target: PeerAddress) -> str | None:
        """Probe a peer and return the incarnation that answers, or None."""
        deadline_s = self._clock.now_s() + self._settings.probe_timeout_s
        probe = Probe(self.own_news(), self._some_news(), self.revision())
        try:
            reply = await self._peers.call(target, probe, deadline_s)
        except PeerUnreachableError:
            return None
        if not isinstance(reply, ProbeReply):
            return None
        self._learn(reply)
        return reply.sender.incarnation

    async def answer_via(self, request: ProbeVia) -> Ack:
        """Probe a third host for a peer."""
        answered = await self.probe(PeerAddress.parse(request.target))
        return Ack(ok=answered is not None, detail=answered or "")

    def answer(self, probe: Probe) -> ProbeReply:
        """Answer a peer's probe and learn from it."""
        self._learn(probe)
        return ProbeReply(self.own_news(), self._some_news(), self.revision())

    def _learn(self, message: Probe | ProbeReply) -> None:
        own = self._identity().incarnation
        self._members.hear(message.sender, direct=True)
        for news in message.news:
            if news.incarnation != own:
                self._members.hear(news, direct=False)
            elif news.state == DEAD:
                self.on_declared_dead()

    def _some_news(self) -> tuple[MemberNews, ...]:
        news = self._members.news()
        return tuple(self._random.sample(news, min(NEWS_AT_ONCE, len(news))))
