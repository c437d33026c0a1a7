"""Starts one host on the in-memory fleet of the demo."""

from __future__ import annotations

import random
from typing import TYPE_CHECKING

from aspenbridge.demo._fleet import Fleet, configuration

if TYPE_CHECKING:
    from contextlib import AsyncExitStack

    from aspenbridge.host import HostCore
    from tests.support.virtual_loop import ManualClock


async def start_host(
    stack: AsyncExitStack, clock: ManualClock, seed: int = 1
) -> tuple[Fleet, HostCore]:
    """Start a host with the demo's configuration; it stops with the stack."""
    fleet = Fleet(clock, random.Random(seed))
    fleet.add_backends()
    host = await stack.enter_async_context(fleet.host(1))
    (await host.authority.accept("test", 0, configuration())).unwrap()
    await host.follower.refresh()
    return fleet, host
