"""Online and batch load while an engine, a host or a region is lost."""

from __future__ import annotations

import asyncio
from collections import Counter

from tests.trials.fleet import TrialFleet
from tests.trials.load import Load, percentile, ttft_s

WINDOW_S = 5.0


async def run_fault(
    clock, seed, *, fault="none", rate=40.0, seconds=30.0, **settings
) -> dict:
    """Lose something after ten seconds and report windows of five."""
    fleet = TrialFleet(clock, seed, **settings)
    load = Load(fleet, seed + 1)
    load.batch(per_host=30)
    start_s = clock.now_s()
    load.start(load.online(rate, seconds))
    await asyncio.sleep(10.0)
    if fault == "engine":
        fleet.lose_engine("e0")
    elif fault == "host":
        fleet.kill_host(next(x for x in fleet.owner_hosts()))
    elif fault == "region":
        fleet.network.cut.add("south")
    over = 0
    for _ in range(int((seconds - 10.0 + 4.0) / 0.1)):
        await asyncio.sleep(0.1)
        running = (engine.report().running for engine in fleet.engines.values())
        over = max(over, *running)
    windows = []
    for number in range(int(seconds / WINDOW_S)):
        first_s = start_s + number * WINDOW_S
        answers = load.recorder.ok(first_s, first_s + WINDOW_S)
        windows.append(round(1000 * percentile(ttft_s(answers), 0.99), 1))
    failed = Counter(x.failure for x in load.recorder.answers if not x.ok)
    static = fleet.total(lambda host: _counter(host, "static"))
    return {
        "p99_ms_by_5s": windows,
        "failed": dict(failed),
        "answered": len(load.recorder.ok()),
        "most_on_one_engine": over,
        "static_places": static,
    }


async def run_herding(clock, seed, *, rate=60.0, seconds=15.0, **settings) -> dict:
    """How unevenly engines of one region are loaded; no batch."""
    fleet = TrialFleet(clock, seed, **settings)
    load = Load(fleet, seed + 1)
    load.start(load.online(rate, seconds))
    await asyncio.sleep(3.0)
    spread: list[float] = []
    most = 0
    for _ in range(int((seconds - 3.0) / 0.05)):
        await asyncio.sleep(0.05)
        running = {n: e.report().running for n, e in fleet.engines.items()}
        most = max(most, *running.values())
        spread.append(abs(running["e0"] - running["e3"]))
    await asyncio.sleep(4.0)
    first = ttft_s(load.recorder.ok())
    return {
        "spread_mean": round(sum(spread) / len(spread), 2),
        "spread_p99": percentile(spread, 0.99),
        "most_on_one_engine": most,
        "ttft_p99_ms": round(1000 * percentile(first, 0.99), 1),
        "failed": sum(not item.ok for item in load.recorder.answers),
    }


def _counter(host, name) -> int:
    return getattr(getattr(host.scheduler.admission, "counters", None), name, 0)
