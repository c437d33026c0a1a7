"""
A coding request runs once and its state is reported correctly.

Guards against lost, repeated or misreported requests when the store is down,
the reply of a commit is lost, a deadline passes or a request is sent again.
"""

from __future__ import annotations

import asyncio

import pytest

from aspenbridge.result_codes import Execution, ResultCode
from tests.support.cluster import Cluster
from tests.support.virtual_loop import run_virtual

DAY_S = 86_400.0


async def read_record(cluster, number, request_id):
    return (await cluster.hosts[number].coding.read("kgotso", request_id)).unwrap()


async def has_ended(cluster, number, request_id):
    return (await read_record(cluster, number, request_id)).ended


def started_attempts(cluster):
    return sum(
        engine.generations_started for engine in cluster.fleet.engines.engines.values()
    )


def test_deadline_answer_says_unknown_when_the_request_still_runs() -> None:
    async def scenario(clock):
        async with Cluster(clock, 1) as cluster:
            await cluster.start(1, 2)
            work = cluster.work(1, "long", tokens=800, limit_s=0.5)
            answer = await cluster.hosts[1].coding.submit(work, "k")
            await cluster.wait_until(lambda: has_ended(cluster, 2, work.work_id))
            return answer.failure(), await read_record(cluster, 2, work.work_id)

    problem, record = run_virtual(scenario)
    assert problem.code is ResultCode.DEADLINE_EXCEEDED
    assert problem.execution is Execution.UNKNOWN
    assert record.state == "done"


def test_refused_request_never_runs_when_the_store_was_down() -> None:
    async def scenario(clock):
        async with Cluster(clock, 2) as cluster:
            await cluster.start(1, 2)
            cluster.connections[1].down = True
            work = cluster.work(1, "refused")
            answer = await cluster.hosts[1].coding.submit(work, "k")
            cluster.connections[1].down = False
            await asyncio.sleep(60.0)
            read_result = await cluster.hosts[2].coding.read("kgotso", work.work_id)
            return answer.failure(), read_result.failure(), started_attempts(cluster)

    problem, read_result, runs = run_virtual(scenario)
    assert (problem.code, problem.execution) == (
        ResultCode.STORE_UNAVAILABLE,
        Execution.NOT_RUN,
    )
    assert read_result.code is ResultCode.NOT_FOUND
    assert runs == 0


@pytest.mark.parametrize("applied", [True, False])
def test_ambiguous_acceptance_is_reported_and_resolved_when_the_store_is_back(
    applied,
) -> None:
    async def scenario(clock):
        async with Cluster(clock, 3) as cluster:
            await cluster.start(1, 2)
            connections = cluster.connections[1]
            transact = connections.transact

            async def lose_reply(transaction):
                connections.down = True
                connections.transact = transact
                if applied:
                    await cluster.fleet.table.transact(transaction)
                return lost_reply()

            connections.transact = lose_reply
            work = cluster.work(1, "ambiguous")
            answer = await cluster.hosts[1].coding.submit(work, "k")
            await asyncio.sleep(30.0)
            connections.down = False
            await asyncio.sleep(15.0)
            again = await cluster.hosts[2].coding.submit(
                cluster.work(2, "ambiguous"), "k"
            )
            return (
                answer.failure(),
                again.unwrap(),
                work.work_id,
                started_attempts(cluster),
            )

    problem, record, request_id, runs = run_virtual(scenario)
    assert problem.code is ResultCode.OUTCOME_UNKNOWN
    assert record.request_id == request_id
    assert (record.state, runs) == ("done", 1)


def lost_reply():
    from returns.result import Failure

    from aspenbridge.ports import Unavailable

    return Failure(Unavailable("the reply was lost", maybe_applied=True))


def test_answer_is_recorded_when_the_store_is_down_at_its_end() -> None:
    async def scenario(clock):
        async with Cluster(clock, 4) as cluster:
            await cluster.start(1, 2)
            work = cluster.work(1, "outage", tokens=200, limit_s=5.0)
            submitted = asyncio.create_task(cluster.hosts[1].coding.submit(work, "k"))
            await asyncio.sleep(0.2)
            for connections in cluster.connections.values():
                connections.down = True
            answer = await submitted
            await asyncio.sleep(60.0)
            for connections in cluster.connections.values():
                connections.down = False
            elapsed_s = await cluster.wait_until(
                lambda: has_ended(cluster, 2, work.work_id)
            )
            return answer.failure().execution, elapsed_s, started_attempts(cluster)

    execution, elapsed_s, runs = run_virtual(scenario)
    assert execution is Execution.UNKNOWN
    assert elapsed_s < 10.0
    assert runs == 1


def test_resend_gets_the_first_answer_a_day_later() -> None:
    async def scenario(clock):
        async with Cluster(clock, 5) as cluster:
            await cluster.start(1)
            first = await cluster.hosts[1].coding.submit(cluster.work(1, "a"), "k")
            await cluster.kill(1)
            await asyncio.sleep(DAY_S)
            await cluster._start(2)
            await asyncio.sleep(60.0)
            again = await cluster.hosts[2].coding.submit(cluster.work(2, "a"), "k")
            other = await cluster.hosts[2].coding.submit(cluster.work(2, "b"), "k")
            return (
                first.unwrap(),
                again.unwrap(),
                other.failure(),
                started_attempts(cluster),
            )

    first, again, other, runs = run_virtual(scenario)
    assert first == again
    assert other.code is ResultCode.IDEMPOTENCY_CONFLICT
    assert runs == 1


def test_resend_waits_for_the_first_run_when_another_host_receives_it() -> None:
    async def scenario(clock):
        async with Cluster(clock, 6) as cluster:
            await cluster.start(1, 2)
            first = asyncio.create_task(
                cluster.hosts[1].coding.submit(cluster.work(1, "a", tokens=300), "k")
            )
            await asyncio.sleep(0.2)
            again = cluster.work(2, "a", tokens=300)
            second = await cluster.hosts[2].coding.submit(again, "k")
            return (await first).unwrap(), second.unwrap(), started_attempts(cluster)

    first, second, runs = run_virtual(scenario)
    assert first == second
    assert runs == 1
