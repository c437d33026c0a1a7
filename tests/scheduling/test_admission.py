"""Admission across several hosts whose messages take time or get lost."""

from __future__ import annotations

import asyncio

import pytest

from aspenbridge.membership._members import FAILED
from aspenbridge.peers import GrantRequest, RunningReport
from aspenbridge.result_codes import ProblemError, ResultCode
from tests.scheduling.hosts import MODEL, TestFleet
from tests.support.virtual_loop import run_virtual

GROUP = f"{MODEL}/r"


async def acquire(fleet, host, **fields):
    work = host.work(fleet.clock, **fields)
    engines = fleet.view.eligible(MODEL, None)
    return await host.scheduler.admission.acquire(work, engines, avoid=frozenset())


def running(fleet) -> int:
    return fleet.owner.scheduler.owner.groups()[GROUP].running


def test_hosts_together_stay_within_an_engine_when_all_request_at_once() -> None:
    async def scenario(clock):
        fleet = TestFleet(clock, hosts=3, sequences=8)
        await fleet.wait_past_grace()
        calls = [acquire(fleet, host) for host in fleet.hosts for _ in range(6)]
        results = await asyncio.gather(*calls, return_exceptions=True)
        refused = [item for item in results if isinstance(item, ProblemError)]
        assert len(results) - len(refused) == 8
        assert {item.problem.code for item in refused} == {ResultCode.OVERLOADED}
        assert all(item.problem.retry_after_s > 0 for item in refused)

    run_virtual(scenario)


def test_batch_slot_is_revoked_within_100_ms_when_online_arrives() -> None:
    async def scenario(clock):
        fleet = TestFleet(clock, online_headroom=0.0)
        await fleet.wait_past_grace()
        origin, other = fleet.others
        calls = [acquire(fleet, origin, online=False) for _ in range(8)]
        batch = await asyncio.gather(*calls)
        start_s = clock.now_s()
        await acquire(fleet, other)
        assert clock.now_s() - start_s < 0.01
        await asyncio.sleep(0.1)
        assert sum(grant.revoked.is_set() for grant in batch) == 1

    run_virtual(scenario)


@pytest.mark.parametrize("online", [True, False])
def test_host_uses_its_static_share_when_the_owner_does_not_answer(online) -> None:
    async def scenario(clock):
        fleet = TestFleet(clock, hosts=3, sequences=24)
        fleet.peers.unresponsive.add(fleet.owner.address)
        host = fleet.others[0]
        calls = [
            acquire(fleet, host, online=online, remaining_s=20.0) for _ in range(20)
        ]
        results = await asyncio.gather(*calls, return_exceptions=True)
        granted = [item for item in results if not isinstance(item, ProblemError)]
        assert len(granted) == (8 if online else 2)

    run_virtual(scenario)


def test_new_owner_knows_used_slots_when_the_old_one_was_lost() -> None:
    async def scenario(clock):
        fleet = TestFleet(clock, hosts=3, sequences=8)
        await fleet.wait_past_grace()
        old, (first, second) = fleet.owner, fleet.others
        for host in (first, first, second):
            await acquire(fleet, host)
        old.kill()
        fleet.peers.unresponsive.add(old.address)
        for host in (first, second):
            host.members.declare_failed(old.name)
            assert host.members.find(old.name).news.state == FAILED
        await asyncio.sleep(0.5)
        fleet.hosts.remove(old)
        assert running(fleet) == 3

    run_virtual(scenario)


def test_slots_are_freed_when_their_host_was_lost() -> None:
    async def scenario(clock):
        fleet = TestFleet(clock)
        await fleet.wait_past_grace()
        holder = fleet.others[0]
        for _ in range(4):
            await acquire(fleet, holder)
        assert running(fleet) == 4
        holder.kill()
        fleet.owner.members.declare_failed(holder.name)
        await asyncio.sleep(0.5)
        assert running(fleet) == 0

    run_virtual(scenario)


def test_slot_is_freed_when_its_release_was_lost() -> None:
    async def scenario(clock):
        fleet = TestFleet(clock)
        await fleet.wait_past_grace()
        holder = fleet.others[0]
        grant = await acquire(fleet, holder)
        fleet.peers.unresponsive.add(fleet.owner.address)
        holder.scheduler.admission.release(grant, tokens=1, failed=False)
        await asyncio.sleep(0.1)
        assert running(fleet) == 1
        fleet.peers.unresponsive.clear()
        await asyncio.sleep(13.0)
        assert running(fleet) == 0

    run_virtual(scenario)


def test_queued_request_is_withdrawn_when_its_caller_cancels() -> None:
    async def scenario(clock):
        fleet = TestFleet(clock, sequences=1)
        await fleet.wait_past_grace()
        holder, other = fleet.others
        await acquire(fleet, holder)
        waiting = asyncio.ensure_future(acquire(fleet, other, online=False))
        await asyncio.sleep(0.1)
        group = fleet.owner.scheduler.owner.groups()[GROUP]
        assert group.queue_length == 1
        waiting.cancel()
        await asyncio.sleep(0.1)
        assert group.queue_length == 0

    run_virtual(scenario)


def test_request_is_redirected_when_it_reached_the_wrong_host() -> None:
    async def scenario(clock):
        fleet = TestFleet(clock)
        wrong = fleet.others[0].scheduler
        request = GrantRequest("g", GROUP, True, "a", 1, 1, engines=("e0",))
        reply = await wrong.handle(request)
        assert not reply.granted
        assert reply.owner == fleet.owner.name

    run_virtual(scenario)


def test_owner_is_not_asked_again_when_it_just_timed_out() -> None:
    async def scenario(clock):
        fleet = TestFleet(clock, sequences=24)
        fleet.peers.unresponsive.add(fleet.owner.address)
        host = fleet.others[0]
        await acquire(fleet, host)
        start_s = clock.now_s()
        await acquire(fleet, host)
        assert clock.now_s() == start_s

    run_virtual(scenario)


def test_owner_receives_report_of_static_slots_when_it_answers_again() -> None:
    async def scenario(clock):
        fleet = TestFleet(clock, sequences=24)
        fleet.peers.unresponsive.add(fleet.owner.address)
        await acquire(fleet, fleet.others[0])
        fleet.peers.unresponsive.clear()
        await asyncio.sleep(3.0)
        assert running(fleet) == 1
        assert any(isinstance(x, RunningReport) for x in fleet.peers.messages)

    run_virtual(scenario)
