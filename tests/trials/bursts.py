"""How soon batch slots are free when a burst of online requests arrives."""

from __future__ import annotations

import asyncio

from tests.trials.fleet import TrialFleet
from tests.trials.load import Load, percentile, prompt, ttft_s

BURST_REQUESTS = 48


async def run_burst(clock, seed, *, bursts=6, **settings) -> dict:
    """Send each burst to one host while batch fills every engine."""
    fleet = TrialFleet(clock, seed, **settings)
    load = Load(fleet, seed + 1)
    load.batch()
    await asyncio.sleep(5.0)
    revocation_times_s = []
    for number in range(bursts):
        host = fleet.hosts[number]
        prompts = [prompt(load.random, 40) for _ in range(BURST_REQUESTS)]
        running = [engine.report().running for engine in fleet.engines.values()]
        start_s = clock.now_s()
        tasks = [load.start(load.send_online("a", text, host=host)) for text in prompts]
        revocation_times_s.append(
            await _revocation_time_s(fleet, host, start_s, sum(running))
        )
        await asyncio.gather(*tasks)
        await asyncio.sleep(4.0)
    ttfts_s = ttft_s(load.recorder.successful())
    return {
        "room_back_ms": [round(1000 * time_s, 1) for time_s in revocation_times_s],
        "ttft_p50_ms": round(1000 * percentile(ttfts_s, 0.5), 1),
        "ttft_p99_ms": round(1000 * percentile(ttfts_s, 0.99), 1),
        "failed": sum(not answer.ok for answer in load.recorder.answers),
        "revoked": fleet.total(lambda host: host.scheduler.held_grants.revoked),
    }


async def _revocation_time_s(fleet, host, start_s, running) -> float:
    """
    Return the seconds until all revoked batch requests were cancelled.

    Observes one second from the start of a burst; 0.0 if none was revoked.
    """
    last_s = start_s
    pending_seen = 0
    while fleet.clock.now_s() - start_s < 1.0:
        await asyncio.sleep(0.001)
        pending = sum(
            slot.revoked and not slot.cancelled
            for owner in fleet.owner_hosts()
            for group in owner.scheduler.owner.groups().values()
            for slot in group.slots.occupied()
        )
        pending_seen += pending
        if pending:
            last_s = fleet.clock.now_s()
    return last_s - start_s if pending_seen else 0.0
