"""Parts of prompts that crash engines, on hosts and engines in memory."""

from __future__ import annotations

import asyncio
import logging

import pytest

from aspenbridge.fleet._health import _Pause
from aspenbridge.jobs import JobSubmission, SubmittedItem
from aspenbridge.ports import BodyEnd
from aspenbridge.quarantine._ledger import (
    PART_TRIAL_DELAYS_S,
    TRIAL_SPREAD_S,
    Crash,
    CrashId,
)
from aspenbridge.quarantine._subjects import part_key
from aspenbridge.result_codes import Execution, ResultCode
from tests.support.entry_fleet import EntryFleet, Fault, make_request, part_fields
from tests.support.part_play import CONTACT_S, MAX_LATE_SENDS, PartPlay
from tests.support.virtual_loop import run_virtual

GUILTY = "bad"
FIRST = "f"
PLAY_S = 40.0
SOUND_RATE_S = 12.0  # requests a second
GUILTY_RATE_S = 3.0


def play_with_fleet(check, **options):
    async def main(clock):
        fleet_options = {"hosts": 4, "engines": 6, "events": 12, **options}
        async with EntryFleet(clock, **fleet_options) as fleet:
            fleet.engine_down_s = 2.5
            fleet.engines.crashing_parts.add(GUILTY)
            return await check(fleet, PartPlay(fleet))

    return run_virtual(main)


async def play_traffic(play, guilty_parts, sound_parts, path="/online/x"):
    await asyncio.gather(
        play.traffic(PLAY_S, SOUND_RATE_S, sound_parts, path),
        play.traffic(PLAY_S, GUILTY_RATE_S, guilty_parts, path),
    )
    await play.settle()


def assert_stopped(play, part=GUILTY):
    assert len(play.crashes_s(part)) >= 3
    assert len(play.late_sends(part)) <= MAX_LATE_SENDS


def varied(play, *options):
    """Return a function that draws one of several lists of parts."""
    return lambda: play.random.choice(options)


POSITIONS = {
    "second": ((FIRST, GUILTY), (FIRST, GUILTY, "x1"), (FIRST, GUILTY, "x2")),
    "behind others": ((FIRST, "x1", GUILTY), (FIRST, "x2", GUILTY)),
    "alone": ((GUILTY,),),
    "first": ((GUILTY, "x1"), (GUILTY, "x2"), (GUILTY, "x3")),
    "anywhere": ((GUILTY, FIRST), (FIRST, GUILTY), (FIRST, "x1", GUILTY)),
}


@pytest.mark.parametrize("position", POSITIONS)
@pytest.mark.parametrize("path", ["/online/x", "/once/x"])
def test_part_that_crashes_engines_is_stopped_in_requests_that_share_only_it(
    position, path
):
    async def check(fleet, play):
        guilty = varied(play, *POSITIONS[position])
        sound = varied(play, (FIRST, "x1"), (FIRST, "x2"), (FIRST,))
        await play_traffic(play, guilty, sound, path)
        assert_stopped(play)

    play_with_fleet(check)


def test_sound_requests_are_served_although_another_part_crashes_engines():
    async def check(fleet, play):
        guilty = varied(play, (FIRST, GUILTY), (FIRST, GUILTY, "x1"))
        sound = varied(play, (FIRST, "x1"), (FIRST, "x2"), (FIRST,))
        await play_traffic(play, guilty, sound)
        crashes_s = play.crashes_s(GUILTY)
        counted_s = crashes_s[min(4, len(crashes_s) - 1)] + 2 * CONTACT_S
        served = play.begun_share(FIRST, lambda parts: GUILTY not in parts, counted_s)
        assert served > 0.9

    play_with_fleet(check)


def test_two_parts_that_crash_engines_at_once_are_each_stopped():
    async def check(fleet, play):
        fleet.engines.crashing_parts.add("worse")
        guilty = varied(
            play, (FIRST, GUILTY), (FIRST, "worse"), ("x1", GUILTY, "worse")
        )
        sound = varied(play, (FIRST, "x1"), (FIRST, "x2"), (FIRST,))
        await play_traffic(play, guilty, sound)
        assert_stopped(play, GUILTY)
        assert_stopped(play, "worse")

    play_with_fleet(check)


@pytest.mark.parametrize("events", [None, 0, 1, 3])
@pytest.mark.parametrize("body_end", [BodyEnd.CHUNKS, BodyEnd.CONNECTION])
def test_part_is_not_cleared_by_answers_that_end_with_their_engine(events, body_end):
    async def check(fleet, play):
        fleet.engines.crash_events, fleet.engines.body_end = events, body_end
        guilty = varied(play, (FIRST, GUILTY), (FIRST, GUILTY, "x1"))
        await play_traffic(play, guilty, varied(play, (FIRST, "x1"), (FIRST, "x2")))
        assert_stopped(play)

    play_with_fleet(check)


