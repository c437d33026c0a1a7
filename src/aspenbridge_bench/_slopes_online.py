"""Measures the cost of online work: coding requests, keys, generations."""

from __future__ import annotations

import asyncio
import time

import attrs

from aspenbridge.http._auth import key_digest
from aspenbridge.online import Generation
from aspenbridge.settings import Settings
from aspenbridge.work import Work, new_id

from ._fit import Point, Slope, fit
from ._fleet import CountedFleet, Counts
from ._measure import cpu_s
from ._slopes_batch import CUSTOMER, MODEL, configure, counted_fleet

TABLE_DELAY_S = 0.005
CONCURRENT_REQUESTS = (8, 64, 256)
TOKENS = (50, 400, 1600)
ROUNDS = 3


@attrs.frozen
class CodingCost:
    """The cost of a number of concurrent coding requests."""

    requests: int
    cpu_per_request_s: float
    writes: float
    reads: float


def _work(fleet: CountedFleet, number: int, max_tokens: int) -> Work:
    return Work(
        work_id=new_id("req", fleet.random),
        customer=CUSTOMER,
        model=MODEL,
        prompt=f"code answer {number}",
        max_tokens=max_tokens,
        online=True,
        deadline_s=fleet.clock.now_s() + 60.0,
    )


async def coding_cost(requests: int, seed: int) -> CodingCost:
    """Submit concurrent coding requests; each table call takes 5 ms."""
    fleet = counted_fleet(seed, TABLE_DELAY_S)
    async with fleet.host(Settings()) as host:
        await configure(host)
        counts_before, cpu_before_s = Counts.of(fleet), time.process_time()
        for _ in range(ROUNDS):
            works = [_work(fleet, number, 2) for number in range(requests)]
            await asyncio.gather(*(host.coding.submit(work, None) for work in works))
        spent_s = time.process_time() - cpu_before_s
        calls = Counts.of(fleet).since(counts_before)
    return CodingCost(
        requests,
        spent_s / ROUNDS / requests,
        calls.table_writes / ROUNDS,
        calls.table_reads / ROUNDS,
    )


async def _generation_cost(tokens: int, seed: int) -> float:
    """Return the processor seconds of one generation in this process."""
    fleet = counted_fleet(seed)
    async with fleet.host(Settings()) as host:
        await configure(host)
        cpu_before_s = time.process_time()
        for number in range(ROUNDS):
            generation = Generation(_work(fleet, number, tokens))
            async for _ in host.generator.run(generation):
                pass
    return (time.process_time() - cpu_before_s) / ROUNDS


async def online_slopes(seed: int) -> list[Slope]:
    """Return the slopes over concurrent requests and over tokens."""
    costs = [await coding_cost(requests, seed) for requests in CONCURRENT_REQUESTS]
    generations = [Point(n, await _generation_cost(n, seed)) for n in TOKENS]
    per_request = [Point(c.requests, c.cpu_per_request_s * c.requests) for c in costs]
    key_check_s = cpu_s(lambda: key_digest("00" * 16, "secret" * 6), 1000)
    return [
        fit("coding requests at once", "s", "requests", per_request),
        fit(
            "coding requests at once",
            "table writes",
            "requests",
            [Point(cost.requests, cost.writes) for cost in costs],
        ),
        fit(
            "coding requests at once",
            "table reads",
            "requests",
            [Point(cost.requests, cost.reads) for cost in costs],
        ),
        fit("generation in process, engine included", "s", "tokens", generations),
        fit(
            "API keys checked",
            "s",
            "requests",
            [Point(n, n * key_check_s) for n in CONCURRENT_REQUESTS],
        ),
    ]
