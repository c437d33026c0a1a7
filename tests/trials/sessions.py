"""Prefix hits of conversations that grow turn by turn."""

from __future__ import annotations

import asyncio

from tests.trials.fleet import TrialFleet
from tests.trials.load import Load, percentile, prompt, ttft_s

TURNS = 5


async def run_sessions(
    clock, seed, *, rate=6.0, seconds=25.0, cache=24_000, **settings
) -> dict:
    """Start sessions at a rate; each turn repeats all before it."""
    fleet = TrialFleet(clock, seed, cache=cache, **settings)
    load = Load(fleet, seed + 1)
    frames = [prompt(load.random, 128) for _ in range(40)]
    end_s = clock.now_s() + seconds
    while clock.now_s() < end_s:
        await asyncio.sleep(load.random.expovariate(rate))
        load.start(_session(load, load.random.choice(frames)))
    await asyncio.sleep(10.0)
    answers = load.recorder.ok()
    first = ttft_s(answers)
    cached = sum(item.cached_tokens for item in answers)
    return {
        "hit_part": round(cached / sum(item.prompt_tokens for item in answers), 3),
        "ttft_p50_ms": round(1000 * percentile(first, 0.5), 1),
        "ttft_p99_ms": round(1000 * percentile(first, 0.99), 1),
        "answers": len(answers),
        "failed": sum(not item.ok for item in load.recorder.answers),
    }


async def _session(load: Load, text: str) -> None:
    host_of = load.random.choice
    region = host_of(load.fleet.hosts).region
    for _ in range(TURNS):
        text = prompt(load.random, 48, text)
        near = [host for host in load.fleet.hosts if host.region == region]
        await load.one("a", text, host=host_of(near), tokens=24)
        await asyncio.sleep(load.random.uniform(0.3, 1.2))
