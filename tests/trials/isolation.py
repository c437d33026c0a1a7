"""Online latency with and without batch, and what batch gets."""

from __future__ import annotations

import asyncio

from tests.trials.fleet import TrialFleet
from tests.trials.load import Load, percentile, ttft_s

WARM_S = 4.0
DRAIN_S = 4.0


async def run_load(clock, seed, *, rate, batch, seconds=15.0, **settings) -> dict:
    fleet = TrialFleet(clock, seed, **settings)
    load = Load(fleet, seed + 1)
    if batch:
        load.batch()
    start_s = clock.now_s()
    if rate:
        load.start(load.online(rate, WARM_S + seconds))
    await asyncio.sleep(WARM_S)
    tokens_before = load.recorder.batch_tokens.total()
    await asyncio.sleep(seconds)
    batch_tokens = load.recorder.batch_tokens.total() - tokens_before
    await asyncio.sleep(DRAIN_S)
    answers = load.recorder.ok(start_s + WARM_S, start_s + WARM_S + seconds)
    first = ttft_s(answers)
    asked = [x for x in load.recorder.answers if x.arrived_s >= start_s + WARM_S]
    return {
        "ttft_p50_ms": round(1000 * percentile(first, 0.50), 1),
        "ttft_p95_ms": round(1000 * percentile(first, 0.95), 1),
        "ttft_p99_ms": round(1000 * percentile(first, 0.99), 1),
        "gap_p99_ms": round(
            1000 * percentile([x.longest_gap_s for x in answers], 0.99), 1
        ),
        "online_per_s": round(len(answers) / seconds, 1),
        "failed": sum(not item.ok for item in asked),
        "batch_tokens_per_s": round(batch_tokens / seconds),
        "revocations": fleet.total(lambda host: host.scheduler.held_grants.revoked),
        "spilled": fleet.total(
            lambda h: getattr(
                getattr(h.scheduler.admission, "counters", None), "spilled", 0
            )
        ),
    }
