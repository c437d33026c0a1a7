"""Requests that crash engines, on hosts, engines and a store in memory."""

from __future__ import annotations

import asyncio

import pytest

from aspenbridge.jobs import JobSubmission, SubmittedItem
from aspenbridge.ports import CallOutcome
from aspenbridge.quarantine import CRASHES_TABLE, request_fingerprint
from aspenbridge.quarantine._ledger import TRIAL_DELAYS_S
from aspenbridge.result_codes import Execution, ResultCode
from tests.support.entry_fleet import (
    EntryFleet,
    Fault,
    make_configuration,
    make_engine,
    make_request,
    make_route,
)
from tests.support.virtual_loop import run_virtual

CRASHING = b"crashes each engine"
CONTACT_S = 4.0  # a crash is known at every host in touch after this time
MAX_LATE_RUNS = 3  # that may begin later than CONTACT_S after the third crash
RESEND_INTERVAL_S = 1.0
TEXT = "\n".join(f"t{number}" for number in range(10))


def fingerprint_of(body, path="/online/x"):
    return request_fingerprint("POST", "a.example", path, body)


def with_fleet(check, **options):
    async def main(clock):
        async with EntryFleet(clock, **{"engines": 5, **options}) as fleet:
            fleet.engines.crashing_bodies.add(CRASHING)
            return await check(fleet)

    return run_virtual(main)


def crashes_of(fleet, body=CRASHING):
    return [crash for crash in fleet.engines.crashes if crash.body == body]


def late_runs(fleet, body=CRASHING):
    """Return the runs of a request that begin later than allowed."""
    crashes = crashes_of(fleet, body)
    if len(crashes) < 3:
        return []
    known_s = crashes[2].at_s + CONTACT_S
    runs = fleet.engines.runs
    return [run for run in runs if run.body == body and run.started_s > known_s]


def assert_stopped(fleet, body=CRASHING):
    assert len(crashes_of(fleet, body)) >= 3
    assert len(late_runs(fleet, body)) <= MAX_LATE_RUNS


async def resend(fleet, times, path="/online/x", body=CRASHING, first=0):
    """Send a request again and again, each time to another host."""
    replies = []
    for number in range(first, first + times):
        hosts = sorted(fleet.hosts)
        request = make_request(f"{path}-{body[:4]}-{number}", path, body=body)
        replies.append(await fleet.relay(hosts[number % len(hosts)], request))
        await asyncio.sleep(RESEND_INTERVAL_S)
    return replies


@pytest.mark.parametrize("path", ["/online/x", "/once/x", "/plain/x"])
def test_crashing_request_is_stopped_when_it_is_resent_at_other_hosts(path):
    async def check(fleet):
        plain = make_route("plain", resumable=False, max_attempts=2)
        routes = (make_route(), make_route("once", resumable=False), plain)
        fleet.configurations[b"2"] = make_configuration(2, routes)
        fleet.store.write("op", "config", b"2")
        await asyncio.sleep(0.1)
        await resend(fleet, 40, path)
        assert_stopped(fleet)

    with_fleet(check)


async def submit(fleet, bodies, host="h0", job_id="j1"):
    """Submit a job with one item for each body; return its id."""
    items = tuple(
        SubmittedItem(f"{job_id}-{n}", f"/batch/{job_id}-{n}", (), body)
        for n, body in enumerate(bodies)
    )
    entry = fleet.hosts[host]
    route = entry.configuration.current.route_for("a.example", "/batch/")
    await entry.job_service.submit(JobSubmission(job_id, "a.example", items), route)
    return job_id


async def read_results(fleet, job_id="j1", host="h1"):
    page = await fleet.hosts[host].job_service.results(job_id, 0, 0.0)
    return {result.item_id: result.text for result in page.unwrap().results}


def stored_crashes(fleet):
    return [key for key in fleet.store.rows_by_key if key.table == CRASHES_TABLE]


