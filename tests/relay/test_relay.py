from __future__ import annotations

import asyncio

import pytest

from aspenbridge.ports import CallOutcome
from aspenbridge.result_codes import Execution, ResultCode
from tests.support.entry_fleet import (
    EntryFleet,
    Fault,
    make_configuration,
    make_request,
    make_route,
)
from tests.support.virtual_loop import run_virtual


def with_fleet(check, **options):
    async def main(clock):
        async with EntryFleet(clock, **options) as fleet:
            return await check(fleet)

    return run_virtual(main)


def stream_of(events: int) -> bytes:
    return b"".join(f"id: {n}\ndata: t{n}\n\n".encode() for n in range(events))


def test_stream_reaches_the_caller_whole():
    async def check(fleet):
        reply = await fleet.relay("h0", make_request())
        assert (reply.status, reply.finished) == (200, True)
        assert reply.body == stream_of(10)

    with_fleet(check)


def test_resumable_stream_continues_at_another_engine_when_one_breaks():
    async def check(fleet):
        fleet.engines.faults["r1"] = [Fault(break_after=4)]
        reply = await fleet.relay("h0", make_request())
        assert reply.finished
        assert reply.body == stream_of(10)
        first, second = fleet.engines.runs
        assert first.engine != second.engine
        assert second.resume_after == 3

    with_fleet(check)


def test_stream_that_may_run_once_is_aborted_and_not_sent_again():
    async def check(fleet):
        fleet.engines.faults["r1"] = [Fault(break_after=4)]
        reply = await fleet.relay("h0", make_request(path="/once/x"))
        assert reply.aborted
        assert not reply.finished
        assert reply.body == stream_of(4)
        assert len(fleet.engines.runs) == 1

    with_fleet(check)


def test_request_that_may_run_once_is_not_sent_again_to_other_engines():
    async def check(fleet):
        fleet.configurations[b"2"] = make_configuration(
            2, [make_route("once", resumable=False, max_attempts=3)]
        )
        fleet.store.write("op", "config", b"2")
        await asyncio.sleep(0.5)
        broken = Fault(outcome=CallOutcome.BROKEN)
        fleet.engines.faults["r1"] = [broken, broken, broken]
        reply = await fleet.relay("h0", make_request(path="/once/x"))
        assert reply.status == 502
        assert len(fleet.engines.faults["r1"]) == 2

    with_fleet(check)


@pytest.mark.parametrize("path", ["/once/x", "/online/x"])
def test_outcome_is_unknown_when_the_engine_may_have_run_the_request(path):
    async def check(fleet):
        broken = Fault(outcome=CallOutcome.BROKEN)
        fleet.engines.faults["r1"] = [broken, broken, broken]
        reply = await fleet.relay("h0", make_request(path=path))
        assert reply.problem.code is ResultCode.OUTCOME_UNKNOWN
        assert reply.status == 502
        # The request is sent no more often than its route allows.
        assert len(fleet.engines.faults["r1"]) == (2 if path == "/once/x" else 1)

    with_fleet(check)


def test_refusal_has_a_retry_delay_when_no_engine_accepted_the_request():
    async def check(fleet):
        refused = Fault(outcome=CallOutcome.REFUSED)
        fleet.engines.faults["r1"] = [refused, refused]
        reply = await fleet.relay("h0", make_request(path="/once/x"))
        assert reply.status == 503
        assert reply.problem.retry_after_s > 0
        assert not fleet.engines.runs

    with_fleet(check)


@pytest.mark.parametrize("late_s", [0.0, 0.2])
@pytest.mark.parametrize("path", ["/once/x", "/online/x"])
def test_request_whose_deadline_has_passed_is_refused_as_not_run(path, late_s):
    async def check(fleet):
        fleet.engines.faults["r1"] = [Fault(), Fault()]
        started_s = fleet.clock.now_s()
        request = make_request(path=path, deadline_s=started_s - late_s)
        reply = await fleet.relay("h0", request)
        assert reply.problem.code is ResultCode.DEADLINE_BEFORE_RUN
        assert (reply.status, reply.problem.execution) == (503, Execution.NOT_RUN)
        assert fleet.clock.now_s() == started_s
        assert len(fleet.engines.faults["r1"]) == 2

    with_fleet(check)


