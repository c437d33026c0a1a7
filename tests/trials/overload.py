"""Goodput during an overload, and recovery after it."""

from __future__ import annotations

import asyncio

from tests.trials.fleet import TrialFleet
from tests.trials.load import Load, percentile, ttft_s

GOOD_TTFT_S = 2.0
NORMAL_RATE = 60.0


async def run_overload(
    clock, seed, *, normal=NORMAL_RATE, peak=200.0, seconds=30.0, calm=12.0, **settings
) -> dict:
    """Normal load, then too much of it, then normal load again."""
    fleet = TrialFleet(clock, seed, **settings)
    load = Load(fleet, seed + 1)
    start_s = clock.now_s()
    await load.online(normal, calm)
    over_s = clock.now_s()
    await load.online(peak, seconds)
    end_s = clock.now_s()
    await load.online(normal, calm)
    await asyncio.sleep(4.0)
    usual = ttft_s(load.recorder.ok(start_s + 3.0, over_s))
    normal_p99_s = percentile(usual, 0.99)
    good = [x for x in load.recorder.ok() if x.first_s - x.arrived_s <= GOOD_TTFT_S]
    refused = [x for x in load.recorder.answers if not x.ok]
    slow = [x.arrived_s for x in load.recorder.ok(end_s) if _late(x, normal_p99_s)]
    refused_after = [x.arrived_s for x in refused if x.arrived_s >= end_s]
    last_s = max([*slow, *refused_after], default=end_s)
    return {
        "normal_p99_ms": round(1000 * normal_p99_s, 1),
        "goodput_per_s": round(
            sum(over_s + 2.0 <= x.end_s < end_s for x in good) / (seconds - 2.0), 1
        ),
        "refused": len(refused),
        "refusal_p99_ms": round(
            1000 * percentile([x.end_s - x.arrived_s for x in refused], 0.99), 1
        ),
        "refusal_p50_ms": round(
            1000 * percentile([x.end_s - x.arrived_s for x in refused], 0.5), 1
        ),
        "over_ttft_p99_ms": round(
            1000 * percentile(ttft_s(load.recorder.ok(over_s, end_s)), 0.99), 1
        ),
        "last_trace_after_s": round(last_s - end_s, 2),
        "p99_after_5s_ms": round(
            1000 * percentile(ttft_s(load.recorder.ok(end_s + 5.0)), 0.99), 1
        ),
    }


def _late(answer, normal_p99_s: float) -> bool:
    return ttft_s([answer])[0] > 2 * normal_p99_s
