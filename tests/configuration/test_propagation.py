"""Revisions reach every host; hosts that may lack one refuse new work."""

from __future__ import annotations

from contextlib import AsyncExitStack

from aspenbridge.ports import PeerAddress
from aspenbridge.result_codes import ResultCode
from tests.support.control_fleet import ControlFleet, customer
from tests.support.virtual_loop import run_virtual

MAX_DELAY_S = 17.0


def fleet_test(count, scenario):
    async def main(clock):
        fleet = ControlFleet(clock)
        async with AsyncExitStack() as stack:
            await fleet.start(stack, count)
            await fleet.advance(20.0)
            return await scenario(fleet)

    return run_virtual(main)


def test_every_host_applies_a_change_in_time_when_no_notice_is_sent() -> None:
    async def scenario(fleet):
        accepted = await fleet.put(fleet.hosts[0], customer("kgotso"))
        revision = accepted.unwrap().revision
        return await fleet.wait_until(
            lambda: all(host.view.revision == revision for host in fleet.hosts)
        )

    assert fleet_test(6, scenario) < MAX_DELAY_S


def test_host_cut_from_the_table_pulls_from_peers_when_a_change_is_accepted() -> None:
    async def scenario(fleet):
        fleet.faults[2].down = True
        await fleet.advance(30.0)
        accepted = await fleet.put(fleet.hosts[0], customer("kgotso"))
        elapsed_s = await fleet.wait_until(lambda: fleet.hosts[2].view.revision == 1)
        await fleet.advance(30.0)
        return accepted, elapsed_s, fleet.hosts[2].state

    accepted, elapsed_s, state = fleet_test(4, scenario)
    assert accepted.unwrap().revision == 1
    assert elapsed_s < MAX_DELAY_S
    assert state == "ready"


def test_hosts_stay_ready_when_no_host_reaches_the_table() -> None:
    async def scenario(fleet):
        for faults in fleet.faults:
            faults.down = True
        await fleet.advance(120.0)
        refused = await fleet.put(fleet.hosts[0], customer("kgotso"))
        return {host.state for host in fleet.hosts}, refused

    states, refused = fleet_test(4, scenario)
    assert states == {"ready"}
    assert refused.failure().code is ResultCode.STORE_UNAVAILABLE


def test_host_refuses_new_work_when_it_is_cut_from_table_and_peers() -> None:
    async def scenario(fleet):
        isolated = fleet.hosts[3]
        fleet.faults[3].down = True
        fleet.cut_off.add(PeerAddress("127.0.0.1", 4))
        await fleet.advance(14.0)
        problem = isolated.refusal()
        fleet.cut_off.clear()
        await fleet.wait_until(lambda: isolated.ready)
        return problem, fleet.hosts[0].refusal()

    problem, connected_refusal = fleet_test(4, scenario)
    assert problem.code is ResultCode.CONFIGURATION_UNKNOWN
    assert problem.execution.value == "not run"
    assert connected_refusal is None


def test_change_is_refused_when_the_host_reaches_no_majority() -> None:
    async def scenario(fleet):
        fleet.cut_off.add(PeerAddress("127.0.0.1", 1))
        await fleet.advance(14.0)
        return await fleet.put(fleet.hosts[0], customer("kgotso"))

    refused = fleet_test(4, scenario)
    assert refused.failure().code is ResultCode.CONFIGURATION_UNKNOWN


def test_gossip_reports_the_revision_of_each_host_when_a_change_is_announced() -> None:
    async def scenario(fleet):
        change = (await fleet.put(fleet.hosts[0], customer("kgotso"))).unwrap()
        announced = await fleet.hosts[0].announce(change.revision)
        await fleet.advance(20.0)
        return announced, [item.news.revision for item in fleet.hosts[1].members.live()]

    announced, revisions = fleet_test(4, scenario)
    assert (announced.in_force_hosts, announced.known_hosts) == (4, 4)
    assert revisions == [1, 1, 1]


def test_host_refuses_when_it_is_cut_off_right_after_its_start() -> None:
    async def main(clock):
        fleet = ControlFleet(clock)
        async with AsyncExitStack() as stack:
            await fleet.start(stack, 3)
            fleet.faults[2].down = True
            fleet.cut_off.add(PeerAddress("127.0.0.1", 3))
            await fleet.advance(14.0)
            return fleet.hosts[2].refusal()

    assert run_virtual(main).code is ResultCode.CONFIGURATION_UNKNOWN
