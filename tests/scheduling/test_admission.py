"""Origins and owners of several hosts, over slow messages."""

from __future__ import annotations

import asyncio

import pytest

from aspenbridge.membership._members import DEAD
from aspenbridge.peers import GrantRequest, RunningReport
from aspenbridge.result_codes import ProblemError, ResultCode
from tests.scheduling.hosts import MODEL, TestFleet
from tests.support.virtual_loop import run_virtual

GROUP = f"{MODEL}/r"


async def place(fleet, host, **fields):
    work = host.work(fleet.clock, **fields)
    engines = fleet.view.eligible(MODEL, None)
    return await host.scheduler.admission.acquire(work, engines, avoid=frozenset())


def running(fleet) -> int:
    return fleet.owner.scheduler.owner.groups()[GROUP].running


def test_hosts_together_stay_within_an_engine_when_all_ask_at_once() -> None:
    async def scenario(clock):
        fleet = TestFleet(clock, hosts=3, sequences=8)
        await fleet.wait_past_grace()
        asked = [place(fleet, host) for host in fleet.hosts for _ in range(6)]
        results = await asyncio.gather(*asked, return_exceptions=True)
        refused = [item for item in results if isinstance(item, ProblemError)]
        assert len(results) - len(refused) == 8
        assert {item.problem.code for item in refused} == {ResultCode.OVERLOADED}
        assert all(item.problem.retry_after_s > 0 for item in refused)

    run_virtual(scenario)


def test_batch_is_told_to_leave_within_100_ms_when_online_arrives() -> None:
    async def scenario(clock):
        fleet = TestFleet(clock, online_headroom=0.0)
        await fleet.wait_past_grace()
        origin, other = fleet.others
        asked = [place(fleet, origin, online=False) for _ in range(8)]
        batch = await asyncio.gather(*asked)
        start_s = clock.now_s()
        await place(fleet, other)
        assert clock.now_s() - start_s < 0.01
        await asyncio.sleep(0.1)
        assert sum(grant.revoked.is_set() for grant in batch) == 1

    run_virtual(scenario)


@pytest.mark.parametrize("online", [True, False])
def test_host_uses_its_static_share_when_the_owner_is_silent(online) -> None:
    async def scenario(clock):
        fleet = TestFleet(clock, hosts=3, sequences=24)
        fleet.peers.silent.add(fleet.owner.address)
        host = fleet.others[0]
        asked = [place(fleet, host, online=online, remaining_s=20.0) for _ in range(20)]
        results = await asyncio.gather(*asked, return_exceptions=True)
        held = [item for item in results if not isinstance(item, ProblemError)]
        assert len(held) == (8 if online else 2)

    run_virtual(scenario)


def test_new_owner_knows_what_runs_when_the_old_one_died() -> None:
    async def scenario(clock):
        fleet = TestFleet(clock, hosts=3, sequences=8)
        await fleet.wait_past_grace()
        old, (first, second) = fleet.owner, fleet.others
        for host in (first, first, second):
            await place(fleet, host)
        old.kill()
        fleet.peers.silent.add(old.address)
        for host in (first, second):
            host.members.declare_dead(old.name)
            assert host.members.find(old.name).news.state == DEAD
        await asyncio.sleep(0.5)
        fleet.hosts.remove(old)
        assert running(fleet) == 3

    run_virtual(scenario)


def test_places_come_back_when_their_holder_died() -> None:
    async def scenario(clock):
        fleet = TestFleet(clock)
        await fleet.wait_past_grace()
        holder = fleet.others[0]
        for _ in range(4):
            await place(fleet, holder)
        assert running(fleet) == 4
        holder.kill()
        fleet.owner.members.declare_dead(holder.name)
        await asyncio.sleep(0.5)
        assert running(fleet) == 0

    run_virtual(scenario)


def test_place_comes_back_when_its_release_was_lost() -> None:
    async def scenario(clock):
        fleet = TestFleet(clock)
        await fleet.wait_past_grace()
        holder = fleet.others[0]
        grant = await place(fleet, holder)
        fleet.peers.silent.add(fleet.owner.address)
        holder.scheduler.admission.release(grant, tokens=1, failed=False)
        await asyncio.sleep(0.1)
        assert running(fleet) == 1
        fleet.peers.silent.clear()
        await asyncio.sleep(13.0)
        assert running(fleet) == 0

    run_virtual(scenario)


def test_waiting_request_is_withdrawn_when_its_caller_goes_away() -> None:
    async def scenario(clock):
        fleet = TestFleet(clock, sequences=1)
        await fleet.wait_past_grace()
        holder, other = fleet.others
        await place(fleet, holder)
        waiting = asyncio.ensure_future(place(fleet, other, online=False))
        await asyncio.sleep(0.1)
        group = fleet.owner.scheduler.owner.groups()[GROUP]
        assert group.queued == 1
        waiting.cancel()
        await asyncio.sleep(0.1)
        assert group.queued == 0

    run_virtual(scenario)


def test_request_is_redirected_when_it_reached_the_wrong_host() -> None:
    async def scenario(clock):
        fleet = TestFleet(clock)
        wrong = fleet.others[0].scheduler
        asked = GrantRequest("g", GROUP, True, "a", 1, 1, engines=("e0",))
        reply = await wrong.handle(asked)
        assert not reply.granted
        assert reply.owner == fleet.owner.name

    run_virtual(scenario)


def test_owner_is_left_alone_when_it_was_just_silent() -> None:
    async def scenario(clock):
        fleet = TestFleet(clock, sequences=24)
        fleet.peers.silent.add(fleet.owner.address)
        host = fleet.others[0]
        await place(fleet, host)
        start_s = clock.now_s()
        await place(fleet, host)
        assert clock.now_s() == start_s

    run_virtual(scenario)


def test_owner_hears_of_static_places_when_it_answers_again() -> None:
    async def scenario(clock):
        fleet = TestFleet(clock, sequences=24)
        fleet.peers.silent.add(fleet.owner.address)
        await place(fleet, fleet.others[0])
        fleet.peers.silent.clear()
        await asyncio.sleep(3.0)
        assert running(fleet) == 1
        assert any(isinstance(x, RunningReport) for x in fleet.peers.messages)

    run_virtual(scenario)
