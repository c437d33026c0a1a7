"""Tests of batch jobs on entry hosts, also when hosts or the store fail."""

from __future__ import annotations

import asyncio

import attrs
import pytest
from returns.result import Failure, Success

from aspenbridge.fleet import CallKind, Target
from aspenbridge.fleet._hosts import LIVENESS_TIMEOUT_S
from aspenbridge.jobs import JobSubmission, SubmittedItem
from aspenbridge.jobs._claims import CLAIM_TURN_S
from aspenbridge.jobs._directory import HEADS_READ_INTERVAL_S
from aspenbridge.jobs._owned import FinishedItem, ItemState
from aspenbridge.jobs._progress_saver import MIN_NEW_EVENTS, SAVE_INTERVAL_S
from aspenbridge.jobs._records import (
    HEADS_TABLE,
    PROGRESS_TABLE,
    JobState,
    ProgressRecord,
)
from aspenbridge.platform._decode import encode_results
from aspenbridge.ports import CallOutcome
from aspenbridge.result_codes import ResultCode
from tests.support.entry_fleet import (
    EntryFleet,
    Fault,
    make_configuration,
    make_engine,
    make_request,
    make_route,
)
from tests.support.virtual_loop import run_virtual

TEXT = "\n".join(f"t{n}" for n in range(10))


def with_fleet(check, **options):
    async def main(clock):
        async with EntryFleet(clock, **options) as fleet:
            return await check(fleet)

    return run_virtual(main)


def make_job(job_id="j1", items=3) -> JobSubmission:
    submitted = tuple(
        SubmittedItem(f"{job_id}-{n}", f"/batch/{n}", (), b"body %d" % n)
        for n in range(items)
    )
    return JobSubmission(job_id, "a.example", submitted)


async def submit(fleet, host, job):
    entry = fleet.hosts[host]
    route = entry.configuration.current.route_for("a.example", "/batch/")
    return await entry.job_service.submit(job, route)


async def wait_done(fleet, host, job_id, total, limit_s=30.0):
    """Return a job's results once a host lists ``total`` of them."""
    until_s = fleet.clock.now_s() + limit_s
    while fleet.clock.now_s() < until_s:
        page = await fleet.hosts[host].job_service.results(job_id, 0, 1.0)
        if isinstance(page, Success) and len(page.unwrap().results) == total:
            return page.unwrap().results
        await asyncio.sleep(0.2)
    raise AssertionError(f"{job_id} is not done after {limit_s} s")


def test_items_complete_and_every_host_lists_the_same():
    async def check(fleet):
        assert await submit(fleet, "h0", make_job()) == Success(None)
        listed = await wait_done(fleet, "h0", "j1", 3)
        assert {r.item_id for r in listed} == {"j1-0", "j1-1", "j1-2"}
        assert {r.text for r in listed} == {TEXT}
        for host in ("h1", "h2"):
            assert await wait_done(fleet, host, "j1", 3) == listed

    with_fleet(check)


def test_items_complete_while_engines_of_another_service_are_as_free():
    async def check(fleet):
        for name in ("a0", "a1"):  # their ids come before those of the items' engines
            fleet.entries[name] = make_engine(name, service="other")
            fleet.store.write("servers", name, name.encode())
        await asyncio.sleep(0.5)
        assert await submit(fleet, "h0", make_job(items=2)) == Success(None)
        await wait_done(fleet, "h0", "j1", 2)
        assert {run.engine for run in fleet.engines.runs} <= {"e0", "e1"}

    with_fleet(check)


# An item never ran where all engines have one slot, which was kept for online
# requests.
def test_items_run_on_engines_with_one_slot_and_make_way_for_online_requests():
    async def check(fleet):
        for name in list(fleet.entries):
            fleet.entries[name] = make_engine(name, slots=1)
            fleet.store.write("servers", name, name.encode())
        await asyncio.sleep(0.5)
        fleet.engines.events = 50
        await submit(fleet, "h0", make_job(items=4))
        await asyncio.sleep(0.5)
        loads = [fleet.hosts["h1"].load_view.load(e).batch for e in fleet.entries]
        assert loads == [1, 1]
        online = make_request("r1")
        assert (await fleet.relay("h1", online)).finished
        cut = [
            run
            for run in fleet.engines.runs
            if run.ended_s and run.target != online.target
        ]
        assert any(len(run.events) < 50 for run in cut)
        await wait_done(fleet, "h0", "j1", 4)

    with_fleet(check)


def split_configuration(version=1):
    """Return a configuration with a batch route for each of two services."""
    routes = [
        make_route(
            f"batch-{service}", kind=CallKind.BATCH, targets=(Target(service, 1.0),)
        )
        for service in ("small", "llm")
    ]
    return make_configuration(version, routes)


async def submit_split(fleet, host, service, items):
    """Submit a job for a service; its id is the name of the service."""
    items = tuple(
        SubmittedItem(f"{service}-{n}", f"/batch-{service}/{n}", (), b"body %d" % n)
        for n in range(items)
    )
    entry = fleet.hosts[host]
    route = entry.configuration.current.route_for("a.example", f"/batch-{service}/")
    job = JobSubmission(service, "a.example", items)
    assert isinstance(await entry.job_service.submit(job, route), Success)


