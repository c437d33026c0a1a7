"""What each customer gets while one customer sends far more than others."""

from __future__ import annotations

import asyncio

from tests.trials.fleet import TrialFleet
from tests.trials.load import Load, percentile, ttft_s

OTHER_CUSTOMERS = ("b", "c", "d", "e")


def jain_index(values: list[float]) -> float:
    """Return Jain's fairness index, which is 1.0 if all values are equal."""
    return sum(values) ** 2 / (len(values) * sum(value**2 for value in values))


async def run_flood(
    clock, seed, *, share=12.0, times=10, flood=True, seconds=15.0, **settings
) -> dict:
    """
    Send online load; one customer sends ``times`` its share, or nothing.

    :param share: the requests per second of each other customer.
    """
    fleet = TrialFleet(clock, seed, **settings)
    load = Load(fleet, seed + 1)
    flooder = Load(fleet, seed + 7)
    start_s = clock.now_s()
    load.start(load.online(share * len(OTHER_CUSTOMERS), seconds, OTHER_CUSTOMERS))
    if flood:
        load.start(flooder.online(share * times, seconds, ("a",)))
    await asyncio.sleep(seconds + 5.0)
    result = {}
    for name in OTHER_CUSTOMERS:
        ttfts_s = ttft_s(load.recorder.successful(start_s + 3.0, customer=name))
        result[f"{name}_p99_ms"] = round(1000 * percentile(ttfts_s, 0.99), 1)
    other_answers = load.recorder.answers
    ttfts_s = ttft_s(load.recorder.successful(start_s + 3.0))
    return result | {
        "others_p50_ms": round(1000 * percentile(ttfts_s, 0.5), 1),
        "others_p99_ms": round(1000 * percentile(ttfts_s, 0.99), 1),
        "others_failed": sum(not answer.ok for answer in other_answers),
        "others_asked": len(other_answers),
        "flooder_asked": len(flooder.recorder.answers),
        "flooder_ok": len(flooder.recorder.successful()),
    }


async def run_batch_shares(
    clock, seed, *, per_host=8, seconds=40.0, **settings
) -> dict:
    """Run batch load; one of five equal customers has ten times the items."""
    fleet = TrialFleet(clock, seed, **settings)
    load = Load(fleet, seed + 1)
    for name in OTHER_CUSTOMERS:
        load.batch(per_host=per_host, customers=(name,))
    load.batch(per_host=10 * per_host, customers=("a",))
    await asyncio.sleep(5.0)
    tokens_before = dict(load.recorder.batch_tokens)
    await asyncio.sleep(seconds)
    tokens_after = load.recorder.batch_tokens
    tokens = {
        name: tokens_after[name] - tokens_before.get(name, 0)
        for name in sorted(tokens_after)
    }
    return {"tokens": tokens, "jain": round(jain_index(list(tokens.values())), 4)}
