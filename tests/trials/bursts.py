"""How soon batch gives room back when a burst comes."""

from __future__ import annotations

import asyncio

from tests.trials.fleet import TrialFleet
from tests.trials.load import Load, percentile, prompt, ttft_s

BURST = 48


async def run_burst(clock, seed, *, bursts=6, **settings) -> dict:
    """Send bursts to one host while batch fills every engine."""
    fleet = TrialFleet(clock, seed, **settings)
    load = Load(fleet, seed + 1)
    load.batch()
    await asyncio.sleep(5.0)
    freed_s = []
    for number in range(bursts):
        host = fleet.hosts[number]
        text = [prompt(load.random, 40) for _ in range(BURST)]
        before = [e.report().running for e in fleet.engines.values()]
        start_s = clock.now_s()
        tasks = [load.start(load.one("a", item, host=host)) for item in text]
        freed_s.append(await _until_room(fleet, host, start_s, sum(before)))
        await asyncio.gather(*tasks)
        await asyncio.sleep(4.0)
    first = ttft_s(load.recorder.ok())
    return {
        "room_back_ms": [round(1000 * item, 1) for item in freed_s],
        "ttft_p50_ms": round(1000 * percentile(first, 0.5), 1),
        "ttft_p99_ms": round(1000 * percentile(first, 0.99), 1),
        "failed": sum(not item.ok for item in load.recorder.answers),
        "revoked": fleet.total(lambda item: item.scheduler.held_grants.revoked),
    }


async def _until_room(fleet, host, start_s, running) -> float:
    """Return when the last batch place that was revoked had ended."""
    last_s = start_s
    told = 0
    while fleet.clock.now_s() - start_s < 1.0:
        await asyncio.sleep(0.001)
        pending = sum(
            slot.revoked and not slot.cancelled
            for owner in fleet.owner_hosts()
            for group in owner.scheduler.owner.groups().values()
            for slot in group.slots.occupied()
        )
        told += pending
        if pending:
            last_s = fleet.clock.now_s()
    return last_s - start_s if told else 0.0