# Guards against items that wait for a service without engines, or with full
# ones, and keep the items of another host from the free slots of another.
@pytest.mark.parametrize("slots", [None, 2])
def test_items_run_beside_a_longer_backlog_of_another_service(slots):
    async def check(fleet):
        fleet.configurations[b"2"] = split_configuration(2)
        fleet.store.write("op", "config", b"2")
        if slots is not None:
            fleet.entries["s0"] = make_engine("s0", service="small", slots=slots)
            fleet.store.write("servers", "s0", b"s0")
        await asyncio.sleep(0.5)
        await submit_split(fleet, "h0", "small", 60)
        await asyncio.sleep(0.5)
        started_s = fleet.clock.now_s()
        await submit_split(fleet, "h1", "llm", 40)
        await wait_done(fleet, "h1", "llm", 40)
        assert fleet.clock.now_s() - started_s < 4.0  # 14 slots run them in 1.5 s

    with_fleet(check, events=20)


# Guards against the same once the items of both hosts are late.
def test_late_items_run_beside_late_items_of_a_service_without_engines():
    async def check(fleet):
        routes = split_configuration().routes
        routes = [attrs.evolve(route, completion_goal_s=0.1) for route in routes]
        fleet.configurations[b"2"] = make_configuration(2, routes)
        fleet.store.write("op", "config", b"2")
        await asyncio.sleep(0.5)
        await submit_split(fleet, "h0", "small", 60)
        await asyncio.sleep(0.5)
        await submit_split(fleet, "h1", "llm", 40)
        await wait_done(fleet, "h1", "llm", 40)

    with_fleet(check)


# Guards against a backlog that others wait for while its host starts no items.
def test_host_that_stops_reports_no_waiting_items():
    async def check(fleet):
        await submit(fleet, "h0", make_job(items=200))
        await asyncio.sleep(0.3)
        view = fleet.hosts["h1"].load_view
        assert view.backlogs("llm", "h1")
        await fleet.hosts["h0"].release_jobs()
        await asyncio.sleep(0.5)
        names = {
            incarnation.partition("-")[0] for incarnation in view.backlogs("llm", "")
        }
        assert "h0" not in names

    with_fleet(check, events=200)


def test_repeated_submission_is_accepted_once():
    async def check(fleet):
        results = await asyncio.gather(
            *(submit(fleet, f"h{n}", make_job()) for n in (0, 1, 2, 0))
        )
        assert results == [Success(None)] * 4
        heads = [c for c in fleet.store.history if c.key.table == "job_heads"]
        assert len(heads) == 1
        await wait_done(fleet, "h0", "j1", 3)
        await asyncio.sleep(3)
        assert len(fleet.engines.runs) == 3

    with_fleet(check)


def test_accepted_job_whose_reply_was_lost_runs_once():
    async def check(fleet):
        fleet.store.replies_to_lose = 1
        assert await submit(fleet, "h0", make_job()) == Success(None)
        await wait_done(fleet, "h0", "j1", 3)
        assert len(fleet.engines.runs) == 3

    with_fleet(check)


def test_job_refused_while_the_store_is_unreachable_has_no_effect():
    async def check(fleet):
        fleet.store.unreachable_for = {"h0"}
        refused = await submit(fleet, "h0", make_job())
        assert refused.failure().code is ResultCode.STORE_UNAVAILABLE
        fleet.store.unreachable_for = set()
        await asyncio.sleep(5)
        missing = await fleet.hosts["h0"].job_service.results("j1", 0, 0.0)
        assert missing.failure().status == 404
        assert not fleet.engines.runs

    with_fleet(check)


@pytest.mark.parametrize(
    ("unreachable_for", "retry_at_most_s"),
    [({"h0"}, 0.1), ({"*"}, 1.0)],
)
def test_job_is_refused_at_once_by_a_host_that_has_lost_the_store(
    unreachable_for, retry_at_most_s
):
    async def check(fleet):
        fleet.store.unreachable_for, fleet.store.calls_time_out = unreachable_for, True
        await asyncio.sleep(4.0)
        started_s = fleet.clock.now_s()
        problem = (await submit(fleet, "h0", make_job())).failure()
        assert fleet.clock.now_s() - started_s < 0.1
        assert problem.code is ResultCode.STORE_UNAVAILABLE
        assert problem.retry_after_s <= retry_at_most_s
        page = await fleet.hosts["h0"].job_service.results("j1", 0, 1.0)
        assert page.failure().code is ResultCode.STORE_UNAVAILABLE
        assert fleet.clock.now_s() - started_s < 0.1
        fleet.store.unreachable_for = set()
        await asyncio.sleep(2.0)
        assert await submit(fleet, "h0", make_job()) == Success(None)

    with_fleet(check)


