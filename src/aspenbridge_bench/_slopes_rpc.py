"""Measures the cost of a call between two hosts over loopback TCP."""

from __future__ import annotations

import time
from contextlib import AsyncExitStack
from typing import Any

from aspenbridge.backends import open_session
from aspenbridge.clock import SystemClock
from aspenbridge.peers import GrantReply, GrantRequest
from aspenbridge.peers.transport import HttpPeers, PeerServer
from aspenbridge.ports import PeerAddress

from ._fit import Point, Slope, fit
from ._processes import LOOPBACK, Processes

FIRST_PORT = 27900
CALLS = (100, 400, 1600)


class _GroupOwner:
    """Grants a slot to every request."""

    async def handle(self, message: Any) -> Any:
        """Reply to a request for a slot."""
        return GrantReply(True, "engine-00042", f"host-005-{5:024x}")


async def rpc_slope() -> Slope:
    """Return the processor seconds of calls, both ends in one process."""
    clock = SystemClock()
    request = GrantRequest(f"grant-{7:024x}", "model-1/region-0/03", True, "c", 9, 9)
    points = []
    async with AsyncExitStack() as stack:
        session = await stack.enter_async_context(open_session())
        processes = stack.enter_context(Processes(FIRST_PORT))
        address = PeerAddress(LOOPBACK, processes.next_port())
        await stack.enter_async_context(PeerServer(_GroupOwner(), address))
        transport = HttpPeers(session, clock)
        for calls in CALLS:
            cpu_before_s = time.process_time()
            for _ in range(calls):
                await transport.call(address, request, clock.now_s() + 5.0)
            points.append(Point(calls, time.process_time() - cpu_before_s))
    return fit("grant call, both ends", "s", "calls", points)
