"""
A call that is not idempotent runs at most once.

Guards against a second run, and against a wrong report of the outcome, when a
call is sent again after its host, its connection or the store has failed.
"""

from __future__ import annotations

import asyncio

import attrs
import pytest

from aspenbridge.ports import CallOutcome, ServiceFailure, ServiceReply
from aspenbridge.result_codes import Execution, ResultCode
from tests.online.test_coding import lost_reply
from tests.support.cluster import Cluster
from tests.support.virtual_loop import run_virtual


class FaultyService:
    """A service that is slow, or fails before or after it runs a booking."""

    def __init__(
        self,
        cluster,
        *,
        duration_s=0.0,
        fails_before=None,
        fails_after=None,
        status=201,
    ):
        self._ledger = cluster.fleet.ledger
        self.duration_s = duration_s
        self.fails_before = fails_before
        self.fails_after = fails_after
        self.status = status

    async def call(self, call, deadline_s):
        if self.fails_before is not None:
            raise ServiceFailure(call.address, self.fails_before, "no byte went out")
        reply = self._ledger.book(call)
        await asyncio.sleep(self.duration_s)
        if self.fails_after is not None:
            raise ServiceFailure(call.address, self.fails_after, "the connection broke")
        return attrs.evolve(reply, status=self.status)


def use_service(cluster, number, service):
    cluster.hosts[number].calls._services = service


def test_resend_waits_for_the_first_call_when_it_is_in_flight() -> None:
    async def scenario(clock):
        async with Cluster(clock, 1) as cluster:
            await cluster.start(1, 2)
            use_service(cluster, 1, FaultyService(cluster, duration_s=3.0))
            first = asyncio.create_task(cluster.book(1))
            await asyncio.sleep(0.5)
            second = await cluster.book(2)
            return (await first).unwrap(), second.unwrap(), cluster.bookings

    first, second, runs = run_virtual(scenario)
    assert first == second
    assert runs == 1


def test_resend_reports_unknown_when_the_host_failed_after_journalling() -> None:
    async def scenario(clock):
        async with Cluster(clock, 2) as cluster:
            await cluster.start(1, 2, 3)
            use_service(cluster, 1, FaultyService(cluster, duration_s=100.0))
            first = asyncio.create_task(cluster.book(1))
            await asyncio.sleep(0.5)
            await cluster.kill(1)
            first.cancel()
            started_s = clock.now_s()
            second = await cluster.book(2, limit_s=60.0)
            waited_s = clock.now_s() - started_s
            third = await cluster.book(3)
            return second.failure(), third.failure(), waited_s, cluster.bookings

    second, third, waited_s, runs = run_virtual(scenario)
    assert second.code is third.code is ResultCode.OUTCOME_UNKNOWN
    assert second.execution is Execution.UNKNOWN
    assert waited_s < 15.0
    assert runs == 1


def test_resend_runs_when_no_byte_of_the_first_call_went_out() -> None:
    async def scenario(clock):
        async with Cluster(clock, 3) as cluster:
            await cluster.start(1, 2)
            use_service(
                cluster, 1, FaultyService(cluster, fails_before=CallOutcome.NOT_SENT)
            )
            first = await cluster.book(1)
            second = await cluster.book(2)
            third = await cluster.book(1)
            return first.failure(), second.unwrap(), third.unwrap(), cluster.bookings

    first, second, third, runs = run_virtual(scenario)
    assert first.execution is Execution.NOT_RUN
    assert second == third
    assert runs == 1


def test_answer_says_unknown_when_the_connection_broke_after_sending() -> None:
    async def scenario(clock):
        async with Cluster(clock, 4) as cluster:
            await cluster.start(1, 2)
            use_service(
                cluster, 1, FaultyService(cluster, fails_after=CallOutcome.BROKEN)
            )
            first = await cluster.book(1)
            second = await cluster.book(2)
            return first.failure(), second.failure(), cluster.bookings

    first, second, runs = run_virtual(scenario)
    assert first.code is second.code is ResultCode.OUTCOME_UNKNOWN
    assert runs == 1


@pytest.mark.parametrize("applied", [True, False])
def test_not_run_is_true_when_the_journal_write_was_ambiguous(applied) -> None:
    async def scenario(clock):
        async with Cluster(clock, 5) as cluster:
            await cluster.start(1, 2)
            connections = cluster.connections[1]
            transact = connections.transact
            late_transactions = []

            async def lose_reply(transaction):
                connections.down = True
                connections.transact = transact
                late_transactions.append(transaction)
                if applied:
                    await cluster.fleet.table.transact(transaction)
                return lost_reply()

            connections.transact = lose_reply
            first = await cluster.book(1)
            connections.down = False
            await asyncio.sleep(10.0)
            await cluster.fleet.table.transact(late_transactions[0])
            runs = cluster.bookings
            second = await cluster.book(2)
            return first.failure(), runs, second.unwrap(), cluster.bookings

    first, runs, second, runs_after = run_virtual(scenario)
    assert first.execution is Execution.NOT_RUN
    assert (runs, runs_after) == (0, 1)
    assert isinstance(second, ServiceReply)


def test_reply_is_kept_when_the_store_is_down_after_the_call() -> None:
    async def scenario(clock):
        async with Cluster(clock, 6) as cluster:
            await cluster.start(1, 2)
            use_service(cluster, 1, FaultyService(cluster, duration_s=2.0))
            first = asyncio.create_task(cluster.book(1))
            await asyncio.sleep(1.0)
            cluster.connections[1].down = True
            answer = await first
            await asyncio.sleep(60.0)
            cluster.connections[1].down = False
            second = await cluster.book(2)
            return answer.unwrap(), second.unwrap(), cluster.bookings

    first, second, runs = run_virtual(scenario)
    assert first == second
    assert runs == 1


def test_status_of_the_service_passes_through_when_it_refuses() -> None:
    async def scenario(clock):
        async with Cluster(clock, 7) as cluster:
            await cluster.start(1)
            use_service(cluster, 1, FaultyService(cluster, status=409))
            return [(await cluster.book(1)).unwrap().status for _ in range(2)]

    assert run_virtual(scenario) == [409, 409]
