"""Load while an engine or a host is lost or a region is cut off."""

from __future__ import annotations

import asyncio
from collections import Counter

from tests.trials.fleet import TrialFleet
from tests.trials.load import Load, percentile, ttft_s

WINDOW_S = 5.0


async def run_fault(
    clock, seed, *, fault="none", rate=40.0, seconds=30.0, **settings
) -> dict:
    """
    Cause a fault after ten seconds; report the TTFT in windows of five.

    :param fault: ``engine``, ``host``, ``region`` or ``none``.
    """
    fleet = TrialFleet(clock, seed, **settings)
    load = Load(fleet, seed + 1)
    load.batch(per_host=30)
    start_s = clock.now_s()
    load.start(load.online(rate, seconds))
    await asyncio.sleep(10.0)
    if fault == "engine":
        fleet.lose_engine("e0")
    elif fault == "host":
        fleet.kill_host(next(host for host in fleet.owner_hosts()))
    elif fault == "region":
        fleet.network.partitioned_regions.add("south")
    most_running = 0
    for _ in range(int((seconds - 10.0 + 4.0) / 0.1)):
        await asyncio.sleep(0.1)
        running = (engine.report().running for engine in fleet.engines.values())
        most_running = max(most_running, *running)
    windows = []
    for number in range(int(seconds / WINDOW_S)):
        window_start_s = start_s + number * WINDOW_S
        answers = load.recorder.successful(window_start_s, window_start_s + WINDOW_S)
        windows.append(round(1000 * percentile(ttft_s(answers), 0.99), 1))
    failed = Counter(
        answer.failure for answer in load.recorder.answers if not answer.ok
    )
    static_slots = fleet.total(lambda host: _admission_counter(host, "static"))
    return {
        "p99_ms_by_5s": windows,
        "failed": dict(failed),
        "answered": len(load.recorder.successful()),
        "most_on_one_engine": most_running,
        "static_places": static_slots,
    }


async def run_herding(clock, seed, *, rate=60.0, seconds=15.0, **settings) -> dict:
    """Measure how unevenly online load spreads over a region's two engines."""
    fleet = TrialFleet(clock, seed, **settings)
    load = Load(fleet, seed + 1)
    load.start(load.online(rate, seconds))
    await asyncio.sleep(3.0)
    spread: list[float] = []
    most_running = 0
    for _ in range(int((seconds - 3.0) / 0.05)):
        await asyncio.sleep(0.05)
        running = {
            name: engine.report().running for name, engine in fleet.engines.items()
        }
        most_running = max(most_running, *running.values())
        spread.append(abs(running["e0"] - running["e3"]))
    await asyncio.sleep(4.0)
    ttfts_s = ttft_s(load.recorder.successful())
    return {
        "spread_mean": round(sum(spread) / len(spread), 2),
        "spread_p99": percentile(spread, 0.99),
        "most_on_one_engine": most_running,
        "ttft_p99_ms": round(1000 * percentile(ttfts_s, 0.99), 1),
        "failed": sum(not answer.ok for answer in load.recorder.answers),
    }


def _admission_counter(host, name) -> int:
    return getattr(getattr(host.scheduler.admission, "counters", None), name, 0)
