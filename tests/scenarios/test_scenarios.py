"""The steps of the feature files; each scenario runs on a small fleet."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

import pytest
from pytest_bdd import given, parsers, scenarios, then, when

from aspenbridge.configuration import ConfigObject
from aspenbridge.result_codes import ResultCode
from tests.fuzz.history import CUSTOMER, History

if TYPE_CHECKING:
    from collections.abc import Iterator

    from tests.fuzz.oracle import SentRequest
    from tests.support.fleet import FleetHost

NAMES = "ABC"
LONGEST_WAIT_STEPS = 200
RUNS = {"once": {1}, "never": {0}, "at most once": {0, 1}}

scenarios(".")


class Stage:
    """A history and the names that a scenario uses."""

    def __init__(self) -> None:
        self.history = History(seed=7)
        hosts = self.history.fleet.usable()
        self.hosts = dict(zip(NAMES, hosts, strict=True))
        self.change: Any = None
        self.first_revision = hosts[0].core.view.revision

    def host(self, name: str) -> FleetHost:
        return self.hosts[name]

    def last(self, kind: str, key: str) -> SentRequest:
        sends = [
            s
            for s in self.history.oracle.sent_requests
            if (s.kind, s.key) == (kind, key)
        ]
        return sends[-1]


@pytest.fixture
def stage() -> Iterator[Stage]:
    stage = Stage()
    yield stage
    stage.history.close()


@given("hosts A, B and C before three engines")
def hosts_before_engines(stage: Stage) -> None:
    assert len(stage.hosts) == len(NAMES)


@when(parsers.parse("an interviewer sends coding request {key} by host {name}"))
def send_coding(stage: Stage, key: str, name: str) -> None:
    stage.history.submit_coding(stage.host(name), key)


@when(parsers.parse("an interviewer sends another body under {key} by host {name}"))
def send_another_body(stage: Stage, key: str, name: str) -> None:
    stage.history.conflicting_coding(stage.host(name), key)


@when(parsers.parse("an interviewer sends booking {key} by host {name}"))
def send_booking(stage: Stage, key: str, name: str) -> None:
    stage.history.submit_booking(stage.host(name), key)


@when(parsers.parse("interviewers open {count:d} chats by host {name}"))
def open_chats(stage: Stage, count: int, name: str) -> None:
    for _ in range(count):
        stage.history.submit_chat(stage.host(name))


@when(parsers.parse("a supervisor submits job {key} by host {name}"))
def submit_job(stage: Stage, key: str, name: str) -> None:
    stage.history.submit_job(stage.host(name), key)


@when(parsers.parse("a supervisor submits job {key} with an impossible item by {at}"))
def submit_job_with_impossible_item(stage: Stage, key: str, at: str) -> None:
    stage.history.submit_job(stage.host(at.removeprefix("host ")), key, impossible=True)


@when(parsers.parse("job {key} is cancelled by host {name}"))
def cancel_job(stage: Stage, key: str, name: str) -> None:
    oracle = stage.history.oracle
    job = oracle.jobs[oracle.job_keys[key]]
    stage.history.cancel_job(stage.host(name), job)


@when(parsers.parse("host {name} runs items of job {key}"))
def wait_for_items(stage: Stage, name: str, key: str) -> None:
    prompts = set(stage.history.items_of(key).values())
    gate = stage.host(name).gate
    for _ in range(LONGEST_WAIT_STEPS):
        runs = stage.history.fleet.runs
        if any(run.gate is gate and run.prompt in prompts for run in runs):
            return
        stage.history.advance(0.05)
    pytest.fail(f"host {name} ran no item of {key}")


@when(parsers.re(r"(?P<duration>[\d.]+) seconds? pass(es)?"))
def time_passes(stage: Stage, duration: str) -> None:
    stage.history.advance(float(duration))


@when(parsers.parse("{duration:d} seconds go by"))
def long_time_passes(stage: Stage, duration: int) -> None:
    """Move the clock at once, without what would run in between."""
    stage.history.fleet.loop.virtual_s += duration


@when(parsers.parse("host {name} is lost"))
def lose_host(stage: Stage, name: str) -> None:
    stage.history.fleet.kill(stage.host(name))


@when(parsers.parse("host {name} is paused"))
def pause_host(stage: Stage, name: str) -> None:
    stage.host(name).gate.pause()


@when(parsers.parse("host {name} is resumed"))
def resume_host(stage: Stage, name: str) -> None:
    stage.host(name).gate.resume()


@when(parsers.parse("host {name} is told to stop"))
def stop_host(stage: Stage, name: str) -> None:
    stage.history.fleet.stop(stage.host(name))


@when(parsers.re(r'an operator drains "?(?P<engines>[^" ]+)"? by host (?P<name>\w)'))
def drain_engines(stage: Stage, engines: str, name: str) -> None:
    authority = stage.host(name).core.authority
    drain = ConfigObject("drain", "repair", {"engines": engines})
    accept = authority.accept("operator", stage.first_revision, [drain])
    stage.change = stage.history.fleet.run(accept)


@when("a host starts")
def start_host(stage: Stage) -> None:
    stage.history.fleet.add_host()


@when(parsers.parse("host {name} is cut off from the store"))
def cut_store(stage: Stage, name: str) -> None:
    stage.host(name).gate.cut_store(cut=True)


@when(parsers.parse("hosts {one} and {other} are cut off from each other"))
def cut_peers(stage: Stage, one: str, other: str) -> None:
    pair = frozenset((stage.host(one).gate.name, stage.host(other).gate.name))
    stage.history.fleet.network.cuts.add(pair)


@when("the store is down")
def store_down(stage: Stage) -> None:
    stage.history.fleet.set_store_faults(down=True)


@when("the store is slow")
def store_slow(stage: Stage) -> None:
    stage.history.fleet.set_store_faults(delay_s=1.5)


@when("the store loses half of its replies")
def store_loses_replies(stage: Stage) -> None:
    stage.history.fleet.set_store_faults(lose_reply_share=0.5)


@when("the store is well")
def store_well(stage: Stage) -> None:
    stage.history.fleet.set_store_faults(
        down=False, delay_s=0.004, lose_reply_share=0.0
    )


@when("the lending service loses connections after it ran")
def service_breaks(stage: Stage) -> None:
    stage.history.fleet.service_faults.break_after = True


@when("the lending service refuses connections")
def service_refuses(stage: Stage) -> None:
    stage.history.fleet.service_faults.refuse = True


@when(parsers.parse("engine {name} crashes"))
def crash_engine(stage: Stage, name: str) -> None:
    stage.history.fleet.engines.engines[name].crash()


@when(parsers.parse("operators at {one} and {other} change the marker at one moment"))
def race_operators(stage: Stage, one: str, other: str) -> None:
    stage.history.change(stage.host(one), stage.host(other))


@when(parsers.re(r"operators at (?P<name>[A-C]) change the marker"))
def change_marker(stage: Stage, name: str) -> None:
    stage.history.change(stage.host(name))


@when(parsers.parse("version 1 is recalled by host {name}"))
def recall_version(stage: Stage, name: str) -> None:
    stage.history.recall(stage.host(name))


@then("every promise holds")
def every_promise_holds(stage: Stage) -> None:
    assert stage.history.finish() == []


@then(parsers.parse("job {key} has each item once"))
def job_has_each_item_once(stage: Stage, key: str) -> None:
    oracle, fleet = stage.history.oracle, stage.history.fleet
    job_id = oracle.job_keys[key]
    host = fleet.usable()[0]
    outcomes = fleet.run(host.core.jobs.outcomes(CUSTOMER, job_id)).unwrap()
    names = [item.custom_id for item in outcomes]
    assert sorted(names) == sorted(oracle.jobs[job_id].items)


@then(parsers.parse("job {key} is cancelled"))
def job_is_cancelled(stage: Stage, key: str) -> None:
    oracle, fleet = stage.history.oracle, stage.history.fleet
    host = fleet.usable()[0]
    status = host.core.jobs.status(CUSTOMER, oracle.job_keys[key])
    assert fleet.run(status).unwrap().job.state == "cancelled"


@then(parsers.parse("coding request {key} has one answer by every host"))
def one_answer_by_every_host(stage: Stage, key: str) -> None:
    fleet = stage.history.fleet
    first = stage.last("coding", key).response.unwrap()
    for host in fleet.usable():
        read = host.core.coding.read(CUSTOMER, first.request_id)
        assert fleet.run(read).unwrap() == first


@then(parsers.re(r"the last answer to coding request (?P<key>\w+) is (?P<code>\w+)"))
def coding_answer_has_code(stage: Stage, key: str, code: str) -> None:
    told = stage.last("coding", key).response
    assert told.failure().code is ResultCode[code]


@then(parsers.re(r"the last answer to coding request (?P<key>\w+) says (?P<said>.+)"))
def coding_answer_says(stage: Stage, key: str, said: str) -> None:
    told = stage.last("coding", key).response
    assert told.failure().execution.value == said


@then(parsers.re(r"the last answer to booking (?P<key>\w+) says (?P<said>.+)"))
def booking_answer_says(stage: Stage, key: str, said: str) -> None:
    told = stage.last("booking", key).response
    assert told.failure().execution.value == said


@then(parsers.re(r"booking (?P<key>\w+) ran (?P<often>.+)"))
def booking_ran(stage: Stage, key: str, often: str) -> None:
    body = stage.last("booking", key).body.encode()
    assert stage.history.fleet.ledger.runs[body] in RUNS[often]


@then(parsers.parse("one change was accepted and the other got REVISION_CONFLICT"))
def one_change_was_accepted(stage: Stage) -> None:
    oracle = stage.history.oracle
    assert len(oracle.accepted) == 1
    assert len(oracle.refused_markers) == 1


@then("every host has the accepted change")
def every_host_has_the_change(stage: Stage) -> None:
    newest = max(stage.history.oracle.accepted)
    for host in stage.history.fleet.usable():
        assert host.core.view.revision >= newest, host.gate.name


@then(parsers.parse("no answer of host {name} was cut"))
def no_answer_was_cut(stage: Stage, name: str) -> None:
    gate = stage.host(name).gate
    assert gate.lost
    assert stage.history.cut_streams == []
    sends = [s for s in stage.history.oracle.sent_requests if s.host == gate.name]
    assert all(send.succeeded for send in sends)


@then(parsers.parse("{engine} began nothing in the last {duration:d} seconds"))
def engine_began_nothing(stage: Stage, engine: str, duration: int) -> None:
    fleet = stage.history.fleet
    since_s = fleet.clock.now_s() - duration
    begun = [run for run in fleet.runs if run.started_s >= since_s]
    assert begun
    assert all(run.engine.name != engine for run in begun)


@then(parsers.parse("the impossible item of job {key} has failed with a reason"))
def impossible_item_failed(stage: Stage, key: str) -> None:
    oracle, fleet = stage.history.oracle, stage.history.fleet
    host = fleet.usable()[0]
    read = host.core.jobs.outcomes(CUSTOMER, oracle.job_keys[key])
    outcomes = fleet.run(read).unwrap()
    failed = [item for item in outcomes if item.code != ResultCode.OK]
    assert [item.custom_id for item in failed] == [f"{key}-impossible"]
    assert failed[0].detail


@then(parsers.parse("the change was refused with {code}"))
def change_was_refused(stage: Stage, code: str) -> None:
    assert stage.change.failure().code is ResultCode[code]


@then("no host has a new revision")
def no_new_revision(stage: Stage) -> None:
    revisions = {host.core.view.revision for host in stage.history.fleet.usable()}
    assert revisions == {stage.first_revision}
