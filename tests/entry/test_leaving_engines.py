"""Engines that say in their answers that they leave, before the list does."""

from __future__ import annotations

import asyncio

import attrs
import pytest

from aspenbridge.jobs import JobSubmission, SubmittedItem
from aspenbridge.ports import CallOutcome
from aspenbridge.result_codes import Execution, ResultCode
from tests.support.entry_fleet import EntryFleet, Fault, make_engine, make_request
from tests.support.virtual_loop import run_virtual

LEAVING = "e0"
HEAD_S = 0.01  # until a host has the head of an answer
REPORT_S = 0.05  # until the other hosts have heard of a leaving engine
REPEAT_S = 1.1  # until a host that missed the report has heard of it
HEALTH_PAUSE_S = 3.0  # longer than an engine is paused after failures


def with_fleet(check, **options):
    async def main(clock):
        async with EntryFleet(clock, **options) as fleet:
            return await check(fleet)

    return run_virtual(main)


async def send(fleet, host, name, count=1, path="/online/x"):
    """Send requests at once and return their replies."""
    requests = [make_request(f"{name}-{n}", path) for n in range(count)]
    return await asyncio.gather(*(fleet.relay(host, r) for r in requests))


async def hear_that_it_leaves(fleet, host="h0"):
    """Have a host get an answer of the engine that leaves."""
    fleet.engines.leaving.add(LEAVING)
    fleet.engines.runs.clear()
    probes = asyncio.create_task(send(fleet, host, "probe", 8))
    await asyncio.sleep(HEAD_S)
    assert LEAVING in engines_used(fleet)
    fleet.engines.runs.clear()
    await probes


async def submit(fleet, count, host="h0", job_id="j1"):
    items = tuple(
        SubmittedItem(f"{job_id}-{n}", f"/batch/{job_id}-{n}", (), b"item")
        for n in range(count)
    )
    entry = fleet.hosts[host]
    route = entry.configuration.current.route_for("a.example", "/batch/")
    await entry.job_service.submit(JobSubmission(job_id, "a.example", items), route)


async def read_results(fleet, job_id="j1", host="h0"):
    page = await fleet.hosts[host].job_service.results(job_id, 0, 0.0)
    return [result.text for result in page.unwrap().results]


def engines_used(fleet):
    return {run.engine for run in fleet.engines.runs}


ANSWERS = {
    "a success": Fault(),
    "a server error": Fault(status=500),
    "an answer that breaks off": Fault(break_after=1),
    "a refusal": Fault(outcome=CallOutcome.REFUSED),
}


@pytest.mark.parametrize("store_is_away", [False, True])
@pytest.mark.parametrize("answer", ANSWERS)
def test_engine_gets_no_request_after_an_answer_that_says_it_leaves(
    answer, store_is_away
):
    async def check(fleet):
        if store_is_away:
            fleet.store.unreachable_for = {"*"}
        fleet.engines.leaving.add(LEAVING)
        fleet.engines.faults["*"] = [attrs.evolve(ANSWERS[answer]) for _ in range(4)]
        await send(fleet, "h0", "first", 4)
        fleet.engines.faults.clear()
        for pause_s in (0.0, HEALTH_PAUSE_S):
            await asyncio.sleep(pause_s)
            fleet.engines.runs.clear()
            replies = await send(fleet, "h0", f"later-{pause_s}", 6)
            assert engines_used(fleet) == {"e1"}
            assert all(reply.finished for reply in replies)

    with_fleet(check, hosts=1)


def test_engine_gets_no_request_from_the_head_of_the_answer_on():
    async def check(fleet):
        fleet.engines.leaving.add(LEAVING)
        running = asyncio.create_task(send(fleet, "h0", "r", 4))
        await asyncio.sleep(HEAD_S)
        assert engines_used(fleet) == {LEAVING, "e1"}
        fleet.engines.runs.clear()
        later = await send(fleet, "h0", "later", 6)
        assert engines_used(fleet) == {"e1"}
        assert all(reply.finished for reply in later)
        assert all(reply.finished for reply in await running)

    with_fleet(check, hosts=1, events=30)


