"""Steps of the feature files; a scenario runs on a simulated fleet."""

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

HOST_NAMES = "ABC"
MAX_WAIT_STEPS = 200
ALLOWED_RUN_COUNTS = {"exactly once": {1}, "zero times": {0}, "at most once": {0, 1}}

scenarios(".")


class ScenarioContext:
    """
    The history of one scenario, with its hosts by name.

    :ivar change_result: the result of the last drain by an operator.
    :ivar first_revision: the configuration revision at the start.
    """

    def __init__(self) -> None:
        self.history = History(seed=7)
        hosts = self.history.fleet.usable()
        self.hosts = dict(zip(HOST_NAMES, hosts, strict=True))
        self.change_result: Any = None
        self.first_revision = hosts[0].core.view.revision

    def host(self, name: str) -> FleetHost:
        return self.hosts[name]

    def last_request(self, kind: str, key: str) -> SentRequest:
        requests = [
            request
            for request in self.history.oracle.sent_requests
            if (request.kind, request.key) == (kind, key)
        ]
        return requests[-1]


@pytest.fixture
def context() -> Iterator[ScenarioContext]:
    context = ScenarioContext()
    yield context
    context.history.close()


@given("hosts A, B and C in front of three engines")
def hosts_in_front_of_engines(context: ScenarioContext) -> None:
    assert len(context.hosts) == len(HOST_NAMES)


@when(parsers.parse("an interviewer sends coding request {key} through host {name}"))
def send_coding(context: ScenarioContext, key: str, name: str) -> None:
    context.history.submit_coding(context.host(name), key)


@when(
    parsers.parse("an interviewer sends another body under {key} through host {name}")
)
def send_another_body(context: ScenarioContext, key: str, name: str) -> None:
    context.history.submit_conflicting_coding(context.host(name), key)


@when(parsers.parse("an interviewer sends booking {key} through host {name}"))
def send_booking(context: ScenarioContext, key: str, name: str) -> None:
    context.history.submit_booking(context.host(name), key)


@when(parsers.parse("interviewers open {count:d} chats through host {name}"))
def open_chats(context: ScenarioContext, count: int, name: str) -> None:
    for _ in range(count):
        context.history.submit_chat(context.host(name))


@when(parsers.parse("a supervisor submits job {key} through host {name}"))
def submit_job(context: ScenarioContext, key: str, name: str) -> None:
    context.history.submit_job(context.host(name), key)


@when(
    parsers.parse(
        "a supervisor submits job {key} with an impossible item through {host}"
    )
)
def submit_job_with_impossible_item(
    context: ScenarioContext, key: str, host: str
) -> None:
    context.history.submit_job(
        context.host(host.removeprefix("host ")), key, impossible=True
    )


@when(parsers.parse("job {key} is cancelled through host {name}"))
def cancel_job(context: ScenarioContext, key: str, name: str) -> None:
    oracle = context.history.oracle
    job = oracle.jobs[oracle.job_keys[key]]
    context.history.cancel_job(context.host(name), job)


@when(parsers.parse("host {name} is running items of job {key}"))
def wait_for_items(context: ScenarioContext, name: str, key: str) -> None:
    prompts = set(context.history.items_of(key).values())
    gate = context.host(name).gate
    for _ in range(MAX_WAIT_STEPS):
        runs = context.history.fleet.runs
        if any(run.gate is gate and run.prompt in prompts for run in runs):
            return
        context.history.advance(0.05)
    pytest.fail(f"host {name} ran no item of job {key}")


@when(parsers.re(r"(?P<duration>[\d.]+) seconds? pass(es)?"))
def time_passes(context: ScenarioContext, duration: str) -> None:
    context.history.advance(float(duration))


@when(parsers.parse("the clock jumps by {duration:d} seconds"))
def clock_jumps(context: ScenarioContext, duration: int) -> None:
    """Move the clock at once; timers due meanwhile fire only afterwards."""
    context.history.fleet.loop.virtual_s += duration


@when(parsers.parse("host {name} is lost"))
def lose_host(context: ScenarioContext, name: str) -> None:
    context.history.fleet.kill(context.host(name))