def test_quarantined_request_is_refused_as_not_run():
    async def check(fleet):
        first = await resend(fleet, 3)
        assert [reply.status for reply in first] == [502, 502, 503]
        assert first[1].problem.code is ResultCode.OUTCOME_UNKNOWN
        problem = first[2].problem
        assert problem.code is ResultCode.REQUEST_QUARANTINED
        assert problem.execution is Execution.NOT_RUN
        assert 10.0 < problem.retry_after_s < 15.0
        refused_id = f"/online/x-{CRASHING[:4]}-2"
        assert refused_id not in {run.request_id for run in fleet.engines.runs}

    with_fleet(check)


@pytest.mark.parametrize("new_id", [False, True])
@pytest.mark.parametrize("down_s", [1.0, 6.0])
def test_crashing_request_is_stopped_however_its_engines_return(new_id, down_s):
    async def check(fleet):
        fleet.returns_under_new_id, fleet.engine_down_s = new_id, down_s
        await resend(fleet, 40)
        assert_stopped(fleet)

    with_fleet(check)


@pytest.mark.parametrize("path", ["/online/x", "/once/x"])
def test_crashing_request_is_stopped_when_its_engines_fall_silent(path):
    async def check(fleet):
        fleet.engines.crashes_are_silent = True
        await resend(fleet, 40, path)
        assert_stopped(fleet)

    with_fleet(check)


def test_crashing_request_is_stopped_when_its_callers_leave_early():
    async def check(fleet):
        fleet.engines.crash_after_s = 0.2
        fleet.engines.abandoned_runs_go_on = True
        for number in range(40):
            request = make_request(f"r{number}", body=CRASHING)
            task = asyncio.create_task(fleet.relay(f"h{number % 3}", request))
            await asyncio.sleep(0.1)
            task.cancel()
            await asyncio.sleep(RESEND_INTERVAL_S)
        assert_stopped(fleet)

    with_fleet(check)


def test_crashes_are_remembered_when_all_hosts_are_killed():
    async def check(fleet):
        await resend(fleet, 2)
        await asyncio.sleep(6.0)
        for name in list(fleet.hosts):
            await fleet.kill(name)
        for name in ("h0", "h1", "h2"):
            await fleet.start(name)
        await asyncio.sleep(1.0)
        await resend(fleet, 30, first=2)
        assert_stopped(fleet)

    with_fleet(check)


def test_crashes_are_remembered_when_the_host_that_saw_them_is_killed_at_once():
    async def check(fleet):
        await fleet.relay("h0", make_request("r0", body=CRASHING))
        await asyncio.sleep(0.1)
        await fleet.kill("h0")
        await asyncio.sleep(12.0)
        assert len(stored_crashes(fleet)) == 2
        await resend(fleet, 30)
        assert len(crashes_of(fleet)) <= 3 + len(TRIAL_DELAYS_S)

    with_fleet(check)


def test_restarted_host_hears_from_others_what_it_saw_itself_before():
    async def check(fleet):
        for number in range(2):
            await fleet.relay("h0", make_request(f"r{number}", body=CRASHING))
        assert len(crashes_of(fleet)) == 3
        await asyncio.sleep(0.1)
        await fleet.kill("h0")
        await fleet.start("h0")
        await asyncio.sleep(1.2)
        reply = await fleet.relay("h0", make_request("r3", body=CRASHING))
        assert reply.problem.code is ResultCode.REQUEST_QUARANTINED

    with_fleet(check)


def test_host_that_joins_late_learns_of_crashes():
    async def check(fleet):
        await resend(fleet, 3)
        await asyncio.sleep(6.0)
        runs = len(fleet.engines.runs)
        late = await fleet.start("late")
        await asyncio.sleep(0.5)
        reply = await fleet.relay("late", make_request("late", body=CRASHING))
        assert (reply.status, len(fleet.engines.runs)) == (503, runs)
        assert late.quarantine.is_quarantined(fingerprint_of(CRASHING))

    with_fleet(check)


