"""Measures durable work: run as ``python -m tests.measure.durable``."""

from __future__ import annotations

import asyncio
import json
import sys
from collections import Counter

import msgspec
from returns.result import Success

from aspenbridge.ports import RowKey
from tests.support.cluster import Cluster
from tests.support.virtual_loop import run_virtual


def part(values, share):
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(share * len(ordered)))]


def total(cluster, name):
    return sum(getattr(link, name) for link in cluster.links.values())


def set_down(cluster, down):
    for link in cluster.links.values():
        link.down = down


async def takeover(clock, seed):
    async with Cluster(clock, seed) as cluster:
        await cluster.start(1, 2, 3)
        work = cluster.work(1, "code", tokens=400)
        task = asyncio.create_task(cluster.hosts[1].coding.submit(work, "k"))
        await asyncio.sleep(0.3)
        await cluster.kill(1)
        task.cancel()

        async def moved():
            key = RowKey("requests", work.work_id)
            row = (await cluster.fleet.table.read([key])).unwrap()[0]
            return not msgspec.json.decode(row.value[16:])["owner"].startswith("h1-")

        return await cluster.wait_until(moved)


async def writes(clock, seed, items):
    async with Cluster(clock, seed, chunk_items=500, concurrency=64) as cluster:
        await cluster.start(1, 2, 3)
        job = await cluster.submit(1, items, tokens=20)
        before = {name: total(cluster, name) for name in ("writes", "reads", "puts")}
        took_s = await cluster.wait_until(lambda: cluster.job_ended(1, job), 600)
        after = {name: total(cluster, name) for name in before}
        answers = await cluster.result_ids(1, job)
        return {
            "items": len(answers),
            "distinct": len(set(answers)),
            "took_s": round(took_s, 1),
            "table_writes_per_1000": (after["writes"] - before["writes"])
            * 1000
            / items,
            "object_writes_per_1000": (after["puts"] - before["puts"]) * 1000 / items,
            "reads_per_s": round((after["reads"] - before["reads"]) / took_s, 1),
        }


async def idle(clock, hosts):
    async with Cluster(clock, 1) as cluster:
        await cluster.start(*range(1, hosts + 1))
        await asyncio.sleep(30)
        reads, written = total(cluster, "reads"), total(cluster, "writes")
        await asyncio.sleep(60)
        return {
            "hosts": hosts,
            "reads_per_s": round((total(cluster, "reads") - reads) / 60, 2),
            "writes_per_s": round((total(cluster, "writes") - written) / 60, 2),
        }


async def outage(clock, seed):
    """Ten coding requests a second beside a job; down from 10 s to 70 s."""
    async with Cluster(clock, seed, concurrency=4, flush_interval_s=1.0) as cluster:
        await cluster.start(1, 2, 3)
        job = await cluster.submit(1, 2000, tokens=100)
        seen = []

        async def ask(number):
            host = 1 + number % 3
            work = cluster.work(host, f"q{number}", tokens=20, limit_s=10)
            began_s = clock.now_s()
            answer = await cluster.hosts[host].coding.submit(work, f"k{number}")
            told = "done"
            if not isinstance(answer, Success):
                problem = answer.failure()
                told = f"{problem.code.name}, {problem.execution.value}"
            seen.append((number / 10, told, clock.now_s() - began_s))

        tasks = []
        for number in range(1000):
            if number in (100, 700):
                set_down(cluster, number == 100)
            tasks.append(asyncio.create_task(ask(number)))
            await asyncio.sleep(0.1)
        await asyncio.gather(*tasks)
        await cluster.wait_until(lambda: cluster.job_ended(1, job), 600)
        answers = await cluster.result_ids(1, job)
        late = [at for at, told, took in seen if at >= 70 and told != "done"]
        slow = [at for at, told, took in seen if at >= 70 and took > 1.0]
        return {
            "during": Counter(told for at, told, _ in seen if 10 <= at < 70),
            "last_refusal_after_s": round(max(late, default=70) - 70, 1),
            "last_slow_after_s": round(max(slow, default=70) - 70, 1),
            "items": len(answers),
            "distinct": len(set(answers)),
        }


def measure(what):
    if what == "takeover":
        times = [run_virtual(lambda c, s=s: takeover(c, s)) for s in range(1, 31)]
        return {"p50_s": round(part(times, 0.5), 1), "max_s": round(max(times), 1)}
    if what == "writes":
        return run_virtual(lambda clock: writes(clock, 1, 5000))
    if what == "idle":
        return [run_virtual(lambda c, n=n: idle(c, n)) for n in (3, 10)]
    return run_virtual(lambda clock: outage(clock, 1))


if __name__ == "__main__":
    for name in sys.argv[1:]:
        sys.stdout.write(json.dumps({name: measure(name)}) + "\n")
