"""
Quarantine of requests that crash engines.

Guards against a request that crashes engine after engine when it is retried
or resent, and against failures of other requests on the same engines.
"""

from __future__ import annotations

import asyncio

import pytest

from aspenbridge.embedded import EmbeddedEngine
from aspenbridge.result_codes import ResultCode
from aspenbridge.suspects import QUARANTINE_CRASHES
from tests.support.cluster import Cluster
from tests.support.virtual_loop import run_virtual

CRASHING_PROMPT = "the killer"
CRASH_AFTER_S = 0.005


class CrashingEngine(EmbeddedEngine):
    """Crashes some steps after it admits the crashing prompt."""

    crashes = 0

    async def generate(self, call):
        if call.prompt == CRASHING_PROMPT:
            asyncio.get_running_loop().call_later(CRASH_AFTER_S, self._record_and_crash)
        async for chunk in super().generate(call):
            yield chunk

    def _record_and_crash(self):
        self.crashes += 1
        self.crash()


def install_crashing_engines(cluster):
    engines = cluster.fleet.engines.engines
    for name, engine in engines.items():
        engines[name] = CrashingEngine(name, cluster.clock, engine._profile)


def total_crashes(cluster):
    return sum(engine.crashes for engine in cluster.fleet.engines.engines.values())


async def submit(cluster, number, prompt, key):
    work = cluster.work(number, prompt, tokens=40)
    return (await cluster.hosts[number].coding.submit(work, key)).unwrap()


@pytest.mark.parametrize("seed", [1, 2])
def test_crashing_request_is_quarantined_when_resent_under_new_keys(seed) -> None:
    async def scenario(clock):
        async with Cluster(clock, seed) as cluster:
            install_crashing_engines(cluster)
            await cluster.start(1, 2, 3)
            other_results = [
                asyncio.create_task(submit(cluster, 1 + n % 3, f"answer {n}", f"i{n}"))
                for n in range(30)
            ]
            crashing_results = []
            for n in range(6):
                crashing_results.append(
                    await submit(cluster, 1 + n % 3, CRASHING_PROMPT, f"k{n}")
                )
            codes = [(await task).code for task in other_results]
            return (
                [record.code for record in crashing_results],
                codes,
                total_crashes(cluster),
            )

    crashing_results, other_results, count = run_virtual(scenario)
    assert set(crashing_results) == {ResultCode.REQUEST_CRASHES_ENGINES}
    assert set(other_results) == {ResultCode.OK}
    assert count <= QUARANTINE_CRASHES


def test_quarantine_persists_when_the_host_that_recorded_it_is_lost() -> None:
    async def scenario(clock):
        async with Cluster(clock, 3) as cluster:
            install_crashing_engines(cluster)
            await cluster.start(1, 2)
            first = await submit(cluster, 1, CRASHING_PROMPT, "k1")
            await cluster.kill(1)
            await cluster.kill(2)
            await cluster._start(3)
            await asyncio.sleep(20.0)
            before = total_crashes(cluster)
            second = await submit(cluster, 3, CRASHING_PROMPT, "k2")
            return first.code, second.code, total_crashes(cluster) - before

    assert run_virtual(scenario) == (2010, 2010, 0)


def test_crashing_request_is_quarantined_when_the_store_is_down() -> None:
    async def scenario(clock):
        async with Cluster(clock, 4) as cluster:
            install_crashing_engines(cluster)
            await cluster.start(1, 2)
            work = cluster.work(1, CRASHING_PROMPT, tokens=40)
            submitted = asyncio.create_task(cluster.hosts[1].coding.submit(work, "k"))
            await asyncio.sleep(0.02)
            for connections in cluster.connections.values():
                connections.down = True
            await asyncio.sleep(40.0)
            for connections in cluster.connections.values():
                connections.down = False
            await submitted
            second = await submit(cluster, 2, CRASHING_PROMPT, "k2")
            return second.code, total_crashes(cluster)

    second, count = run_virtual(scenario)
    assert second == ResultCode.REQUEST_CRASHES_ENGINES
    assert count <= QUARANTINE_CRASHES


def test_batch_job_ends_when_one_item_crashes_engines() -> None:
    async def scenario(clock):
        async with Cluster(clock, 5, concurrency=8) as cluster:
            install_crashing_engines(cluster)
            await cluster.start(1, 2)
            for engine in cluster.fleet.engines.engines.values():
                engine.generate = _crashes_on(engine, "summarise call 7")
            job = await cluster.submit(1, 40, tokens=40)
            await cluster.wait_until(lambda: cluster.job_completed(1, job))
            read = await cluster.hosts[2].jobs.outcomes("kgotso", job.job_id)
            return read.unwrap(), total_crashes(cluster)

    outcomes, count = run_virtual(scenario)
    failed = {item.custom_id: item.code for item in outcomes if item.code != 1000}
    assert failed == {"call-7": ResultCode.REQUEST_CRASHES_ENGINES}
    assert count <= QUARANTINE_CRASHES


def _crashes_on(engine, prompt):
    generate = EmbeddedEngine.generate

    async def run(call):
        if call.prompt == prompt:
            asyncio.get_running_loop().call_later(
                CRASH_AFTER_S, engine._record_and_crash
            )
        async for chunk in generate(engine, call):
            yield chunk

    return run
