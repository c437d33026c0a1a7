"""
Takeover of the work of lost hosts.

Guards against work that is lost, counted twice or taken over late when hosts
fail, pause, restart or are cut off from the peers or the table.
"""

from __future__ import annotations

import asyncio

import pytest

from aspenbridge.ports import PeerAddress, RowKey
from aspenbridge.result_codes import ResultCode
from tests.support.cluster import Cluster
from tests.support.virtual_loop import run_virtual

TAKEOVER_BOUND_S = 15.0
SWEEP_BOUND_S = 40.0


async def count_owned_rows(cluster, incarnation):
    page = await cluster.fleet.table.scan("owned", f"{incarnation}/")
    return len(page.unwrap().rows)


async def host_row(cluster, incarnation):
    return (await cluster.fleet.table.read([RowKey("hosts", incarnation)])).unwrap()[0]


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_coding_request_ends_on_another_host_when_its_host_is_lost(seed) -> None:
    async def scenario(clock):
        async with Cluster(clock, seed) as cluster:
            await cluster.start(1, 2, 3)
            work = cluster.work(1, "code this", tokens=400)
            submitted = asyncio.create_task(cluster.hosts[1].coding.submit(work, "k"))
            await asyncio.sleep(0.3)
            lost = await cluster.kill(1)
            submitted.cancel()

            async def ended():
                read = await cluster.hosts[2].coding.read("kgotso", work.work_id)
                return read.unwrap().ended

            took_s = await cluster.wait_until(ended)
            repeated_work = cluster.work(3, "code this", tokens=400)
            resent = (await cluster.hosts[3].coding.submit(repeated_work, "k")).unwrap()
            assert await count_owned_rows(cluster, lost) == 0
            assert await host_row(cluster, lost) is None
            return took_s, resent, work.work_id

    took_s, resent, request_id = run_virtual(scenario)
    assert took_s < TAKEOVER_BOUND_S
    assert resent.request_id == request_id
    assert resent.state == "done"


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_job_counts_each_item_once_when_a_host_is_lost(seed) -> None:
    async def scenario(clock):
        async with Cluster(clock, seed, concurrency=4, flush_interval_s=1.0) as cluster:
            await cluster.start(1, 2, 3)
            job = await cluster.submit(1, 200, tokens=100)
            await asyncio.sleep(1.5)
            busiest = max(
                cluster.hosts, key=lambda n: len(cluster.hosts[n].batch._runs)
            )
            lost = await cluster.kill(busiest)
            assert await count_owned_rows(cluster, lost) > 0
            other = next(iter(cluster.hosts))
            await cluster.wait_until(lambda: cluster.job_completed(other, job))
            outcomes = await cluster.hosts[other].jobs.outcomes("kgotso", job.job_id)
            return outcomes.unwrap(), await count_owned_rows(cluster, lost)

    outcomes, owned_count = run_virtual(scenario)
    assert len(outcomes) == len({outcome.custom_id for outcome in outcomes}) == 200
    assert {outcome.code for outcome in outcomes} == {1000}
    assert owned_count == 0


def test_paused_host_registers_again_when_it_was_fenced() -> None:
    async def scenario(clock):
        async with Cluster(clock, 4, concurrency=4) as cluster:
            await cluster.start(1, 2, 3)
            job = await cluster.submit(1, 100, tokens=100)
            await asyncio.sleep(2.0)
            before = cluster.hosts[1].identity().incarnation
            cluster.pause(1)
            await asyncio.sleep(30.0)
            cluster.resume(1)
            await cluster.wait_until(lambda: cluster.job_completed(1, job))
            await asyncio.sleep(15.0)
            outcomes = await cluster.hosts[1].jobs.outcomes("kgotso", job.job_id)
            host = cluster.hosts[1]
            return outcomes.unwrap(), before, host.identity().incarnation, host

    outcomes, before, after, host = run_virtual(scenario)
    assert len(outcomes) == len({outcome.custom_id for outcome in outcomes}) == 100
    assert before != after
    assert host.registration.renewals == 1