@pytest.mark.parametrize("path", ["/once/x", "/online/x"])
def test_deadline_before_the_send_is_no_failure_of_the_engine(path):
    async def check(fleet):
        expired = Fault(outcome=CallOutcome.EXPIRED, delay_s=0.1)
        fleet.engines.faults["r1"] = [expired]
        deadline_s = fleet.clock.now_s() + 0.1
        reply = await fleet.relay("h0", make_request(path=path, deadline_s=deadline_s))
        assert reply.problem.code is ResultCode.DEADLINE_BEFORE_RUN
        assert len(fleet.hosts["h0"].quarantine._ledger) == 0
        assert (await fleet.relay("h0", make_request("r2"))).finished

    with_fleet(check, engines=1)


def test_request_that_could_not_be_sent_goes_to_another_engine():
    async def check(fleet):
        fleet.engines.faults["r1"] = [Fault(outcome=CallOutcome.NOT_SENT)]
        reply = await fleet.relay("h0", make_request(path="/once/x"))
        assert reply.finished

    with_fleet(check)


def test_engine_gets_the_deadline_of_the_shorter_limit():
    async def check(fleet):
        fleet.configurations[b"2"] = make_configuration(
            2, [make_route(request_limit_s=1.0)]
        )
        fleet.store.write("op", "config", b"2")
        await asyncio.sleep(0.5)
        now_s = fleet.clock.now_s()
        await fleet.relay("h0", make_request())
        assert fleet.engines.runs[0].deadline_s == pytest.approx(now_s + 1.0)

    with_fleet(check)


def test_slot_is_free_at_once_when_the_caller_disconnects():
    async def check(fleet):
        task = asyncio.create_task(fleet.relay("h0", make_request()))
        await asyncio.sleep(0.1)
        task.cancel()
        await asyncio.sleep(0)
        await asyncio.gather(task, return_exceptions=True)
        run = fleet.engines.runs[0]
        assert run.ended_s is not None
        assert fleet.hosts["h0"].load_view.load(run.engine).total == 0

    with_fleet(check)


def test_route_is_found_whatever_the_case_and_port_of_the_host_header():
    async def check(fleet):
        reply = await fleet.relay("h0", make_request(host="A.Example:8080"))
        assert reply.finished

    with_fleet(check)


def test_unknown_route_is_not_found():
    async def check(fleet):
        reply = await fleet.relay("h0", make_request(path="/nowhere/x"))
        assert reply.status == 404

    with_fleet(check)


def test_burst_over_several_hosts_is_served_in_time_or_refused_at_once():
    """Some eighty streams of 0.2 s start each second on sixteen slots."""

    async def check(fleet):
        async def one(number):
            started_s = fleet.clock.now_s()
            request = make_request(f"r{number}")
            reply = await fleet.relay(f"h{number % 3}", request)
            return reply, started_s, fleet.clock.now_s()

        tasks = []
        for number in range(120):
            tasks.append(asyncio.create_task(one(number)))
            await asyncio.sleep(0.012)
        served = refused = 0
        for reply, started_s, ended_s in await asyncio.gather(*tasks):
            if reply.status == 503:
                refused += 1
                assert ended_s - started_s < 0.075
                assert 0 < reply.problem.retry_after_s < 1
            else:
                assert reply.first_write_s - started_s <= 0.3
                served += 1
        assert served >= 110

    with_fleet(check)


def test_log_line_of_a_request_has_the_status_of_its_answer(caplog):
    async def check(fleet):
        fleet.engines.faults["r1"] = [Fault(status=422)]
        await fleet.relay("h0", make_request("r1"))
        await fleet.relay("h0", make_request("r2"))

    caplog.set_level("INFO", "aspenbridge.decisions")
    with_fleet(check)
    lines = [r.decision for r in caplog.records if r.getMessage() == "request"]
    assert [(line["request"], line["status"]) for line in lines] == [
        ("r1", 422),
        ("r2", 200),
    ]
    assert [
        (line["streams"], line["events"], line["body_bytes"]) for line in lines
    ] == [
        (False, 0, len(b"failed")),
        (True, 10, len(stream_of(10))),
    ]
    assert {line["body_end"] for line in lines} == {"chunks"}