def test_hosts_isolated_together_send_callers_to_other_hosts_at_once():
    async def check(fleet):
        fleet.store.unreachable_for, fleet.store.calls_time_out = {"h0", "h1"}, True
        fleet.datagrams.groups = [{fleet.address(name) for name in ("h0", "h1")}]
        await asyncio.sleep(4.0)
        problem = (await submit(fleet, "h0", make_job())).failure()
        assert problem.code is ResultCode.STORE_UNAVAILABLE
        assert problem.retry_after_s <= 0.1
        assert fleet.hosts["h0"].ready

    with_fleet(check, hosts=5)


@pytest.mark.parametrize("wait_s", [0.0, 1.0])
def test_result_that_one_host_has_shown_is_found_at_a_host_whose_feed_is_silent(wait_s):
    async def check(fleet):
        await submit(fleet, "h0", make_job())
        await asyncio.sleep(0.1)
        fleet.store.feeds_stalled_until_s = fleet.clock.now_s() + 5.0
        await wait_done(fleet, "h0", "j1", 3, limit_s=2)
        service = fleet.hosts["h1"].job_service
        page = (await service.results("j1", 2, wait_s)).unwrap()
        assert len(page.results) == 1

    with_fleet(check)


def test_host_that_can_not_be_sure_does_not_say_that_there_is_no_result():
    async def check(fleet):
        fleet.engines.event_s = 1.0
        await submit(fleet, "h0", make_job())
        await asyncio.sleep(0.1)
        fleet.store.unreachable_for = {"h1"}
        result = await fleet.hosts["h1"].job_service.results("j1", 0, 0.0)
        assert result.failure().code is ResultCode.STORE_UNAVAILABLE

    with_fleet(check)


def test_unknown_job_is_not_reported_missing_while_the_store_is_unreachable():
    async def check(fleet):
        await submit(fleet, "h0", make_job())
        fleet.store.unreachable_for = {"h1"}
        await asyncio.sleep(4)
        page = await fleet.hosts["h1"].job_service.results("j2", 0, 0.0)
        assert page.failure().status == 503

    with_fleet(check)


@pytest.mark.parametrize(
    ("fault", "runs"), [(Fault(status=422), 1), (Fault(status=500), 3)]
)
def test_item_that_can_not_succeed_fails_permanently_after_its_attempts(fault, runs):
    async def check(fleet):
        fleet.engines.faults["j1-0"] = [fault] * 5
        await submit(fleet, "h0", make_job())
        listed = {r.item_id: r.text for r in await wait_done(fleet, "h0", "j1", 3)}
        assert listed == {"j1-0": None, "j1-1": TEXT, "j1-2": TEXT}
        assert sum(r.request_id == "j1-0" for r in fleet.engines.runs) == runs

    with_fleet(check)


def test_item_resumes_after_its_last_event_when_a_connection_breaks():
    async def check(fleet):
        fleet.engines.faults["j1-0"] = [Fault(break_after=6)]
        await submit(fleet, "h0", make_job())
        listed = {r.item_id: r.text for r in await wait_done(fleet, "h0", "j1", 3)}
        assert listed["j1-0"] == TEXT
        assert [r.resume_after for r in fleet.engines.runs if "-0" in r.request_id] == [
            None,
            5,
        ]

    with_fleet(check)


def test_another_host_finishes_the_job_of_a_killed_one():
    async def check(fleet):
        fleet.engines.event_s = 0.2
        await submit(fleet, "h0", make_job())
        await asyncio.sleep(0.5)
        await fleet.kill("h0")
        listed = await wait_done(fleet, "h1", "j1", 3, limit_s=12)
        assert {r.text for r in listed} == {TEXT}

    with_fleet(check)


def running(fleet) -> int:
    return sum(run.ended_s is None for run in fleet.engines.runs)


def owner(fleet, job_id) -> str:
    """Return the incarnation that owns a job, as host h2 sees it."""
    return fleet.hosts["h2"].job_service._directory.get(job_id).record.owner


def test_host_that_alone_lost_the_store_releases_its_items_to_its_successor():
    async def check(fleet):
        fleet.engines.event_s = 0.05
        await submit(fleet, "h0", make_job())
        await asyncio.sleep(1.0)
        fleet.store.unreachable_for, fleet.store.calls_time_out = {"h0"}, True
        await asyncio.sleep(LIVENESS_TIMEOUT_S + 2 * CLAIM_TURN_S + 1.0)
        assert not owner(fleet, "j1").startswith("h0")
        assert running(fleet) == 3
        await wait_done(fleet, "h1", "j1", 3)
        assert all(len(run.events) < 300 for run in fleet.engines.runs[:3])
        assert len(fleet.engines.runs) == 6

    with_fleet(check, events=300)


def test_items_keep_running_while_no_host_reaches_the_store():
    async def check(fleet):
        fleet.engines.event_s = 0.05
        await submit(fleet, "h0", make_job())
        await asyncio.sleep(1.0)
        fleet.store.unreachable_for, fleet.store.calls_time_out = {"*"}, True
        await asyncio.sleep(8.0)
        assert len(fleet.engines.runs) == running(fleet) == 3
        fleet.store.unreachable_for = set()
        await wait_done(fleet, "h1", "j1", 3)
        assert len(fleet.engines.runs) == 3

    with_fleet(check, events=300)