def test_stream_that_breaks_off_is_not_resumed_at_an_engine_that_leaves():
    async def check(fleet):
        await hear_that_it_leaves(fleet)
        broken = Fault(break_after=3)
        fleet.engines.faults["*"] = [broken] * 2
        replies = await send(fleet, "h0", "later", 4)
        assert LEAVING not in engines_used(fleet)
        assert all(reply.finished for reply in replies)

    with_fleet(check, hosts=1, engines=3)


@pytest.mark.parametrize("path", ["/online/x", "/once/x"])
def test_request_is_refused_at_once_if_the_only_engine_leaves(path):
    async def check(fleet):
        await hear_that_it_leaves(fleet)
        sent_s = fleet.clock.now_s()
        [reply] = await send(fleet, "h0", "later", path=path)
        assert fleet.clock.now_s() == sent_s
        assert reply.problem.code is ResultCode.OVERLOADED
        assert reply.problem.execution is Execution.NOT_RUN
        assert reply.problem.retry_after_s > 0
        assert fleet.engines.runs == []

    with_fleet(check, hosts=1, engines=1)


def test_request_that_the_only_engine_refuses_as_it_leaves_is_not_sent_there_again():
    async def check(fleet):
        fleet.engines.leaving.add(LEAVING)
        fleet.engines.faults["*"] = [Fault(outcome=CallOutcome.REFUSED)]
        [reply] = await send(fleet, "h0", "first")
        assert reply.problem.code is ResultCode.OVERLOADED
        assert fleet.engines.runs == []

    with_fleet(check, hosts=1, engines=1)


def test_items_do_not_start_on_an_engine_that_leaves():
    async def check(fleet):
        await hear_that_it_leaves(fleet)
        await submit(fleet, 20)
        await asyncio.sleep(5.0)
        assert engines_used(fleet) == {"e1"}
        assert None not in await read_results(fleet)
        assert len(await read_results(fleet)) == 20

    with_fleet(check, hosts=1)


def test_item_whose_answer_says_that_the_engine_leaves_is_the_last_one_there():
    async def check(fleet):
        fleet.engines.leaving.add(LEAVING)
        await submit(fleet, 40)
        await asyncio.sleep(0.5)
        first_s = min(run.started_s for run in fleet.engines.runs)
        late = [r for r in fleet.engines.runs if r.started_s > first_s + HEAD_S]
        assert {run.engine for run in late} == {"e1"}
        replies = await send(fleet, "h0", "later", 4)
        assert all(reply.finished for reply in replies)
        online = [r for r in fleet.engines.runs if r.request_id.startswith("later")]
        assert {run.engine for run in online} == {"e1"}
        await asyncio.sleep(10.0)
        assert len(await read_results(fleet)) == 40
        cut = [r for r in fleet.engines.runs if r.engine == LEAVING and not r.events]
        assert cut == []

    with_fleet(check, hosts=1)


def test_kept_job_does_not_go_on_at_an_engine_that_left_in_an_outage():
    async def check(fleet):
        fleet.engines.faults["*"] = [Fault(break_after=90)] * 8
        await submit(fleet, 8)
        await asyncio.sleep(0.5)
        assert engines_used(fleet) == {LEAVING, "e1"}
        fleet.store.unreachable_for = {"*"}
        await hear_that_it_leaves(fleet)
        await asyncio.sleep(8.0)
        assert engines_used(fleet) == {"e1"}
        fleet.store.unreachable_for = set()
        await asyncio.sleep(8.0)
        assert engines_used(fleet) == {"e1"}
        assert len(await read_results(fleet)) == 8

    with_fleet(check, hosts=1, events=100)


def test_engine_whose_entry_comes_back_unchanged_is_not_used_again():
    async def check(fleet):
        await hear_that_it_leaves(fleet)
        fleet.store.write("servers", LEAVING, None)
        await asyncio.sleep(0.5)
        fleet.store.write("servers", LEAVING, LEAVING.encode())
        await asyncio.sleep(0.5)
        await send(fleet, "h0", "later", 6)
        assert engines_used(fleet) == {"e1"}
        fleet.store.forget_history()
        await asyncio.sleep(2.0)
        await send(fleet, "h0", "last", 6)
        assert engines_used(fleet) == {"e1"}

    with_fleet(check, hosts=1)


