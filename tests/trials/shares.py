"""What each customer gets while one of them floods."""

from __future__ import annotations

import asyncio

from tests.trials.fleet import TrialFleet
from tests.trials.load import Load, percentile, ttft_s

OTHERS = ("b", "c", "d", "e")


def jain(values: list[float]) -> float:
    """Return Jain's fairness index; 1.0 when all are equal."""
    return sum(values) ** 2 / (len(values) * sum(item**2 for item in values))


async def run_flood(
    clock, seed, *, share=12.0, times=10, flood=True, seconds=15.0, **settings
) -> dict:
    """Online: one customer sends many times its share, or nothing."""
    fleet = TrialFleet(clock, seed, **settings)
    load = Load(fleet, seed + 1)
    flooder = Load(fleet, seed + 7)
    start_s = clock.now_s()
    load.start(load.online(share * len(OTHERS), seconds, OTHERS))
    if flood:
        load.start(flooder.online(share * times, seconds, ("a",)))
    await asyncio.sleep(seconds + 5.0)
    result = {}
    for name in OTHERS:
        first = ttft_s(load.recorder.ok(start_s + 3.0, customer=name))
        result[f"{name}_p99_ms"] = round(1000 * percentile(first, 0.99), 1)
    asked = load.recorder.answers
    first = ttft_s(load.recorder.ok(start_s + 3.0))
    return result | {
        "others_p50_ms": round(1000 * percentile(first, 0.5), 1),
        "others_p99_ms": round(1000 * percentile(first, 0.99), 1),
        "others_failed": sum(not item.ok for item in asked),
        "others_asked": len(asked),
        "flooder_asked": len(flooder.recorder.answers),
        "flooder_ok": len(flooder.recorder.ok()),
    }


async def run_batch_shares(
    clock, seed, *, per_host=8, seconds=40.0, **settings
) -> dict:
    """Batch: five equal customers, one of them with ten times the items."""
    fleet = TrialFleet(clock, seed, **settings)
    load = Load(fleet, seed + 1)
    for name in OTHERS:
        load.batch(per_host=per_host, customers=(name,))
    load.batch(per_host=10 * per_host, customers=("a",))
    await asyncio.sleep(5.0)
    before = dict(load.recorder.batch_tokens)
    await asyncio.sleep(seconds)
    after = load.recorder.batch_tokens
    tokens = {name: after[name] - before.get(name, 0) for name in sorted(after)}
    return {"tokens": tokens, "jain": round(jain(list(tokens.values())), 4)}
