"""Prefix cache hits of conversations that grow with each turn."""

from __future__ import annotations

import asyncio

from tests.trials.fleet import TrialFleet
from tests.trials.load import Load, percentile, prompt, ttft_s

TURNS = 5


async def run_sessions(
    clock, seed, *, rate=6.0, seconds=25.0, cache=24_000, **settings
) -> dict:
    """
    Start sessions at a rate; each turn's prompt holds all earlier ones.

    :param rate: sessions started per second.
    :param cache: the limit of an engine's prefix cache, in tokens.
    """
    fleet = TrialFleet(clock, seed, cache=cache, **settings)
    load = Load(fleet, seed + 1)
    opening_prompts = [prompt(load.random, 128) for _ in range(40)]
    end_s = clock.now_s() + seconds
    while clock.now_s() < end_s:
        await asyncio.sleep(load.random.expovariate(rate))
        load.start(_session(load, load.random.choice(opening_prompts)))
    await asyncio.sleep(10.0)
    answers = load.recorder.successful()
    ttfts_s = ttft_s(answers)
    cached_tokens = sum(answer.cached_tokens for answer in answers)
    return {
        "hit_part": round(
            cached_tokens / sum(answer.prompt_tokens for answer in answers), 3
        ),
        "ttft_p50_ms": round(1000 * percentile(ttfts_s, 0.5), 1),
        "ttft_p99_ms": round(1000 * percentile(ttfts_s, 0.99), 1),
        "answers": len(answers),
        "failed": sum(not answer.ok for answer in load.recorder.answers),
    }


async def _session(load: Load, text: str) -> None:
    choose = load.random.choice
    region = choose(load.fleet.hosts).region
    for _ in range(TURNS):
        text = prompt(load.random, 48, text)
        region_hosts = [host for host in load.fleet.hosts if host.region == region]
        await load.send_online("a", text, host=choose(region_hosts), tokens=24)
        await asyncio.sleep(load.random.uniform(0.3, 1.2))
