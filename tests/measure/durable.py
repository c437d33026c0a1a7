"""Measures work that survives the loss of a host, in virtual time.

``python -m tests.measure.durable NAME...`` prints one line of JSON for each
name: ``takeover``, ``writes``, ``idle`` or ``outage``.
"""

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


def quantile(values, fraction):
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(fraction * len(ordered)))]


def total(cluster, counter):
    """Return the sum of a counter over the connections of all hosts."""
    return sum(
        getattr(connections, counter) for connections in cluster.connections.values()
    )


def set_down(cluster, down):
    for connections in cluster.connections.values():
        connections.down = down


async def measure_takeover(clock, seed):
    """Return the time until a lost host's coding request has a new owner."""
    async with Cluster(clock, seed) as cluster:
        await cluster.start(1, 2, 3)
        work = cluster.work(1, "code", tokens=400)
        task = asyncio.create_task(cluster.hosts[1].coding.submit(work, "k"))
        await asyncio.sleep(0.3)
        await cluster.kill(1)
        task.cancel()

        async def has_new_owner():
            key = RowKey("requests", work.work_id)
            row = (await cluster.fleet.table.read([key])).unwrap()[0]
            return not msgspec.json.decode(row.value[16:])["owner"].startswith("h1-")

        return await cluster.wait_until(has_new_owner)


async def measure_writes(clock, seed, items):
    """Run one batch job on three hosts and count their platform calls."""
    async with Cluster(clock, seed, chunk_items=500, concurrency=64) as cluster:
        await cluster.start(1, 2, 3)
        job = await cluster.submit(1, items, tokens=20)
        before = {
            counter: total(cluster, counter) for counter in ("writes", "reads", "puts")
        }
        took_s = await cluster.wait_until(lambda: cluster.job_completed(1, job), 600)
        after = {counter: total(cluster, counter) for counter in before}
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


async def measure_idle(clock, hosts):
    """Count the table calls of hosts without work."""
    async with Cluster(clock, 1) as cluster:
        await cluster.start(*range(1, hosts + 1))
        await asyncio.sleep(30)
        reads, writes = total(cluster, "reads"), total(cluster, "writes")
        await asyncio.sleep(60)
        return {
            "hosts": hosts,
            "reads_per_s": round((total(cluster, "reads") - reads) / 60, 2),
            "writes_per_s": round((total(cluster, "writes") - writes) / 60, 2),
        }


async def measure_outage(clock, seed):
    """
    Count the outcomes of coding requests during an outage of the platform.

    A batch job and ten coding requests a second run; no host reaches the
    table or the object store from 10 s to 70 s.
    """
    async with Cluster(clock, seed, concurrency=4, flush_interval_s=1.0) as cluster:
        await cluster.start(1, 2, 3)
        job = await cluster.submit(1, 2000, tokens=100)
        outcomes = []

        async def submit_request(number):
            host = 1 + number % 3
            work = cluster.work(host, f"q{number}", tokens=20, limit_s=10)
            started_s = clock.now_s()
            answer = await cluster.hosts[host].coding.submit(work, f"k{number}")
            outcome = "done"
            if not isinstance(answer, Success):
                problem = answer.failure()
                outcome = f"{problem.code.name}, {problem.execution.value}"
            outcomes.append((number / 10, outcome, clock.now_s() - started_s))

        tasks = []
        for number in range(1000):
            if number in (100, 700):
                set_down(cluster, number == 100)
            tasks.append(asyncio.create_task(submit_request(number)))
            await asyncio.sleep(0.1)
        await asyncio.gather(*tasks)
        await cluster.wait_until(lambda: cluster.job_completed(1, job), 600)
        answers = await cluster.result_ids(1, job)
        refused_at_s = [
            at_s for at_s, outcome, _ in outcomes if at_s >= 70 and outcome != "done"
        ]
        slow_at_s = [
            at_s for at_s, _, took_s in outcomes if at_s >= 70 and took_s > 1.0
        ]
        return {
            "during": Counter(
                outcome for at_s, outcome, _ in outcomes if 10 <= at_s < 70
            ),
            "last_refusal_after_s": round(max(refused_at_s, default=70) - 70, 1),
            "last_slow_after_s": round(max(slow_at_s, default=70) - 70, 1),
            "items": len(answers),
            "distinct": len(set(answers)),
        }


def measure(name):
    if name == "takeover":
        times = [
            run_virtual(lambda c, s=s: measure_takeover(c, s)) for s in range(1, 31)
        ]
        return {"p50_s": round(quantile(times, 0.5), 1), "max_s": round(max(times), 1)}
    if name == "writes":
        return run_virtual(lambda clock: measure_writes(clock, 1, 5000))
    if name == "idle":
        return [run_virtual(lambda c, n=n: measure_idle(c, n)) for n in (3, 10)]
    return run_virtual(lambda clock: measure_outage(clock, 1))


if __name__ == "__main__":
    for name in sys.argv[1:]:
        sys.stdout.write(json.dumps({name: measure(name)}) + "\n")