@pytest.mark.parametrize("new_id", [False, True])
@pytest.mark.parametrize("down_s", [0.5, 6.0])
def test_part_is_stopped_however_its_engines_return(new_id, down_s):
    async def check(fleet, play):
        fleet.returns_under_new_id, fleet.engine_down_s = new_id, down_s
        guilty = varied(play, (FIRST, GUILTY), (FIRST, GUILTY, "x1"))
        await play_traffic(play, guilty, varied(play, (FIRST, "x1"), (FIRST, "x2")))
        assert_stopped(play)

    play_with_fleet(check)


@pytest.mark.parametrize("from_s", [0.0, 3.0])
def test_part_is_stopped_while_the_store_is_away(from_s):
    async def check(fleet, play):
        async def stop_store():
            await asyncio.sleep(from_s)
            fleet.store.unreachable_for = {"*"}

        stopping = asyncio.create_task(stop_store())
        guilty = varied(play, (FIRST, GUILTY), (FIRST, GUILTY, "x1"))
        await play_traffic(play, guilty, varied(play, (FIRST, "x1"), (FIRST, "x2")))
        await stopping
        assert_stopped(play)

    play_with_fleet(check)


async def hold_part(fleet, play, part=GUILTY):
    """Send requests with a part until it is held."""
    for _ in range(8):
        await play.send((FIRST, part), attempts=1)
        await asyncio.sleep(0.1)
        quarantines = [host.quarantine for host in fleet.hosts.values()]
        if all(q.is_quarantined(part_key(part)) for q in quarantines):
            return
    raise AssertionError(f"{part} is not held")


@pytest.mark.parametrize("wait_s", [0.3, 6.0])
def test_part_stays_held_when_all_hosts_are_killed(wait_s):
    async def check(fleet, play):
        await hold_part(fleet, play)
        await asyncio.sleep(wait_s)
        crashes = len(fleet.engines.crashes)
        for name in list(fleet.hosts):
            await play.kill(name)
        for name in ("h0", "h1", "h2", "h3"):
            await fleet.start(name)
        await asyncio.sleep(1.0)
        await play.send((FIRST, GUILTY, "x1"))
        trials = wait_s > PART_TRIAL_DELAYS_S[0]
        assert len(fleet.engines.crashes) <= crashes + trials

    play_with_fleet(check)


def test_host_that_joins_later_knows_the_held_parts_without_the_store():
    async def check(fleet, play):
        await hold_part(fleet, play)
        await asyncio.sleep(2.0)
        late = await fleet.start("late")
        await asyncio.sleep(0.3)
        fleet.store.unreachable_for = {"*"}
        late.quarantine.replace(())
        await asyncio.sleep(1.5)
        assert late.quarantine.is_quarantined(part_key(GUILTY))

    play_with_fleet(check)


def test_stream_that_waits_for_a_place_is_not_sent_on_once_its_part_is_held():
    async def check(fleet, play):
        fleet.engines.crashing_parts.clear()
        fleet.engines.faults["w"] = [Fault(break_after=3)]
        request = make_request("w", **part_fields(FIRST, GUILTY))
        task = asyncio.create_task(fleet.relay("h0", request))
        await asyncio.sleep(0.05)
        for engine in fleet.entries:
            pause = _Pause(fleet.clock.now_s() + 1.6, 1.6)
            fleet.hosts["h0"]._health._pauses[engine] = pause
        await asyncio.sleep(0.2)
        fleet.engines.crashing_parts.add(GUILTY)
        await hold_part(fleet, play)
        assert (await task).aborted
        assert len([run for run in fleet.engines.runs if run.request_id == "w"]) == 1

    play_with_fleet(check)


def test_refusal_for_a_part_says_that_nothing_ran_and_when_to_come_back():
    async def check(fleet, play):
        await hold_part(fleet, play)
        request = make_request("r", body=b"new", **part_fields(FIRST, GUILTY, "x9"))
        problem = (await fleet.relay("h1", request)).problem
        assert problem.code is ResultCode.PROMPT_PART_HELD
        assert problem.execution is Execution.NOT_RUN
        assert 0 < problem.retry_after_s <= PART_TRIAL_DELAYS_S[0] + TRIAL_SPREAD_S
        assert "r" not in {run.request_id for run in fleet.engines.runs}

    play_with_fleet(check)