def progress_rows(fleet) -> int:
    return sum(key.table == "job_progress" for key in fleet.store.rows_by_key)


@pytest.mark.parametrize("page_rows", [500, 1])
def test_host_that_takes_over_resumes_from_the_last_save(page_rows):
    async def check(fleet):
        fleet.store.page_rows[PROGRESS_TABLE] = page_rows
        fleet.engines.event_s = 0.05
        await submit(fleet, "h0", make_job())
        await asyncio.sleep(4.5)
        generated_events = max(len(run.events) for run in fleet.engines.runs)
        await fleet.kill("h0")
        assert progress_rows(fleet) == 3
        listed = await wait_done(fleet, "h1", "j1", 3, limit_s=20)
        assert {len(r.text.split("\n")) for r in listed} == {200}
        takeover_runs = fleet.engines.runs[3:]
        assert len(takeover_runs) == 3
        max_lost_events = SAVE_INTERVAL_S / fleet.engines.event_s + MIN_NEW_EVENTS
        assert (
            min(r.resume_after for r in takeover_runs)
            >= generated_events - max_lost_events
            > 0
        )
        assert progress_rows(fleet) == 0

    with_fleet(check, events=200)


def test_failed_attempts_of_an_item_count_after_a_takeover():
    """Otherwise each new owner would allow a failing item all its attempts."""

    async def check(fleet):
        fleet.engines.faults["j1-0"] = [Fault(status=500)] * 9
        fleet.engines.faults["j1-1"] = [Fault(break_after=1)] * 500
        await submit(fleet, "h0", make_job(items=2))
        while len([r for r in fleet.engines.runs if r.request_id == "j1-0"]) < 2:
            await asyncio.sleep(0.02)
        await fleet.hosts["h0"].release_jobs()
        await fleet.kill("h0")
        await asyncio.sleep(8.0)
        runs = [r for r in fleet.engines.runs if r.request_id == "j1-0"]
        assert len(runs) == 3

    with_fleet(check)


def test_saves_and_listings_of_a_job_leave_no_progress_rows():
    """
    No progress row may stay when an item ends after a save without a reply.

    The row of such a save may exist, so the listing has to delete it.
    """

    async def check(fleet):
        fleet.engines.event_s = 0.03
        fleet.store.replies_to_lose, fleet.store.lossy_table = 2, "job_progress"
        await submit(fleet, "h0", make_job(items=12))
        await wait_done(fleet, "h0", "j1", 12)
        await asyncio.sleep(3.0)
        assert progress_rows(fleet) == 0

    with_fleet(check, events=120)


@pytest.mark.parametrize("text", ["t", "x" * 400, "\x1b" * 60])
def test_progress_too_large_for_a_transaction_does_not_block_the_release(
    text,
):
    async def check(fleet):
        fleet.engines.event_s = 0.01
        fleet.engines.text = text
        await submit(fleet, "h0", make_job(items=120))
        await asyncio.sleep(1.0)
        await fleet.hosts["h0"].release_jobs()
        assert progress_rows(fleet) > 0
        head = next(
            row for key, row in fleet.store.rows_by_key.items() if key.key == "j1"
        )
        assert b'"owner":""' in head.value.replace(b" ", b"")

    with_fleet(check, events=1000, engines=16)


def test_all_hosts_killed_after_the_acknowledgement_lose_nothing():
    async def check(fleet):
        await submit(fleet, "h0", make_job())
        for name in ("h0", "h1", "h2"):
            await fleet.kill(name)
        for name in ("h0", "h1", "h2"):
            await fleet.start(name)
        listed = await wait_done(fleet, "h2", "j1", 3, limit_s=12)
        assert {r.text for r in listed} == {TEXT}

    with_fleet(check)


def test_host_that_lost_its_job_unnoticed_can_not_list_results():
    async def check(fleet):
        fleet.engines.event_s = 0.6
        await submit(fleet, "h0", make_job())
        await asyncio.sleep(0.5)
        fleet.store.unreachable_for = {"h0"}
        listed = await wait_done(fleet, "h1", "j1", 3, limit_s=25)
        fleet.store.unreachable_for = set()
        await asyncio.sleep(5)
        assert await wait_done(fleet, "h0", "j1", 3) == listed
        assert await wait_done(fleet, "h2", "j1", 3) == listed

    with_fleet(check)


def test_host_that_stops_releases_its_job_with_its_progress():
    async def check(fleet):
        fleet.engines.event_s = 0.2
        await submit(fleet, "h0", make_job(items=1))
        await asyncio.sleep(1.3)
        await fleet.hosts["h0"].release_jobs()
        await wait_done(fleet, "h1", "j1", 1, limit_s=4)
        first, second = fleet.engines.runs
        assert second.resume_after == first.events[-1]

    with_fleet(check)