@when(parsers.parse("host {name} is paused"))
def pause_host(context: ScenarioContext, name: str) -> None:
    context.host(name).gate.pause()


@when(parsers.parse("host {name} is resumed"))
def resume_host(context: ScenarioContext, name: str) -> None:
    context.host(name).gate.resume()


@when(parsers.parse("host {name} is told to stop"))
def stop_host(context: ScenarioContext, name: str) -> None:
    context.history.fleet.stop(context.host(name))


@when(
    parsers.re(r'an operator drains "?(?P<engines>[^" ]+)"? through host (?P<name>\w)')
)
def drain_engines(context: ScenarioContext, engines: str, name: str) -> None:
    authority = context.host(name).core.authority
    drain = ConfigObject("drain", "repair", {"engines": engines})
    accept = authority.accept("operator", context.first_revision, [drain])
    context.change_result = context.history.fleet.run(accept)


@when("a host starts")
def start_host(context: ScenarioContext) -> None:
    context.history.fleet.add_host()


@when(parsers.parse("host {name} is cut off from the store"))
def cut_store(context: ScenarioContext, name: str) -> None:
    context.host(name).gate.cut_store(cut=True)


@when(parsers.parse("hosts {one} and {other} are cut off from each other"))
def cut_peers(context: ScenarioContext, one: str, other: str) -> None:
    pair = frozenset((context.host(one).gate.name, context.host(other).gate.name))
    context.history.fleet.network.cuts.add(pair)


@when("the store is down")
def store_down(context: ScenarioContext) -> None:
    context.history.fleet.set_store_faults(down=True)


@when("the store is slow")
def store_slow(context: ScenarioContext) -> None:
    context.history.fleet.set_store_faults(delay_s=1.5)


@when("the store loses half of its replies")
def store_loses_replies(context: ScenarioContext) -> None:
    context.history.fleet.set_store_faults(lose_reply_share=0.5)


@when("the store works again")
def store_works_again(context: ScenarioContext) -> None:
    context.history.fleet.set_store_faults(
        down=False, delay_s=0.004, lose_reply_share=0.0
    )


@when("the lending service drops connections after it ran a call")
def service_breaks(context: ScenarioContext) -> None:
    context.history.fleet.service_faults.break_after = True


@when("the lending service refuses connections")
def service_refuses(context: ScenarioContext) -> None:
    context.history.fleet.service_faults.refuse = True


@when(parsers.parse("engine {name} crashes"))
def crash_engine(context: ScenarioContext, name: str) -> None:
    context.history.fleet.engines.engines[name].crash()


@when(
    parsers.parse(
        "operators at hosts {one} and {other} change the marker at the same time"
    )
)
def race_operators(context: ScenarioContext, one: str, other: str) -> None:
    context.history.change(context.host(one), context.host(other))


@when(parsers.re(r"an operator at host (?P<name>[A-C]) changes the marker"))
def change_marker(context: ScenarioContext, name: str) -> None:
    context.history.change(context.host(name))


@when(parsers.parse("version 1 is recalled through host {name}"))
def recall_version(context: ScenarioContext, name: str) -> None:
    context.history.recall(context.host(name))


@then("every promise holds")
def every_promise_holds(context: ScenarioContext) -> None:
    assert context.history.finish() == []


@then(parsers.parse("job {key} has each item exactly once"))
def job_has_each_item_exactly_once(context: ScenarioContext, key: str) -> None:
    oracle, fleet = context.history.oracle, context.history.fleet
    job_id = oracle.job_keys[key]
    host = fleet.usable()[0]
    outcomes = fleet.run(host.core.jobs.outcomes(CUSTOMER, job_id)).unwrap()
    names = [outcome.custom_id for outcome in outcomes]
    assert sorted(names) == sorted(oracle.jobs[job_id].items)


@then(parsers.parse("job {key} is cancelled"))
def job_is_cancelled(context: ScenarioContext, key: str) -> None:
    oracle, fleet = context.history.oracle, context.history.fleet
    host = fleet.usable()[0]
    status = host.core.jobs.status(CUSTOMER, oracle.job_keys[key])
    assert fleet.run(status).unwrap().job.state == "cancelled"


