"""Keeps the steps that this host took for its latest requests."""

from __future__ import annotations

import asyncio
from collections import OrderedDict
from typing import TYPE_CHECKING

from aspenbridge.peers import ExplainReply, ExplainRequest
from aspenbridge.ports import PeerUnreachableError

if TYPE_CHECKING:
    from aspenbridge.membership import Members
    from aspenbridge.ports import Clock, PeerAddress, PeerTransport

MAX_REQUESTS = 5_000
MAX_STEPS_PER_REQUEST = 40
PEER_TIMEOUT_S = 1.0


class Decisions:
    """
    The steps of the latest requests, to explain how each was handled.

    When there are more than ``MAX_REQUESTS``, the oldest request is dropped.
    Of each request the first ``MAX_STEPS_PER_REQUEST`` steps are kept.
    """

    def __init__(
        self, host: str, clock: Clock, members: Members, peers: PeerTransport
    ) -> None:
        self._host = host
        self._clock = clock
        self._members = members
        self._peers = peers
        self._steps: OrderedDict[str, list[tuple[float, str]]] = OrderedDict()

    def record_step(self, request: str, step: str) -> None:
        """Add a step of a request, with the current time."""
        steps = self._steps.get(request)
        if steps is None:
            steps = self._steps[request] = []
            if len(self._steps) > MAX_REQUESTS:
                self._steps.popitem(last=False)
        if len(steps) < MAX_STEPS_PER_REQUEST:
            steps.append((self._clock.wall_s(), step))

    def steps(self, request: str) -> tuple[str, ...]:
        """Return the steps that this host took for a request, oldest first."""
        steps = self._steps.get(request, [])
        return tuple(f"{wall_s:.3f} {self._host}: {step}" for wall_s, step in steps)

    async def explain(self, request: str) -> tuple[str, ...]:
        """
        Return the steps that all hosts took for a request, oldest first.

        They are sorted by the times that the hosts' own wall clocks gave. The
        steps of hosts that do not reply in time are missing.
        """
        peers = [member.address for member in self._members.live()]
        replies = await asyncio.gather(
            *(self._fetch_steps(peer, request) for peer in peers)
        )
        steps = [*self.steps(request), *(step for reply in replies for step in reply)]
        return tuple(sorted(steps))

    def answer(self, message: ExplainRequest) -> ExplainReply:
        """Answer a peer's request for the steps that this host took."""
        return ExplainReply(self.steps(message.request))

    async def _fetch_steps(self, peer: PeerAddress, request: str) -> tuple[str, ...]:
        deadline_s = self._clock.now_s() + PEER_TIMEOUT_S
        try:
            reply = await self._peers.call(peer, ExplainRequest(request), deadline_s)
        except PeerUnreachableError:
            return ()
        return reply.steps if isinstance(reply, ExplainReply) else ()