def test_released_jobs_do_not_wait_for_the_turn_of_hosts_that_stop():
    async def check(fleet):
        fleet.engines.event_s = 0.5
        for number in range(12):
            await submit(fleet, "h0", make_job(f"j{number}", items=1))
        await asyncio.gather(*(fleet.hosts[f"h{n}"].release_jobs() for n in range(4)))
        await asyncio.sleep(0.9)
        rest = {fleet.hosts[f"h{n}"].incarnation for n in (4, 5)}
        heads = fleet.hosts["h4"]._job_directory.open_heads()
        assert {stored.record.owner for stored in heads} <= rest

    with_fleet(check, hosts=6)


def test_job_whose_owner_stops_without_the_reply_to_its_write_runs_at_once_elsewhere():
    async def check(fleet):
        fleet.store.replies_to_lose, fleet.store.lossy_table = 1, "job_heads"
        submitting = asyncio.create_task(submit(fleet, "h0", make_job(items=1)))
        while fleet.hosts["h0"]._job_directory.get("j1") is None:
            await asyncio.sleep(0.005)
        submitting.cancel()  # its caller has left
        await fleet.hosts["h0"].release_jobs()
        await wait_done(fleet, "h1", "j1", 1, limit_s=3)

    with_fleet(check)


def test_listing_that_fails_does_not_keep_other_jobs_from_their_release():
    async def check(fleet):
        host = fleet.hosts["h0"]
        await submit(fleet, "h0", make_job("j0", items=1))
        host.worker._jobs["j0"].listing = True  # for as long as the host lives
        fleet.engines.event_s = 0.5
        await submit(fleet, "h0", make_job("j1", items=1))
        host.worker._lister._tasks.add(asyncio.create_task(asyncio.sleep(60)))
        await host.release_jobs()
        fleet.engines.event_s = 0.02
        await wait_done(fleet, "h1", "j1", 1, limit_s=2)

    with_fleet(check)


# Such a job had an owner that ran no items any more, until its process ended.
@pytest.mark.parametrize("after_s", [0.0, 0.5, 1.5, 2.5])
def test_job_accepted_by_a_host_that_stops_runs_at_once_elsewhere(after_s):
    async def check(fleet):
        await fleet.hosts["h0"].release_jobs()
        await asyncio.sleep(after_s)
        await submit(fleet, "h0", make_job(items=2))
        await wait_done(fleet, "h1", "j1", 2, limit_s=3)

    with_fleet(check)


def test_ended_job_stops_and_keeps_its_listed_results():
    async def check(fleet):
        fleet.engines.event_s = 0.5
        await submit(fleet, "h0", make_job(items=30))
        await asyncio.sleep(5.5)
        assert await fleet.hosts["h1"].job_service.end("j1") == Success(None)
        assert await fleet.hosts["h2"].job_service.end("j1") == Success(None)
        await asyncio.sleep(0.5)
        runs = len(fleet.engines.runs)
        assert all(run.ended_s is not None for run in fleet.engines.runs)
        page = (await fleet.hosts["h2"].job_service.results("j1", 0, 0.0)).unwrap()
        assert 0 < len(page.results) < 30
        await asyncio.sleep(10)
        assert len(fleet.engines.runs) == runs

    with_fleet(check)


def test_end_at_another_host_stops_items_after_one_interval_of_reads_at_most():
    async def check(fleet):
        fleet.engines.event_s = 0.5
        await submit(fleet, "h0", make_job(items=3))
        # The heads have changed just before, so the owner has just read them.
        await asyncio.sleep(1.0)
        await submit(fleet, "h1", make_job("j2"))
        await asyncio.sleep(0.02)
        assert await fleet.hosts["h1"].job_service.end("j1") == Success(None)
        await asyncio.sleep(HEADS_READ_INTERVAL_S + 0.05)
        runs = [run for run in fleet.engines.runs if run.request_id.startswith("j1-")]
        assert runs
        assert all(run.ended_s is not None for run in runs)

    with_fleet(check)


def test_reads_of_a_host_do_not_grow_with_the_changes_of_all_jobs():
    async def check(fleet):
        calls = 0
        client = fleet.hosts["h0"].ports.feed
        read = client.changes

        async def changes(table, *arguments):
            nonlocal calls
            calls += table == HEADS_TABLE
            return await read(table, *arguments)

        client.changes = changes
        versions = fleet.store.version
        for number in range(60):
            await submit(fleet, f"h{1 + number % 2}", make_job(f"j{number}", 1))
            await asyncio.sleep(0.02)
        assert fleet.store.version - versions > 60
        assert calls <= 60 * 0.03 / HEADS_READ_INTERVAL_S + 1

    with_fleet(check, engines=8)