def test_nothing_is_lost_when_all_hosts_are_replaced_at_once() -> None:
    async def scenario(clock):
        async with Cluster(clock, 5, concurrency=4) as cluster:
            await cluster.start(1, 2, 3)
            job = await cluster.submit(1, 60, tokens=100)
            work = cluster.work(2, "code this", tokens=400)
            submitted = asyncio.create_task(cluster.hosts[2].coding.submit(work, "k"))
            await asyncio.sleep(0.5)
            for number in (1, 2, 3):
                await cluster.kill(number)
            submitted.cancel()
            await asyncio.sleep(5.0)
            for number in (4, 5, 6):
                await cluster._start(number)

            async def ended():
                read = await cluster.hosts[4].coding.read("kgotso", work.work_id)
                return read.unwrap().ended and await cluster.job_completed(5, job)

            took_s = await cluster.wait_until(ended)
            outcomes = await cluster.hosts[6].jobs.outcomes("kgotso", job.job_id)
            return took_s, outcomes.unwrap()

    took_s, outcomes = run_virtual(scenario)
    assert took_s < SWEEP_BOUND_S
    assert len({outcome.custom_id for outcome in outcomes}) == len(outcomes) == 60


def test_connected_hosts_keep_their_incarnations_when_another_is_cut_off() -> None:
    async def scenario(clock):
        async with Cluster(clock, 8) as cluster:
            await cluster.start(1, 2, 3)
            hosts = cluster.hosts.items()
            names = {number: host.identity().incarnation for number, host in hosts}
            cluster.connections[1].isolated = True
            address = PeerAddress("127.0.0.1", 1)
            handler = cluster.fleet.peers.handlers.pop(address)
            await asyncio.sleep(120.0)
            for number in (2, 3):  # the table shows that they are alive
                assert await host_row(cluster, names[number]) is not None
            cluster.connections[1].isolated = False
            cluster.fleet.peers.handlers[address] = handler
            await asyncio.sleep(60.0)
            renewed = cluster.hosts[1].registration.renewals
            kept = [host.identity().incarnation for host in cluster.hosts.values()]
            return renewed, kept[1:], [names[2], names[3]]

    renewed, kept, before = run_virtual(scenario)
    assert renewed > 0
    assert kept == before


def test_last_live_host_takes_over_within_the_bound() -> None:
    async def scenario(clock):
        async with Cluster(clock, 10, concurrency=4) as cluster:
            await cluster.start(1, 2, 3)
            job = await cluster.submit(2, 200, tokens=100)
            await asyncio.sleep(0.5)
            lost = [await cluster.kill(number) for number in (2, 3)]

            async def all_taken_over():
                rows = [await host_row(cluster, incarnation) for incarnation in lost]
                return rows == [None, None]

            took_s = await cluster.wait_until(all_taken_over)
            await cluster.wait_until(lambda: cluster.job_completed(1, job))
            suspicions = await cluster.fleet.table.scan("host_doubts", "")
            return took_s, suspicions.unwrap().rows

    took_s, suspicions = run_virtual(scenario)
    assert took_s < SWEEP_BOUND_S
    assert not suspicions


def test_live_host_keeps_its_work_when_only_its_own_probes_fail() -> None:
    async def scenario(clock):
        async with Cluster(clock, 6) as cluster:
            await cluster.start(1, 2, 3)
            names = {
                n: host.identity().incarnation for n, host in cluster.hosts.items()
            }
            cluster.connections[1].isolated = True
            await asyncio.sleep(30.0)
            kept = {
                number: host.identity().incarnation == names[number]
                for number, host in cluster.hosts.items()
            }
            return kept

    assert run_virtual(scenario) == {1: True, 2: True, 3: True}


def test_nothing_is_fenced_while_the_table_is_down() -> None:
    async def scenario(clock):
        async with Cluster(clock, 7) as cluster:
            await cluster.start(1, 2, 3)
            names = [host.identity().incarnation for host in cluster.hosts.values()]
            for connections in cluster.connections.values():
                connections.down = True
            await asyncio.sleep(60.0)
            for connections in cluster.connections.values():
                connections.down = False
            await asyncio.sleep(20.0)
            return names, [
                host.identity().incarnation for host in cluster.hosts.values()
            ]

    before, after = run_virtual(scenario)
    assert before == after


def test_fenced_host_accepts_nothing_before_it_detects_the_fencing() -> None:
    async def scenario(clock):
        async with Cluster(clock, 9) as cluster:
            await cluster.start(1, 2, 3)
            fenced = cluster.hosts[1].identity().incarnation
            assert await cluster.hosts[2].takeover.fence(fenced)
            work = cluster.work(1, "code this")
            answer = await cluster.hosts[1].coding.submit(work, "k")
            await asyncio.sleep(5.0)
            read = await cluster.hosts[2].coding.read("kgotso", work.work_id)
            renewed = cluster.hosts[1].identity().incarnation != fenced
            return answer.failure().code, read.failure().code, renewed

    expected = (ResultCode.FENCED, ResultCode.NOT_FOUND, True)
    assert run_virtual(scenario) == expected