def test_host_that_hears_no_other_host_learns_of_crashes_from_the_store():
    async def check(fleet):
        fleet.datagrams.groups.append({fleet.address("h2")})
        await resend(fleet, 2)
        await asyncio.sleep(6.0)
        reply = await fleet.relay("h2", make_request("r9", body=CRASHING))
        assert reply.problem.code is ResultCode.REQUEST_QUARANTINED

    with_fleet(check)


def test_host_that_was_cut_off_learns_of_crashes_when_it_is_back():
    async def check(fleet):
        fleet.cut_off("h2")
        for number in range(2):
            await fleet.relay("h0", make_request(f"r{number}", body=CRASHING))
            await asyncio.sleep(3.0)
        await asyncio.sleep(10.0)
        fleet.reconnect()
        await asyncio.sleep(CONTACT_S)
        await resend(fleet, 30)
        assert_stopped(fleet)

    with_fleet(check)


@pytest.mark.parametrize("engines", [1, 5])
def test_crashing_request_is_stopped_while_the_store_is_away(engines):
    async def check(fleet):
        fleet.store.unreachable_for = {"*"}
        await resend(fleet, 30)
        assert_stopped(fleet)
        assert len(crashes_of(fleet)) == 3
        assert stored_crashes(fleet) == []
        fleet.store.unreachable_for = set()
        await asyncio.sleep(10.0)
        assert len(stored_crashes(fleet)) == len(crashes_of(fleet))

    with_fleet(check, engines=engines)


def test_crashes_of_an_outage_are_stored_although_the_host_that_saw_them_is_gone():
    async def check(fleet):
        fleet.store.unreachable_for = {"*"}
        await fleet.relay("h0", make_request("r0", body=CRASHING))
        await asyncio.sleep(1.0)
        await fleet.kill("h0")
        await asyncio.sleep(5.0)
        fleet.store.unreachable_for = set()
        await asyncio.sleep(15.0)
        assert len(stored_crashes(fleet)) == 2

    with_fleet(check)


def test_several_crashing_requests_at_once_are_each_stopped():
    async def check(fleet):
        bodies = [b"%d crashes" % number for number in range(4)]
        fleet.engines.crashing_bodies |= set(bodies)
        await asyncio.gather(
            *(resend(fleet, 40, f"/online/{n}", body) for n, body in enumerate(bodies))
        )
        for body in bodies:
            assert_stopped(fleet, body)

    with_fleet(check, engines=8)


def test_copies_that_are_resent_at_one_moment_share_the_trials():
    async def check(fleet):
        for number in range(60):
            copies = (
                fleet.relay(host, make_request(f"{host}-{number}", body=CRASHING))
                for host in fleet.hosts
            )
            await asyncio.gather(*copies)
            await asyncio.sleep(RESEND_INTERVAL_S)
        assert_stopped(fleet)

    with_fleet(check, engines=8)


def test_host_that_lost_the_claim_of_a_trial_knows_that_one_was_made():
    async def check(fleet):
        await resend(fleet, 3)
        await asyncio.sleep(16.0)
        requests = [make_request(f"{host}-t", body=CRASHING) for host in fleet.hosts]
        fleet.store.feeds_stalled_until_s = fleet.clock.now_s() + 60.0
        for host, request in zip(fleet.hosts, requests, strict=True):
            await fleet.relay(host, request)
        assert len(crashes_of(fleet)) == 4
        fingerprint = fingerprint_of(CRASHING)
        for host in fleet.hosts.values():
            assert host.quarantine.retry_after_s(fingerprint) > 25.0

    with_fleet(check)