@pytest.mark.parametrize("by_claim", [False, True])
def test_job_that_ends_before_the_reply_to_its_owners_write_stays_ended(by_claim):
    async def check(fleet):
        fleet.engines.event_s = 0.2
        if by_claim:
            await submit(fleet, "h0", make_job(items=20))
            await asyncio.sleep(0.1)
        client = fleet.hosts["h1"].ports.table
        transact = client.transact

        async def reply_late(transaction):
            result = await transact(transaction)
            await asyncio.sleep(0.9)
            return result

        client.transact = reply_late
        if by_claim:
            fleet.hosts["h2"]._claims.enabled = False  # so that h1 claims the job
            await fleet.kill("h0")
        else:
            submitting = asyncio.create_task(submit(fleet, "h1", make_job(items=20)))
        ending = fleet.hosts["h2"]
        while (known := ending._job_directory.get("j1")) is None or (
            known.record.owner != fleet.hosts["h1"].incarnation
        ):
            await asyncio.sleep(0.02)
        assert await ending.job_service.end("j1") == Success(None)
        ended_s = fleet.clock.now_s()
        await asyncio.sleep(8.0)
        if not by_claim:
            await submitting
        late = [run for run in fleet.engines.runs if run.started_s > ended_s + 3.0]
        assert late == []
        assert ending._job_directory.get("j1").record.state is JobState.ENDED

    with_fleet(check)


def test_ended_job_stays_ended_though_its_owner_missed_a_reply_and_the_end():
    """Guards against an owner that takes the end for its own write."""

    async def check(fleet):
        fleet.engines.event_s = 0.5
        await submit(fleet, "h0", make_job(items=30))
        await asyncio.sleep(1.0)
        store = fleet.store
        store.lossy_table, store.replies_to_lose = "job_results", 1
        while store.replies_to_lose:
            await asyncio.sleep(0.001)
        store.feeds_stalled_until_s = fleet.clock.now_s() + 6.0
        assert await fleet.hosts["h1"].job_service.end("j1") == Success(None)
        await asyncio.sleep(8.0)
        (row,) = (r for k, r in store.rows_by_key.items() if k.table == "job_heads")
        assert b'"state":"ended"' in row.value.replace(b" ", b"")
        assert all(run.ended_s is not None for run in fleet.engines.runs)

    with_fleet(check)


def test_items_of_a_removed_route_fail_permanently():
    async def check(fleet):
        fleet.engines.event_s = 0.3
        await submit(fleet, "h0", make_job(items=20))
        fleet.configurations[b"2"] = make_configuration(2, [make_route()])
        fleet.store.write("op", "config", b"2")
        listed = await wait_done(fleet, "h0", "j1", 20)
        assert None in {r.text for r in listed}

    with_fleet(check)


def test_body_is_the_same_at_every_host_and_unknown_items_are_missing():
    async def check(fleet):
        fleet.engines.event_s = 1.0
        await submit(fleet, "h0", make_job())
        await asyncio.sleep(0.2)
        for host in fleet.hosts.values():
            assert await host.job_service.body("j1", "j1-1") == Success(b"body 1")
        missing = await fleet.hosts["h1"].job_service.body("j1", "j1-9")
        assert missing.failure().status == 404

    with_fleet(check)


def test_text_too_long_for_a_row_is_stored_whole():
    async def check(fleet):
        fleet.engines.events = 12_000
        fleet.engines.event_s = 0.0001
        await submit(fleet, "h0", make_job(items=1))
        listed = await wait_done(fleet, "h1", "j1", 1)
        assert listed[0].text == "\n".join(f"t{n}" for n in range(12_000))

    with_fleet(check)