def test_engine_that_started_again_under_its_id_is_used_again():
    async def check(fleet):
        await hear_that_it_leaves(fleet)
        fleet.engines.leaving.clear()
        fleet.entries["again"] = make_engine(LEAVING, started_ms=2)
        fleet.store.write("servers", LEAVING, b"again")
        await asyncio.sleep(REPEAT_S)
        for host in fleet.hosts:
            fleet.engines.runs.clear()
            await send(fleet, host, f"later-{host}", 6)
            assert engines_used(fleet) == {LEAVING, "e1"}

    with_fleet(check)


def test_end_of_an_engine_that_said_it_leaves_is_no_crash():
    async def check(fleet):
        fleet.engines.leaving.add(LEAVING)
        running = asyncio.create_task(send(fleet, "h0", "r", path="/once/x"))
        await asyncio.sleep(0.1)
        assert engines_used(fleet) == {LEAVING}
        fleet.engines.crash(LEAVING)
        [reply] = await running
        assert reply.aborted
        assert len(fleet.hosts["h0"].quarantine._ledger) == 0

    with_fleet(check, hosts=1, events=30)


@pytest.mark.parametrize("store_is_away", [False, True])
def test_other_hosts_stop_using_an_engine_that_leaves(store_is_away):
    async def check(fleet):
        if store_is_away:
            fleet.store.unreachable_for = {"*"}
        fleet.engines.leaving.add(LEAVING)
        probes = asyncio.create_task(send(fleet, "h0", "probe", 8))
        await asyncio.sleep(HEAD_S + REPORT_S)
        fleet.engines.runs.clear()
        for host in ("h1", "h2"):
            await send(fleet, host, f"later-{host}", 6)
        await submit(fleet, 10, "h1")
        await asyncio.sleep(3.0)
        assert engines_used(fleet) == {"e1"}
        await probes

    with_fleet(check)


def test_host_that_missed_a_report_hears_of_a_leaving_engine_from_the_next():
    async def check(fleet):
        fleet.datagrams.lost.add(fleet.address("h1"))
        await hear_that_it_leaves(fleet)
        fleet.datagrams.lost.clear()
        await asyncio.sleep(REPEAT_S)
        await send(fleet, "h1", "later", 6)
        assert engines_used(fleet) == {"e1"}

    with_fleet(check)


def test_host_passes_on_what_it_has_heard_of_a_leaving_engine():
    async def check(fleet):
        fleet.hosts["h1"]._engine_directory.mark_leaving(LEAVING, 1)
        await asyncio.sleep(REPEAT_S)
        await send(fleet, "h2", "later", 6)
        assert engines_used(fleet) == {"e1"}

    with_fleet(check)


def test_host_that_starts_later_hears_of_a_leaving_engine():
    async def check(fleet):
        await hear_that_it_leaves(fleet)
        await fleet.kill("h0")
        for name in ("h0", "late"):
            await fleet.start(name)
        await asyncio.sleep(REPEAT_S)
        for name in ("h0", "late"):
            await send(fleet, name, f"later-{name}", 6)
        assert engines_used(fleet) == {"e1"}

    with_fleet(check)


def test_mark_of_an_earlier_start_does_not_come_back_from_another_host():
    async def check(fleet):
        await hear_that_it_leaves(fleet)
        fleet.engines.leaving.clear()
        fleet.entries["again"] = make_engine(LEAVING, started_ms=2)
        fleet.store.unreachable_for = {"h2"}
        fleet.store.write("servers", LEAVING, b"again")
        await asyncio.sleep(3 * REPEAT_S)
        for host in ("h0", "h1"):
            fleet.engines.runs.clear()
            await send(fleet, host, f"later-{host}", 6)
            assert engines_used(fleet) == {LEAVING, "e1"}

    with_fleet(check)
