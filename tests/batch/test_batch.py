"""
Batch jobs end with one result for each item.

Guards against items that are lost or counted twice when the store is down or
replies are lost, against items that run after a cancel, and against a large
job that delays the jobs of other customers.
"""

from __future__ import annotations

import asyncio

import attrs
import pytest

from aspenbridge.embedded import EmbeddedEngine
from aspenbridge.ports import CallOutcome, EngineFailure
from aspenbridge.result_codes import ResultCode
from tests.support.cluster import Cluster
from tests.support.virtual_loop import run_virtual


@pytest.mark.parametrize("seed", [1, 2])
def test_job_ends_with_each_item_once_when_the_store_is_down_for_a_minute(seed) -> None:
    async def scenario(clock):
        async with Cluster(clock, seed, concurrency=4, flush_interval_s=1.0) as cluster:
            await cluster.start(1, 2, 3)
            job = await cluster.submit(1, 150, tokens=100)
            await asyncio.sleep(1.5)
            for connections in cluster.connections.values():
                connections.down = True
            await asyncio.sleep(60.0)
            for connections in cluster.connections.values():
                connections.down = False
            recovered_s = await cluster.wait_until(
                lambda: cluster.job_completed(1, job)
            )
            return recovered_s, await cluster.result_ids(2, job)

    recovered_s, answers = run_virtual(scenario)
    assert recovered_s < 30.0
    assert len(answers) == len(set(answers)) == 150


def test_job_ends_with_each_item_once_when_replies_are_lost() -> None:
    async def scenario(clock):
        async with Cluster(clock, 3, concurrency=4, flush_interval_s=0.5) as cluster:
            await cluster.start(1, 2, 3)
            job = await cluster.submit(1, 150, tokens=60)

            async def lose_replies_repeatedly():
                while True:
                    for connections in cluster.connections.values():
                        connections.lose_replies = 1
                    await asyncio.sleep(0.3)

            losing_task = asyncio.create_task(lose_replies_repeatedly())
            await cluster.wait_until(lambda: cluster.job_completed(1, job))
            losing_task.cancel()
            return await cluster.result_ids(2, job)

    answers = run_virtual(scenario)
    assert len(answers) == len(set(answers)) == 150


@pytest.mark.parametrize(("notices", "bound_s"), [(True, 0.1), (False, 6.5)])
def test_cancel_stops_items_on_every_host_within_the_bound(notices, bound_s) -> None:
    async def scenario(clock):
        options = {"chunk_items": 500, "concurrency": 4, "flush_interval_s": 0.5}
        async with Cluster(clock, 4, **options) as cluster:
            await cluster.start(1, 2, 3)
            job = await cluster.submit(1, 3000, tokens=100)
            await asyncio.sleep(3.0)
            for connections in cluster.connections.values():
                connections.isolated = not notices
            cancelled = await cluster.hosts[1].jobs.cancel("kgotso", job.job_id)
            counted_at_cancel = set(await cluster.result_ids(2, job))
            await asyncio.sleep(bound_s)
            engines = cluster.fleet.engines.engines.values()
            started = sum(engine.generations_started for engine in engines)
            running = sum(engine.report().running for engine in engines)
            await asyncio.sleep(10.0)
            started_later = sum(engine.generations_started for engine in engines)
            counted_later = set(await cluster.result_ids(2, job))
            return (
                cancelled.unwrap().state,
                running,
                started_later - started,
                counted_at_cancel,
                counted_later,
            )

    state, running, started_later, counted_at_cancel, counted_later = run_virtual(
        scenario
    )
    assert state == "cancelled"
    assert (running, started_later) == (0, 0)
    assert counted_at_cancel and counted_at_cancel <= counted_later


def test_small_job_ends_soon_when_another_customer_fills_the_fleet() -> None:
    async def scenario(clock):
        options = {"chunk_items": 500, "concurrency": 4, "flush_interval_s": 1.0}
        async with Cluster(clock, 5, **options) as cluster:
            await cluster.start(1, 2, 3)
            large = await cluster.submit(1, 3000, tokens=100)
            await asyncio.sleep(5.0)
            small = await cluster.submit(2, 10, customer="lainaamo", tokens=100)
            elapsed_s = await cluster.wait_until(
                lambda: cluster.job_completed(3, small)
            )
            return elapsed_s, await cluster.job_completed(1, large)

    elapsed_s, large_ended = run_virtual(scenario)
    assert elapsed_s < 8.0
    assert not large_ended


def test_item_fails_after_its_attempts_when_every_engine_refuses_it() -> None:
    class FailingEngine(EmbeddedEngine):
        refused_calls = 0

        async def generate(self, call):
            if call.prompt.endswith(" 3"):
                FailingEngine.refused_calls += 1
                raise EngineFailure(self.name, CallOutcome.REFUSED, "broken")
            async for chunk in super().generate(call):
                yield chunk

    async def scenario(clock):
        async with Cluster(clock, 6, item_attempts=2) as cluster:
            for name, engine in cluster.fleet.engines.engines.items():
                cluster.fleet.engines.engines[name] = FailingEngine(
                    name, clock, engine._profile
                )
            await cluster.start(1, 2)
            job = await cluster.submit(1, 8)
            await cluster.wait_until(lambda: cluster.job_completed(1, job))
            return (await cluster.hosts[2].jobs.outcomes("kgotso", job.job_id)).unwrap()

    outcomes = run_virtual(scenario)
    failed = {
        outcome.custom_id: outcome.code for outcome in outcomes if outcome.code != 1000
    }
    assert failed == {"call-3": ResultCode.BACKEND_FAILED}
    assert FailingEngine.refused_calls <= 6


def test_chunk_size_is_that_of_the_file_when_hosts_have_other_settings() -> None:
    async def scenario(clock):
        async with Cluster(clock, 7) as cluster:
            await cluster.start(1)
            cluster.batch = attrs.evolve(cluster.batch, chunk_items=7)
            await cluster.start(2)
            job = await cluster.submit(2, 25)
            await cluster.wait_until(lambda: cluster.job_completed(1, job))
            return job.chunks, await cluster.result_ids(1, job)

    chunks, answers = run_virtual(scenario)
    assert chunks == 4
    assert len(answers) == len(set(answers)) == 25


def test_pages_give_one_segment_at_a_time_when_results_are_read() -> None:
    async def scenario(clock):
        async with Cluster(clock, 8) as cluster:
            await cluster.start(1)
            job = await cluster.submit(1, 30)
            await cluster.wait_until(lambda: cluster.job_completed(1, job))
            pages = cluster.hosts[1].jobs.pages("kgotso", job.job_id)
            return [len(page) async for page in pages]

    assert run_virtual(scenario) == [10, 10, 10]
