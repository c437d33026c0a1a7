"""Failure detection: probes, indirect probes and a suspicion period."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from aspenbridge.peers import Ack, ProbeVia
from aspenbridge.ports import PeerUnreachableError

from ._doubts import Verdict

if TYPE_CHECKING:
    from collections.abc import Callable
    from random import Random

    from aspenbridge.ports import Clock, PeerAddress, PeerTransport
    from aspenbridge.settings import MembershipSettings

    from ._doubts import Doubts
    from ._members import Member, Members
    from ._prober import Prober

INDIRECT_PROBES = 3
SUSPECTS_AT_ONCE = 8


class FailureDetector:
    """Declares a peer failed once it was silent for the suspicion period."""

    def __init__(
        self,
        prober: Prober,
        members: Members,
        peers: PeerTransport,
        clock: Clock,
        random: Random,
        settings: MembershipSettings,
        doubts: Doubts,
        on_failed: Callable[[str], None],
    ) -> None:
        self._prober = prober
        self._members = members
        self._peers = peers
        self._clock = clock
        self._random = random
        self._settings = settings
        self._doubts = doubts
        self._on_failed = on_failed
        self._order: list[PeerAddress] = []
        self._suspected_s: dict[str, float] = {}
        self._answered_s = float("-inf")

    async def tick(self) -> None:
        """Probe the next peer, and again each peer under suspicion."""
        self._members.forget_dead()
        addresses = self._suspect_addresses()
        following = self._next_target()
        if following is not None and following not in addresses:
            addresses.append(following)
        await asyncio.gather(*(self._check(address) for address in addresses))

    def reset(self) -> None:
        """Forget every suspicion."""
        self._suspected_s.clear()
        self._order.clear()

    def _suspect_addresses(self) -> list[PeerAddress]:
        present = {item.news.incarnation: item for item in self._members.present()}
        self._suspected_s = {
            name: since_s
            for name, since_s in self._suspected_s.items()
            if name in present
        }
        found = {present[name].address for name in self._suspected_s}
        return sorted(found)[:SUSPECTS_AT_ONCE]

    def _next_target(self) -> PeerAddress | None:
        if not self._order:
            self._order = self._prober.targets()
            self._random.shuffle(self._order)
        return self._order.pop() if self._order else None

    async def _check(self, address: PeerAddress) -> None:
        started_s = self._clock.now_s()
        answered = await self._prober.probe(address)
        if answered is None:
            answered = await self._probe_via(address)
        else:
            self._answered_s = self._clock.now_s()
        for member in self._at(address):
            await self._judge(member, answered, started_s)

    def _at(self, address: PeerAddress) -> list[Member]:
        return [item for item in self._members.present() if item.address == address]

    async def _judge(
        self, member: Member, answered: str | None, started_s: float
    ) -> None:
        incarnation = member.news.incarnation
        if answered == incarnation:
            self._suspected_s.pop(incarnation, None)
        elif answered is None:
            await self._suspect(incarnation)
        elif member.heard_s <= started_s:
            self._on_failed(incarnation)  # its process was replaced

    async def _suspect(self, incarnation: str) -> None:
        now_s = self._clock.now_s()
        since_s = self._suspected_s.setdefault(incarnation, now_s)
        if now_s - since_s < self._settings.suspect_after_s:
            return
        if self._answered_s >= since_s:
            self._on_failed(incarnation)
            return
        # No peer answers: it may be this host that is cut off.
        verdict = await self._doubts.verdict(incarnation, since_s)
        if verdict is Verdict.ALIVE:
            self._suspected_s.pop(incarnation, None)
        elif verdict is Verdict.GONE:
            self._on_failed(incarnation)

    async def _probe_via(self, target: PeerAddress) -> str | None:
        others = [item for item in self._members.live() if item.address != target]
        chosen = self._random.sample(others, min(INDIRECT_PROBES, len(others)))
        asked = (self._ask(item.address, target) for item in chosen)
        answers = await asyncio.gather(*asked)
        return next((answer for answer in answers if answer is not None), None)

    async def _ask(self, helper: PeerAddress, target: PeerAddress) -> str | None:
        deadline_s = self._clock.now_s() + 2 * self._settings.probe_timeout_s
        try:
            reply = await self._peers.call(helper, ProbeVia(str(target)), deadline_s)
        except PeerUnreachableError:
            return None
        return reply.detail if isinstance(reply, Ack) and reply.ok else None