# Guards against rows that grow beyond their limit when JSON escapes a text.
@pytest.mark.parametrize("text", ["\x1b[31m", '"quotes"\\'])
def test_texts_that_json_lengthens_are_listed_whole(text):
    async def check(fleet):
        fleet.engines.text = text * (3_900 // len(text))
        whole = "\n".join(f"{fleet.engines.text}{n}" for n in range(10))
        await submit(fleet, "h0", make_job(items=10))
        listed = await wait_done(fleet, "h1", "j1", 10)
        assert {result.text for result in listed} == {whole}

    with_fleet(check)


# Guards against pages that grow beyond a megabyte in the same way.
def test_page_of_texts_that_json_lengthens_has_at_most_a_megabyte():
    async def check(fleet):
        fleet.engines.text = "\x1b" * 3_000
        await submit(fleet, "h0", make_job(items=12))
        results = []
        for _ in range(30):
            service = fleet.hosts["h1"].job_service
            page = (await service.results("j1", len(results), 1.0)).unwrap()
            assert len(encode_results(page)) <= 1_000_000
            results += page.results
        assert len({result.item_id for result in results}) == 12

    with_fleet(check)


def test_text_object_that_was_not_read_whole_is_no_result():
    async def check(fleet):
        fleet.engines.text = "x" * 6000
        await submit(fleet, "h0", make_job(items=1))
        (whole,) = await wait_done(fleet, "h1", "j1", 1)
        fleet.store.cuts_objects = True
        page = await fleet.hosts["h1"].job_service.results("j1", 0, 0.0)
        assert page.failure().code is ResultCode.STORE_UNAVAILABLE
        fleet.store.cuts_objects = False
        assert await wait_done(fleet, "h1", "j1", 1) == (whole,)

    with_fleet(check)


def test_items_that_were_not_read_whole_are_read_again():
    async def check(fleet):
        await submit(fleet, "h0", make_job())
        fleet.store.cuts_objects = True
        body = await fleet.hosts["h1"].job_service.body("j1", "j1-0")
        assert body.failure().code is ResultCode.STORE_UNAVAILABLE
        await fleet.kill("h0")
        await asyncio.sleep(10.0)
        fleet.store.cuts_objects = False
        assert {r.text for r in await wait_done(fleet, "h1", "j1", 3)} == {TEXT}

    with_fleet(check)


def test_refused_runs_do_not_count_as_failed_attempts():
    async def check(fleet):
        refused = Fault(outcome=CallOutcome.REFUSED)
        fleet.engines.faults["j1-0"] = [refused] * 6
        await submit(fleet, "h0", make_job())
        listed = await wait_done(fleet, "h0", "j1", 3)
        assert {r.text for r in listed} == {TEXT}

    with_fleet(check)


def test_online_burst_through_other_hosts_preempts_batch_items():
    """
    An online burst must not wait for batch items that run on all slots.

    Two engines full of items of one host get fourteen streams through the
    other two hosts, which can't stop the items themselves.
    """

    async def check(fleet):
        fleet.engines.events = 100
        await submit(fleet, "h0", make_job(items=40))
        await asyncio.sleep(1.0)
        loads = [fleet.hosts["h0"].load_view.load(e).batch for e in fleet.entries]
        assert min(loads) >= 7
        started_s = fleet.clock.now_s()
        replies = await asyncio.gather(
            *(fleet.relay(f"h{1 + n % 2}", make_request(f"r{n}")) for n in range(14))
        )
        for reply in replies:
            assert reply.finished
            assert reply.first_write_s - started_s <= 0.3

    with_fleet(check)


def test_waiting_items_of_many_hosts_fill_the_engines_without_overload():
    async def check(fleet):
        fleet.engines.events = 100
        for number in range(3):
            await submit(fleet, f"h{number}", make_job(f"j{number}", 10))
        await asyncio.sleep(1.5)
        load_view = fleet.hosts["h0"].load_view
        loads = [load_view.load(e).total for e in fleet.entries]
        assert all(7 <= load <= 8 for load in loads)
        preempted = [r for r in fleet.engines.runs if r.ended_s and len(r.events) < 100]
        assert len(preempted) <= 3

    with_fleet(check)


def test_listing_is_retried_after_an_outage_of_the_store():
    async def check(fleet):
        fleet.engines.event_s = 0.1
        await submit(fleet, "h0", make_job())
        fleet.store.unreachable_for = {"*"}
        await asyncio.sleep(6)
        page = await fleet.hosts["h0"].job_service.results("j1", 0, 0.0)
        assert isinstance(page, Failure)
        fleet.store.unreachable_for = set()
        listed = await wait_done(fleet, "h1", "j1", 3, limit_s=15)
        assert {r.text for r in listed} == {TEXT}

    with_fleet(check)


def test_old_job_is_removed_whole_after_its_retention_time():
    async def check(fleet):
        await submit(fleet, "h0", make_job())
        await wait_done(fleet, "h0", "j1", 3)
        await asyncio.sleep(100)
        assert await wait_done(fleet, "h1", "j1", 3)
        await asyncio.sleep(50)
        assert not fleet.store.objects
        tables = {key.table for key in fleet.store.rows_by_key}
        assert tables == {"op", "servers", "hosts"}

    with_fleet(check)


def test_item_that_breaks_engines_without_an_event_is_retried_with_growing_delays():
    async def check(fleet):
        broken = Fault(break_after=0)
        fleet.engines.faults["j1-0"] = [broken] * 50
        await submit(fleet, "h0", make_job())
        await asyncio.sleep(30)
        starts_s = [r.started_s for r in fleet.engines.runs if r.request_id == "j1-0"]
        assert 6 <= len(starts_s) <= 12

    with_fleet(check)


def test_jobs_stay_with_their_hosts_while_change_feeds_stall():
    async def check(fleet):
        fleet.engines.event_s = 1.0
        for number in range(3):
            await submit(fleet, f"h{number}", make_job(f"j{number}"))
        await asyncio.sleep(0.5)
        fleet.store.feeds_stalled_until_s = fleet.clock.now_s() + 6.0
        for number in range(3):
            await wait_done(fleet, f"h{number}", f"j{number}", 3)
        assert len(fleet.engines.runs) == 9

    with_fleet(check)


def test_item_is_listed_once_when_the_reply_to_its_listing_was_lost():
    async def check(fleet):
        fleet.engines.faults["j1-2"] = [Fault(break_after=5)]
        await submit(fleet, "h0", make_job())
        await asyncio.sleep(0.1)
        fleet.store.unreachable_after_loss = {"*"}
        fleet.store.lossy_table = "job_results"
        fleet.store.replies_to_lose = 1
        while not fleet.store.unreachable_for:
            await asyncio.sleep(0.01)
        rows_by_key = fleet.store.rows_by_key
        await asyncio.sleep(4.5)
        fleet.store.unreachable_for = set()
        fleet.store.unreachable_after_loss = set()
        listed = await wait_done(fleet, "h1", "j1", 3)
        assert sorted(r.item_id for r in listed) == ["j1-0", "j1-1", "j1-2"]
        await asyncio.sleep(3)
        results = [key for key in rows_by_key if key.table == "job_results"]
        assert len(results) == 3

    with_fleet(check)


def test_job_keeps_running_when_a_table_read_before_it_lacks_it():
    async def check(fleet):
        fleet.engines.event_s = 0.1
        await submit(fleet, "h0", make_job())
        await asyncio.sleep(0.3)
        fleet.hosts["h0"]._job_directory.replace(())
        await asyncio.sleep(0.1)
        assert len(fleet.engines.runs) == 3
        await wait_done(fleet, "h0", "j1", 3, limit_s=3)
        assert len(fleet.engines.runs) == 3

    with_fleet(check)


def test_host_reclaims_its_own_job_at_once():
    async def check(fleet):
        await submit(fleet, "h0", make_job())
        # As if the store applied the submission after its call had failed.
        fleet.hosts["h0"].worker._jobs.clear()
        started_s = fleet.clock.now_s()
        await wait_done(fleet, "h0", "j1", 3)
        assert fleet.clock.now_s() - started_s < 1.5

    with_fleet(check, hosts=8)


def test_item_that_finishes_again_after_it_was_listed_is_not_listed_twice():
    async def check(fleet):
        fleet.engines.faults["j1-2"] = [Fault(break_after=9)]
        await submit(fleet, "h0", make_job())
        worker = fleet.hosts["h0"].worker
        await asyncio.sleep(0.35)
        job = worker._jobs["j1"]
        assert len(job.head.listed) == 2
        duplicate = next(s for s in (ItemState(n) for n in job.head.listed))
        job.finished.append(FinishedItem(duplicate, TEXT))
        listed = await wait_done(fleet, "h1", "j1", 3)
        assert sorted(r.item_id for r in listed) == ["j1-0", "j1-1", "j1-2"]

    with_fleet(check)


def test_running_job_is_not_added_a_second_time():
    async def check(fleet):
        fleet.engines.event_s = 0.1
        await submit(fleet, "h0", make_job())
        worker = fleet.hosts["h0"].worker
        job = worker._jobs["j1"]
        await asyncio.sleep(0.3)
        # As if the reply to the submission came after the host's own claim.
        assert worker.add_job(job.stored, job.items) is job
        await wait_done(fleet, "h0", "j1", 3)
        assert len(fleet.engines.runs) == 3

    with_fleet(check)


def test_events_from_another_host_do_not_count_as_progress_of_the_next_run():
    state = ItemState(0)
    state.restore(ProgressRecord(1, ("t0", "t1")))
    assert state.events_at_delay == len(state.events) == 2


def test_items_are_not_given_up_by_a_host_whose_configuration_is_older(monkeypatch):
    async def check(fleet):
        feed_class = type(fleet.hosts["h1"].ports.feed)
        read_changes = feed_class.changes
        lost_until_s = fleet.clock.now_s() + 4.3

        async def changes(self, table, after, wait_s):
            page = await read_changes(self, table, after, wait_s)
            if self._host == "h1" and table == "op" and page.unwrap().changes:
                await asyncio.sleep(max(0.0, lost_until_s - fleet.clock.now_s()))
            return page

        monkeypatch.setattr(feed_class, "changes", changes)
        await asyncio.sleep(2.0)
        added = make_route("added", kind=CallKind.BATCH, max_attempts=3)
        routes = (*make_configuration().routes, added)
        fleet.configurations[b"2"] = make_configuration(2, routes)
        fleet.store.write("op", "config", b"2")
        await asyncio.sleep(0.1)
        items = [attrs.evolve(i, target="/added/x") for i in make_job(items=3).items]
        job = attrs.evolve(make_job(items=3), items=tuple(items))
        entry = fleet.hosts["h0"]
        assert await entry.job_service.submit(job, added) == Success(None)
        await entry.release_jobs()
        results = await wait_done(fleet, "h1", job.id, 3)
        assert {result.text for result in results} == {TEXT}

    with_fleet(check, hosts=2)


def test_release_of_jobs_ends_in_time_while_the_store_does_not_answer():
    async def check(fleet):
        fleet.engines.event_s = 0.5
        for number in range(8):
            job = make_job(f"j{number}", items=1)
            assert await submit(fleet, "h0", job) == Success(None)
        await asyncio.sleep(0.3)
        fleet.store.unreachable_for = {"h0"}
        fleet.store.calls_time_out = True
        began_s = fleet.clock.now_s()
        await fleet.hosts["h0"].release_jobs()
        assert fleet.clock.now_s() - began_s <= 4.0

    with_fleet(check)


def test_release_of_jobs_ends_in_time_while_results_can_not_be_listed():
    async def check(fleet):
        assert await submit(fleet, "h0", make_job("j0", items=2)) == Success(None)
        await asyncio.sleep(0.15)
        fleet.store.unreachable_for = {"h0"}
        await asyncio.sleep(0.6)
        began_s = fleet.clock.now_s()
        async with asyncio.timeout(20):
            await fleet.hosts["h0"].release_jobs()
        assert fleet.clock.now_s() - began_s <= 4.0

    with_fleet(check)