def test_refusal_names_no_time_once_coming_back_does_not_help():
    async def check(fleet, play):
        await hold_part(fleet, play)
        for _ in range(60):
            await play.send((FIRST, GUILTY), attempts=1)
            await asyncio.sleep(1.0)
        request = make_request("r", body=b"new", **part_fields(FIRST, GUILTY))
        problem = (await fleet.relay("h1", request)).problem
        assert problem.code is ResultCode.PROMPT_PART_HELD
        assert problem.retry_after_s is None
        assert len(play.crashes_s(GUILTY)) <= 3 + len(PART_TRIAL_DELAYS_S)

    play_with_fleet(check)


async def submit(fleet, parts_of_items, job_id="j1"):
    items = tuple(
        SubmittedItem(
            f"{job_id}-{n}", f"/batch/{n}", body=b"%d" % n, **part_fields(*parts)
        )
        for n, parts in enumerate(parts_of_items)
    )
    host = fleet.hosts["h0"]
    route = host.configuration.current.route_for("a.example", "/batch/")
    await host.job_service.submit(JobSubmission(job_id, "a.example", items), route)


async def results_of(fleet, job_id="j1"):
    page = await fleet.hosts["h0"].job_service.results(job_id, 0, 0.0)
    return {result.item_id: result.text for result in page.unwrap().results}


def test_items_with_a_part_that_crashes_engines_are_stopped_and_end_with_their_job():
    async def check(fleet, play):
        bad = [("b", GUILTY) for _ in range(4)]
        await submit(fleet, [*bad, ("b", "x1"), ("b", "x2"), ("b",)])
        await asyncio.sleep(PLAY_S)
        assert_stopped(play)
        results = await results_of(fleet)
        assert sorted(results) == ["j1-4", "j1-5", "j1-6"]
        assert None not in results.values()
        await asyncio.sleep(40.0)
        results = await results_of(fleet)
        assert [results[f"j1-{n}"] for n in range(4)] == [None] * 4
        assert len(play.late_sends(GUILTY)) <= MAX_LATE_SENDS

    play_with_fleet(check)


def test_item_of_a_sound_part_that_is_held_runs_its_trial_within_seconds():
    async def check(fleet, play):
        fleet.engines.crashing_parts.clear()
        fleet.engines.event_s = 0.2
        key = part_key("b")
        await submit(fleet, [("a", "b")])
        for number, host in enumerate(fleet.hosts.values()):
            for engine in range(number, number + 3):
                crash = Crash(CrashId(f"x{engine}", 7), fleet.clock.now_s(), position=1)
                host.quarantine._record(key, crash)
            host.quarantine._update_held()
        await submit(fleet, [("a", "b")], "j2")
        await asyncio.sleep(PART_TRIAL_DELAYS_S[0] + TRIAL_SPREAD_S + 4.0)
        assert len(await results_of(fleet, "j2")) == 1

    play_with_fleet(check, hosts=1)


def test_popular_part_is_served_beside_engines_that_crash_of_themselves():
    async def check(fleet, play):
        async def crash_engines():
            for number in range(12):
                await asyncio.sleep(2.0)
                for engine in range(3):
                    name = f"e{(number + engine) % 6}"
                    if name not in fleet.engines.down:
                        fleet.engines.crash(name)
                    await asyncio.sleep(0.2)

        sound = varied(play, (FIRST, "x1"), (FIRST, "x2"), (FIRST,))
        began_s = fleet.clock.now_s()
        await asyncio.gather(play.traffic(30.0, SOUND_RATE_S, sound), crash_engines())
        await play.settle()
        held = [
            sent
            for sent in play.sent
            if sent.response.problem
            and sent.response.problem.code is ResultCode.PROMPT_PART_HELD
        ]
        assert held == []
        assert play.begun_share(FIRST, lambda parts: True, began_s) > 0.8

    play_with_fleet(check)


def test_logs_lead_from_a_refused_request_to_the_crashes_of_its_part(caplog):
    async def check(fleet, play):
        with caplog.at_level(logging.INFO):
            await hold_part(fleet, play)
            request = make_request("r", body=b"new", **part_fields(FIRST, GUILTY))
            await fleet.relay("h1", request)

    play_with_fleet(check)
    lines = [(r.msg, getattr(r, "decision", {})) for r in caplog.records]
    refused = next(line for event, line in lines if line.get("request") == "r")
    assert refused["held"] == part_key(GUILTY)
    held = [line for event, line in lines if event == "prompt part held"]
    evidence = next(line for line in held if line["fingerprint"] == refused["held"])
    assert evidence["crashes"] >= 3
    assert {"engine", "age_s", "confirmed"} == set(evidence["evidence"][0])
    failed = [line for event, line in lines if event == "attempt failed"]
    assert any(GUILTY in line["prompt_parts"] for line in failed)
