"""Failure detection with probes, indirect probes and a suspicion period."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from aspenbridge.peers import Ack, ProbeVia
from aspenbridge.ports import PeerUnreachableError

from ._suspicions import SuspicionState

if TYPE_CHECKING:
    from collections.abc import Callable
    from random import Random

    from aspenbridge.ports import Clock, PeerAddress, PeerTransport
    from aspenbridge.settings import MembershipSettings

    from ._members import Member, Members
    from ._prober import Prober
    from ._suspicions import StoredSuspicions

INDIRECT_PROBES = 3
# If there are more suspects, each tick probes those with the lowest addresses.
# The rest are probed only when their turn among all peers comes.
MAX_SUSPECTS_PER_TICK = 8


class FailureDetector:
    """
    Declares a peer failed when it answers no probe for the suspicion period.

    Peers are probed one after another, in random order. A suspicion begins
    with the first unanswered probe, and the setting ``suspect_after_s`` is the
    time from then until the peer is declared failed. A peer is also declared
    failed when another incarnation answers at its address.

    If no peer has answered this host directly since the suspicion began, the
    host first writes a stored suspicion: a row of the table service that the
    suspected peer deletes if it is alive.
    """

    def __init__(
        self,
        prober: Prober,
        members: Members,
        peers: PeerTransport,
        clock: Clock,
        random: Random,
        settings: MembershipSettings,
        suspicions: StoredSuspicions,
        on_failed: Callable[[str], None],
    ) -> None:
        self._prober = prober
        self._members = members
        self._peers = peers
        self._clock = clock
        self._random = random
        self._settings = settings
        self._suspicions = suspicions
        self._on_failed = on_failed
        self._probe_order: list[PeerAddress] = []
        self._suspected_since_s: dict[str, float] = {}
        # Answers to indirect probes don't count.
        self._last_direct_answer_s = float("-inf")

    async def tick(self) -> None:
        """Probe the next peer and up to ``MAX_SUSPECTS_PER_TICK`` suspects."""
        self._members.remove_failed()
        addresses = self._suspect_addresses()
        next_target = self._next_target()
        if next_target is not None and next_target not in addresses:
            addresses.append(next_target)
        await asyncio.gather(*(self._check_peer(address) for address in addresses))

    def reset(self) -> None:
        """Clear all suspicions and start a new round of probes."""
        self._suspected_since_s.clear()
        self._probe_order.clear()

    def _suspect_addresses(self) -> list[PeerAddress]:
        # ``present()`` holds the leaving members too, but no failed ones.
        present = {
            member.news.incarnation: member for member in self._members.present()
        }
        self._suspected_since_s = {
            incarnation: since_s
            for incarnation, since_s in self._suspected_since_s.items()
            if incarnation in present
        }
        addresses = {
            present[incarnation].address for incarnation in self._suspected_since_s
        }
        return sorted(addresses)[:MAX_SUSPECTS_PER_TICK]

    def _next_target(self) -> PeerAddress | None:
        if not self._probe_order:
            self._probe_order = self._prober.targets()
            self._random.shuffle(self._probe_order)
        return self._probe_order.pop() if self._probe_order else None

    async def _check_peer(self, address: PeerAddress) -> None:
        started_s = self._clock.now_s()
        answered_by = await self._prober.probe(address)
        if answered_by is None:
            answered_by = await self._probe_via(address)
        else:
            self._last_direct_answer_s = self._clock.now_s()
        for member in self._members_at(address):
            await self._update_suspicion(member, answered_by, started_s)

    def _members_at(self, address: PeerAddress) -> list[Member]:
        return [
            member for member in self._members.present() if member.address == address
        ]

    async def _update_suspicion(
        self, member: Member, answered_by: str | None, started_s: float
    ) -> None:
        incarnation = member.news.incarnation
        if answered_by == incarnation:
            self._suspected_since_s.pop(incarnation, None)
        elif answered_by is None:
            await self._handle_no_answer(incarnation)
        elif member.received_s <= started_s:
            # Another incarnation answered at this address, so the process of
            # the member was replaced. If an update of the member was received
            # since the probe began, the member itself may be the replacement.
            self._on_failed(incarnation)

    async def _handle_no_answer(self, incarnation: str) -> None:
        now_s = self._clock.now_s()
        since_s = self._suspected_since_s.setdefault(incarnation, now_s)
        if now_s - since_s < self._settings.suspect_after_s:
            return
        if self._last_direct_answer_s >= since_s:
            self._on_failed(incarnation)
            return
        # No peer has answered directly since the suspicion began, so this host
        # itself may be cut off from the network. While the stored suspicion is
        # open, the peer stays suspected and is checked again at a later tick.
        state = await self._suspicions.resolve(incarnation, since_s)
        if state is SuspicionState.ALIVE:
            self._suspected_since_s.pop(incarnation, None)
        elif state is SuspicionState.FAILED:
            self._on_failed(incarnation)

    async def _probe_via(self, target: PeerAddress) -> str | None:
        # ``live()`` leaves out failed and leaving members.
        others = [member for member in self._members.live() if member.address != target]
        helpers = self._random.sample(others, min(INDIRECT_PROBES, len(others)))
        requests = (self._request_probe(member.address, target) for member in helpers)
        answers = await asyncio.gather(*requests)
        return next((answer for answer in answers if answer is not None), None)

    async def _request_probe(
        self, helper: PeerAddress, target: PeerAddress
    ) -> str | None:
        deadline_s = self._clock.now_s() + 2 * self._settings.probe_timeout_s
        try:
            reply = await self._peers.call(helper, ProbeVia(str(target)), deadline_s)
        except PeerUnreachableError:
            return None
        # The detail is the incarnation that answered the helper.
        return reply.detail if isinstance(reply, Ack) and reply.ok else None