def test_requests_beside_a_crashing_one_are_never_quarantined():
    async def check(fleet):
        resends = asyncio.create_task(resend(fleet, 40))
        await submit(fleet, [b"item %d" % number for number in range(40)])
        replies = []
        for number in range(300):
            host = f"h{number % 3}"
            request = make_request(f"i{number}", body=b"innocent %d" % number)
            replies.append(asyncio.create_task(fleet.relay(host, request)))
            await asyncio.sleep(0.1)
        await resends
        assert_stopped(fleet)
        codes = {
            reply.result().problem and reply.result().problem.code for reply in replies
        }
        assert ResultCode.REQUEST_QUARANTINED not in codes
        assert len(await read_results(fleet)) == 40

    with_fleet(check, events=30)


def test_items_complete_although_engines_crash_again_and_again_of_themselves():
    async def check(fleet):
        await submit(fleet, [b"item %d" % number for number in range(40)])
        for number in range(24):
            await asyncio.sleep(1.0)
            engine = f"e{number % 5}"
            if engine not in fleet.engines.down:
                fleet.engines.crash(engine)
        await asyncio.sleep(30.0)
        results = await read_results(fleet)
        assert len(results) == 40
        assert None not in results.values()

    with_fleet(check, events=150)


def test_answers_that_break_off_at_a_living_engine_do_not_quarantine():
    async def check(fleet):
        broken = Fault(break_after=1)
        fleet.engines.faults["*"] = [broken, broken]
        await fleet.relay("h0", make_request("r0"))
        await asyncio.sleep(12.0)
        assert stored_crashes(fleet) == []
        fleet.engines.faults["*"] = [broken, broken]
        await fleet.relay("h0", make_request("r1"))
        reply = await fleet.relay("h0", make_request("r2"))
        assert reply.finished

    with_fleet(check)


def test_end_of_a_draining_engine_is_no_crash():
    async def check(fleet):
        fleet.entries["drain"] = make_engine("e0", draining=True)
        task = asyncio.create_task(fleet.relay("h0", make_request("r0")))
        await asyncio.sleep(0.1)
        fleet.store.write("servers", "e0", b"drain")
        await asyncio.sleep(0.1)
        fleet.engines.crash("e0")
        assert (await task).finished
        assert len(fleet.hosts["h0"].quarantine._ledger) == 0

    with_fleet(check, events=30, engines=2)


def test_end_of_a_drained_engine_that_leaves_the_list_is_no_crash():
    async def check(fleet):
        fleet.entries["drain"] = make_engine("e0", draining=True)
        task = asyncio.create_task(fleet.relay("h0", make_request("r0", "/once/x")))
        await asyncio.sleep(0.1)
        fleet.store.write("servers", "e0", b"drain")
        await asyncio.sleep(0.1)
        fleet.engines.crash("e0")
        assert (await task).aborted
        fleet.store.write("servers", "e0", None)
        await asyncio.sleep(1.9)
        assert len(fleet.hosts["h0"].quarantine._ledger) == 0

    with_fleet(check, events=30, engines=2)


def test_request_that_engines_are_slow_to_answer_is_not_quarantined():
    async def check(fleet):
        fleet.configurations[b"2"] = make_configuration(2, [make_route(max_attempts=4)])
        fleet.store.write("op", "config", b"2")
        await asyncio.sleep(0.1)
        fleet.engines.faults["*"] = [Fault(outcome=CallOutcome.BROKEN)] * 4
        assert (await fleet.relay("h0", make_request("r0"))).status == 502
        assert (await fleet.relay("h0", make_request("r1"))).finished

    with_fleet(check)


def test_request_that_completes_at_one_host_is_cleared_at_others_without_the_store():
    async def check(fleet):
        fleet.store.unreachable_for = {"*"}
        await fleet.relay("h0", make_request("r0", body=CRASHING))
        fleet.engines.crashing_bodies.clear()
        await asyncio.sleep(0.5)
        ledgers = [host.quarantine._ledger for host in fleet.hosts.values()]
        assert [ledger.crash_count(fingerprint_of(CRASHING)) for ledger in ledgers]
        assert (await fleet.relay("h1", make_request("r1", body=CRASHING))).finished
        await asyncio.sleep(0.1)
        assert [len(ledger) for ledger in ledgers] == [0, 0, 0]

    with_fleet(check)


