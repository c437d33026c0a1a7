"""Online latency with and without batch load, and batch throughput."""

from __future__ import annotations

import asyncio

from tests.trials.fleet import TrialFleet
from tests.trials.load import Load, percentile, ttft_s

WARM_UP_S = 4.0  # load before the measurement
DRAIN_S = 4.0  # time for the last requests to end


async def run_load(clock, seed, *, rate, batch, seconds=15.0, **settings) -> dict:
    """
    Send online load, batch load or both.

    :param rate: online requests per second; 0 for none.
    :param batch: whether hosts also run batch items.
    """
    fleet = TrialFleet(clock, seed, **settings)
    load = Load(fleet, seed + 1)
    if batch:
        load.batch()
    start_s = clock.now_s()
    if rate:
        load.start(load.online(rate, WARM_UP_S + seconds))
    await asyncio.sleep(WARM_UP_S)
    tokens_before = load.recorder.batch_tokens.total()
    await asyncio.sleep(seconds)
    batch_tokens = load.recorder.batch_tokens.total() - tokens_before
    await asyncio.sleep(DRAIN_S)
    answers = load.recorder.successful(
        start_s + WARM_UP_S, start_s + WARM_UP_S + seconds
    )
    ttfts_s = ttft_s(answers)
    measured = [
        answer
        for answer in load.recorder.answers
        if answer.arrived_s >= start_s + WARM_UP_S
    ]
    return {
        "ttft_p50_ms": round(1000 * percentile(ttfts_s, 0.50), 1),
        "ttft_p95_ms": round(1000 * percentile(ttfts_s, 0.95), 1),
        "ttft_p99_ms": round(1000 * percentile(ttfts_s, 0.99), 1),
        "gap_p99_ms": round(
            1000 * percentile([answer.longest_gap_s for answer in answers], 0.99), 1
        ),
        "online_per_s": round(len(answers) / seconds, 1),
        "failed": sum(not answer.ok for answer in measured),
        "batch_tokens_per_s": round(batch_tokens / seconds),
        "revocations": fleet.total(lambda host: host.scheduler.held_grants.revoked),
        "spilled": fleet.total(
            lambda host: getattr(
                getattr(host.scheduler.admission, "counters", None), "spilled", 0
            )
        ),
    }
