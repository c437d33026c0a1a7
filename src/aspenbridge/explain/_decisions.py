"""What this host decided about its latest requests."""

from __future__ import annotations

import asyncio
from collections import OrderedDict
from typing import TYPE_CHECKING

from aspenbridge.peers import ExplainReply, ExplainRequest
from aspenbridge.ports import PeerUnreachableError

if TYPE_CHECKING:
    from aspenbridge.membership import Members
    from aspenbridge.ports import Clock, PeerAddress, PeerTransport

REQUESTS_KEPT = 5_000
STEPS_KEPT = 40
PEER_TIMEOUT_S = 1.0


class Decisions:
    """The latest requests with their steps; the oldest are forgotten."""

    def __init__(
        self, host: str, clock: Clock, members: Members, peers: PeerTransport
    ) -> None:
        self._host = host
        self._clock = clock
        self._members = members
        self._peers = peers
        self._steps: OrderedDict[str, list[tuple[float, str]]] = OrderedDict()

    def note(self, request: str, step: str) -> None:
        """Add a step of a request."""
        steps = self._steps.get(request)
        if steps is None:
            steps = self._steps[request] = []
            if len(self._steps) > REQUESTS_KEPT:
                self._steps.popitem(last=False)
        if len(steps) < STEPS_KEPT:
            steps.append((self._clock.wall_s(), step))

    def steps(self, request: str) -> tuple[str, ...]:
        """Return the steps that this host took, oldest first."""
        found = self._steps.get(request, [])
        return tuple(f"{wall_s:.3f} {self._host}: {step}" for wall_s, step in found)

    async def explain(self, request: str) -> tuple[str, ...]:
        """Return the steps that all hosts took, oldest first."""
        peers = [member.address for member in self._members.live()]
        replies = await asyncio.gather(*(self._ask(peer, request) for peer in peers))
        steps = [*self.steps(request), *(step for reply in replies for step in reply)]
        return tuple(sorted(steps))

    def answer(self, message: ExplainRequest) -> ExplainReply:
        """Tell a peer what this host did."""
        return ExplainReply(self.steps(message.request))

    async def _ask(self, peer: PeerAddress, request: str) -> tuple[str, ...]:
        deadline_s = self._clock.now_s() + PEER_TIMEOUT_S
        try:
            reply = await self._peers.call(peer, ExplainRequest(request), deadline_s)
        except PeerUnreachableError:
            return ()
        return reply.steps if isinstance(reply, ExplainReply) else ()