def test_trial_that_an_engine_refuses_is_made_again():
    async def check(fleet):
        await resend(fleet, 3)
        await asyncio.sleep(16.0)
        fleet.engines.crashing_bodies.clear()
        refused = Fault(outcome=CallOutcome.REFUSED)
        fleet.engines.faults["t1"] = [refused] * 5
        reply = await fleet.relay("h0", make_request("t1", body=CRASHING))
        assert reply.status == 503
        await asyncio.sleep(2.0)
        reply = await fleet.relay("h1", make_request("t2", body=CRASHING))
        assert reply.finished

    with_fleet(check)


def test_hosts_write_each_crash_once_and_many_in_one_call():
    async def check(fleet):
        fleet.engines.event_s = 1.0
        requests = [
            fleet.relay(
                f"h{number % 3}",
                make_request(f"r{number}", "/once/x", body=b"%d" % number),
            )
            for number in range(16)
        ]
        tasks = [asyncio.create_task(request) for request in requests]
        await asyncio.sleep(0.5)
        for engine in list(fleet.entries):
            fleet.engines.crash(engine)
        await asyncio.gather(*tasks)
        await asyncio.sleep(15.0)
        rows = [c for c in fleet.store.history if c.key.table == CRASHES_TABLE]
        assert len(rows) == 16
        assert len({change.version for change in rows}) <= 3 * 2

    with_fleet(check, engines=2)


def test_request_runs_again_once_an_operator_has_deleted_its_rows():
    async def check(fleet):
        await resend(fleet, 3)
        await asyncio.sleep(6.0)
        fleet.engines.crashing_bodies.clear()
        for key in stored_crashes(fleet):
            fleet.store.write(key.table, key.key, None)
        await asyncio.sleep(0.1)
        for host in fleet.hosts:
            request = make_request(f"{host}-released", body=CRASHING)
            assert (await fleet.relay(host, request)).finished

    with_fleet(check)


async def crash_engines_together(fleet, gap_s):
    """End the engine that has the request, twice, then all others but one."""
    for moment in range(3):
        await asyncio.sleep(gap_s)
        running = {run.engine for run in fleet.engines.runs if run.ended_s is None}
        up = sorted(set(fleet.entries) - fleet.engines.down - running)
        for engine in [*running, *(up[1:] if moment == 2 else ())]:
            fleet.engines.crash(engine)


async def set_attempts(fleet, attempts):
    routes = [make_route(max_attempts=attempts)]
    fleet.configurations[b"2"] = make_configuration(2, routes)
    fleet.store.write("op", "config", b"2")
    await asyncio.sleep(0.5)


@pytest.mark.parametrize("gap_s", [0.03, 0.06])
def test_innocent_request_is_not_blamed_for_engines_that_crash_together(gap_s):
    """Guards against three sends in a moment, each to an engine that ends."""

    async def check(fleet):
        await set_attempts(fleet, 4)
        request = make_request("r1", body=b"innocent")
        task = asyncio.create_task(fleet.relay("h0", request))
        await crash_engines_together(fleet, gap_s)
        reply = await task
        assert (reply.status, reply.finished) == (200, True)
        again = await fleet.relay("h1", make_request("r2", body=b"innocent"))
        assert again.status == 200

    with_fleet(check)


def test_request_with_little_time_left_is_sent_again_at_once():
    async def check(fleet):
        await set_attempts(fleet, 4)
        deadline_s = fleet.clock.now_s() + 0.35
        request = make_request("r1", body=b"innocent", deadline_s=deadline_s)
        task = asyncio.create_task(fleet.relay("h0", request))
        for _ in range(2):
            await asyncio.sleep(0.03)
            for run in [run for run in fleet.engines.runs if run.ended_s is None]:
                fleet.engines.crash(run.engine)
        reply = await task
        assert (reply.status, reply.finished) == (200, True)

    with_fleet(check, events=5)