@then(parsers.parse("coding request {key} has the same response at every host"))
def same_response_at_every_host(context: ScenarioContext, key: str) -> None:
    fleet = context.history.fleet
    first = context.last_request("coding", key).response.unwrap()
    for host in fleet.usable():
        read = host.core.coding.read(CUSTOMER, first.request_id)
        assert fleet.run(read).unwrap() == first


@then(parsers.re(r"the last response to coding request (?P<key>\w+) is (?P<code>\w+)"))
def coding_response_has_code(context: ScenarioContext, key: str, code: str) -> None:
    response = context.last_request("coding", key).response
    assert response.failure().code is ResultCode[code]


@then(
    parsers.re(
        r"the last response to coding request (?P<key>\w+) reports (?P<execution>.+)"
    )
)
def coding_response_reports(context: ScenarioContext, key: str, execution: str) -> None:
    response = context.last_request("coding", key).response
    assert response.failure().execution.value == execution


@then(
    parsers.re(r"the last response to booking (?P<key>\w+) reports (?P<execution>.+)")
)
def booking_response_reports(
    context: ScenarioContext, key: str, execution: str
) -> None:
    response = context.last_request("booking", key).response
    assert response.failure().execution.value == execution


@then(parsers.re(r"booking (?P<key>\w+) ran (?P<run_count>.+)"))
def booking_ran(context: ScenarioContext, key: str, run_count: str) -> None:
    body = context.last_request("booking", key).body.encode()
    assert context.history.fleet.ledger.runs[body] in ALLOWED_RUN_COUNTS[run_count]


@then(
    parsers.parse(
        "one change was accepted and the other was refused with REVISION_CONFLICT"
    )
)
def one_change_was_accepted(context: ScenarioContext) -> None:
    oracle = context.history.oracle
    assert len(oracle.accepted) == 1
    assert len(oracle.refused_markers) == 1


@then("every host has the accepted change")
def every_host_has_the_change(context: ScenarioContext) -> None:
    newest = max(context.history.oracle.accepted)
    for host in context.history.fleet.usable():
        assert host.core.view.revision >= newest, host.gate.name


@then(parsers.parse("no response of host {name} was cut off"))
def no_response_was_cut_off(context: ScenarioContext, name: str) -> None:
    gate = context.host(name).gate
    assert gate.lost
    assert context.history.cut_streams == []
    requests = [
        request
        for request in context.history.oracle.sent_requests
        if request.host == gate.name
    ]
    assert all(request.succeeded for request in requests)


@then(parsers.parse("{engine} started no generation in the last {duration:d} seconds"))
def engine_started_no_generation(
    context: ScenarioContext, engine: str, duration: int
) -> None:
    fleet = context.history.fleet
    since_s = fleet.clock.now_s() - duration
    recent_runs = [run for run in fleet.runs if run.started_s >= since_s]
    assert recent_runs
    assert all(run.engine.name != engine for run in recent_runs)


@then(parsers.parse("the impossible item of job {key} has failed with a reason"))
def impossible_item_failed(context: ScenarioContext, key: str) -> None:
    oracle, fleet = context.history.oracle, context.history.fleet
    host = fleet.usable()[0]
    read = host.core.jobs.outcomes(CUSTOMER, oracle.job_keys[key])
    outcomes = fleet.run(read).unwrap()
    failed = [outcome for outcome in outcomes if outcome.code != ResultCode.OK]
    assert [outcome.custom_id for outcome in failed] == [f"{key}-impossible"]
    assert failed[0].detail


@then(parsers.parse("the change was refused with {code}"))
def change_was_refused(context: ScenarioContext, code: str) -> None:
    assert context.change_result.failure().code is ResultCode[code]


@then("no host has a new revision")
def no_new_revision(context: ScenarioContext) -> None:
    revisions = {host.core.view.revision for host in context.history.fleet.usable()}
    assert revisions == {context.first_revision}
