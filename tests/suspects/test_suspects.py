"""A request that crashes engines is stopped; those beside it are not."""

from __future__ import annotations

import asyncio

import pytest

from aspenbridge.embedded import EmbeddedEngine
from aspenbridge.result_codes import ResultCode
from aspenbridge.suspects import CONVICTING_CRASHES
from tests.support.cluster import Cluster
from tests.support.virtual_loop import run_virtual

KILLER = "the killer"
CRASH_AFTER_S = 0.005


class Fragile(EmbeddedEngine):
    """Crashes some steps after it admits the killer."""

    crashes = 0

    async def generate(self, call):
        if call.prompt == KILLER:
            asyncio.get_running_loop().call_later(CRASH_AFTER_S, self._die)
        async for chunk in super().generate(call):
            yield chunk

    def _die(self):
        self.crashes += 1
        self.crash()


def make_fragile(cluster):
    engines = cluster.fleet.engines.engines
    for name, engine in engines.items():
        engines[name] = Fragile(name, cluster.clock, engine._model)


def crashes(cluster):
    return sum(engine.crashes for engine in cluster.fleet.engines.engines.values())


async def code(cluster, number, prompt, key):
    work = cluster.work(number, prompt, tokens=40)
    return (await cluster.hosts[number].coding.submit(work, key)).unwrap()


@pytest.mark.parametrize("seed", [1, 2])
def test_killer_is_stopped_when_it_is_resent_under_new_keys(seed) -> None:
    async def scenario(clock):
        async with Cluster(clock, seed) as cluster:
            make_fragile(cluster)
            await cluster.start(1, 2, 3)
            innocents = [
                asyncio.create_task(code(cluster, 1 + n % 3, f"answer {n}", f"i{n}"))
                for n in range(30)
            ]
            killers = []
            for n in range(6):
                killers.append(await code(cluster, 1 + n % 3, KILLER, f"k{n}"))
            codes = [(await task).code for task in innocents]
            return [record.code for record in killers], codes, crashes(cluster)

    killers, innocents, count = run_virtual(scenario)
    assert set(killers) == {ResultCode.REQUEST_CRASHES_ENGINES}
    assert set(innocents) == {ResultCode.OK}
    assert count <= CONVICTING_CRASHES


def test_conviction_holds_when_the_host_that_saw_it_is_lost() -> None:
    async def scenario(clock):
        async with Cluster(clock, 3) as cluster:
            make_fragile(cluster)
            await cluster.start(1, 2)
            first = await code(cluster, 1, KILLER, "k1")
            await cluster.kill(1)
            await cluster.kill(2)
            await cluster._start(3)
            await asyncio.sleep(20.0)
            before = crashes(cluster)
            second = await code(cluster, 3, KILLER, "k2")
            return first.code, second.code, crashes(cluster) - before

    assert run_virtual(scenario) == (2010, 2010, 0)


def test_killer_is_stopped_when_the_store_is_down_during_its_crashes() -> None:
    async def scenario(clock):
        async with Cluster(clock, 4) as cluster:
            make_fragile(cluster)
            await cluster.start(1, 2)
            work = cluster.work(1, KILLER, tokens=40)
            submitted = asyncio.create_task(cluster.hosts[1].coding.submit(work, "k"))
            await asyncio.sleep(0.02)
            for link in cluster.links.values():
                link.down = True
            await asyncio.sleep(40.0)
            for link in cluster.links.values():
                link.down = False
            await submitted
            second = await code(cluster, 2, KILLER, "k2")
            return second.code, crashes(cluster)

    second, count = run_virtual(scenario)
    assert second == ResultCode.REQUEST_CRASHES_ENGINES
    assert count <= CONVICTING_CRASHES


def test_batch_job_ends_when_one_item_kills_engines() -> None:
    async def scenario(clock):
        async with Cluster(clock, 5, concurrency=8) as cluster:
            make_fragile(cluster)
            await cluster.start(1, 2)
            for engine in cluster.fleet.engines.engines.values():
                engine.generate = _kills_on(engine, "summarise call 7")
            job = await cluster.submit(1, 40, tokens=40)
            await cluster.until(lambda: cluster.job_ended(1, job))
            read = await cluster.hosts[2].jobs.outcomes("kgotso", job.job_id)
            return read.unwrap(), crashes(cluster)

    outcomes, count = run_virtual(scenario)
    failed = {item.custom_id: item.code for item in outcomes if item.code != 1000}
    assert failed == {"call-7": ResultCode.REQUEST_CRASHES_ENGINES}
    assert count <= CONVICTING_CRASHES


def _kills_on(engine, prompt):
    generate = EmbeddedEngine.generate

    async def run(call):
        if call.prompt == prompt:
            asyncio.get_running_loop().call_later(CRASH_AFTER_S, engine._die)
        async for chunk in generate(engine, call):
            yield chunk

    return run
