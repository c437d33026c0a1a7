"""Runs the work of the demo and checks its results."""

from __future__ import annotations

import json
import random
from contextlib import AsyncExitStack
from typing import TYPE_CHECKING

from aspenbridge.clock import SystemClock
from aspenbridge.configuration import ConfigObject
from aspenbridge.embedded import token_text
from aspenbridge.loop import run_on_loop
from aspenbridge.online import Generation
from aspenbridge.result_codes import ResultCode
from aspenbridge.work import Work, new_id

from ._fleet import HOSTS, MODEL, SERVICE, Fleet, configuration
from ._report import DemoReport, DemoRow

if TYPE_CHECKING:
    from aspenbridge.batch import JobStatus
    from aspenbridge.host import HostCore

CUSTOMER = "kgotso"
ITEMS = 200
IMPOSSIBLE_ITEM = 77
CHATS = 10
ANSWER_TOKENS = 12
JOB_TIMEOUT_S = 60.0
RECALLED_VERSION = f"{MODEL}@1"


def run_demo() -> DemoReport:
    """Run the demo on its own event loop and return its report."""
    reports: list[DemoReport] = []

    async def main() -> int:
        reports.append(await _run_on_new_fleet())
        return 0

    run_on_loop(main())
    return reports[0]


async def _run_on_new_fleet() -> DemoReport:
    clock = SystemClock()
    fleet = Fleet(clock, random.SystemRandom())
    fleet.add_backends()
    async with AsyncExitStack() as stack:
        hosts = [
            await stack.enter_async_context(fleet.host(number))
            for number in range(1, HOSTS + 1)
        ]
        accepted = await hosts[0].authority.accept("demo", 0, configuration())
        accepted.unwrap()
        for host in hosts:
            await host.follower.refresh()
        job_id = await _submit_job(hosts[0])
        rows = [
            await _run_chats(hosts, clock),
            await _run_coding(hosts, clock),
            await _run_bookings(hosts, fleet, clock),
            await _run_recall(hosts, clock),
            await _await_job(hosts[1], job_id, clock),
        ]
    return DemoReport(tuple(rows))


def _work(host: HostCore, prompt: str) -> Work:
    return Work(
        work_id=new_id("req", host.ports.random),
        customer=CUSTOMER,
        model=MODEL,
        prompt=prompt,
        max_tokens=ANSWER_TOKENS,
        online=True,
        deadline_s=host.ports.clock.now_s() + 30.0,
    )


def _expected_text(prompt: str) -> str:
    return "".join(token_text(prompt, index) for index in range(ANSWER_TOKENS))


async def _run_chats(hosts: list[HostCore], clock: SystemClock) -> DemoRow:
    latencies_s = []
    passed = True
    for number in range(CHATS):
        host = hosts[number % len(hosts)]
        prompt = f"respondent {number} says that the queue was long"
        generation = Generation(_work(host, prompt))
        started_s = clock.now_s()
        first_token_s = 0.0
        async for _ in host.generator.run(generation):
            first_token_s = first_token_s or clock.now_s()
        latencies_s.append(first_token_s - started_s)
        passed = passed and generation.text == _expected_text(prompt)
    return DemoRow("streamed chat, first token", CHATS, tuple(latencies_s), passed)


async def _run_coding(hosts: list[HostCore], clock: SystemClock) -> DemoRow:
    work = _work(hosts[0], "code this answer")
    started_s = clock.now_s()
    first = (await hosts[0].coding.submit(work, "call-1")).unwrap()
    latency_s = clock.now_s() - started_s
    repeated_work = _work(hosts[1], "code this answer")
    repeated = (await hosts[1].coding.submit(repeated_work, "call-1")).unwrap()
    read_back = (await hosts[2].coding.read(CUSTOMER, first.request_id)).unwrap()
    passed = first == repeated == read_back and read_back.text == _expected_text(
        "code this answer"
    )
    return DemoRow("coding request, sent twice", 1, (latency_s,), passed)


async def _run_bookings(
    hosts: list[HostCore], fleet: Fleet, clock: SystemClock
) -> DemoRow:
    latencies_s = []
    replies = []
    for host in hosts[:2]:
        started_s = clock.now_s()
        reply = await host.calls.call(
            CUSTOMER,
            SERVICE,
            "POST",
            "/bookings",
            b'{"tool": "chainsaw"}',
            "booking-1",
            started_s + 5.0,
        )
        replies.append(reply.unwrap())
        latencies_s.append(clock.now_s() - started_s)
    runs = sum(fleet.ledger.runs.values())
    passed = runs == 1 and replies[0] == replies[1]
    return DemoRow("booking, sent twice", runs, tuple(latencies_s), passed)


async def _submit_job(host: HostCore) -> str:
    lines = [json.dumps(_input_line(number)) for number in range(ITEMS)]
    body = "\n".join(lines).encode()
    file = (await host.files.upload(CUSTOMER, body)).unwrap()
    due_wall_s = host.ports.clock.wall_s() + 3600.0
    job = (await host.jobs.submit(file, "evening", due_wall_s, {})).unwrap()
    return job.job_id


def _input_line(number: int) -> dict[str, object]:
    model = "no-such-model" if number == IMPOSSIBLE_ITEM else MODEL
    message = {"role": "user", "content": f"summarise call {number}"}
    body = {"model": model, "messages": [message], "max_tokens": ANSWER_TOKENS}
    return {"custom_id": f"call-{number}", "body": body}


async def _run_recall(hosts: list[HostCore], clock: SystemClock) -> DemoRow:
    started_s = clock.now_s()
    recall = ConfigObject("recall", "faulty", {"selector": RECALLED_VERSION})
    base_revision = hosts[2].view.revision
    accepted = await hosts[2].authority.accept("demo", base_revision, [recall])
    accepted.unwrap()
    for host in hosts:
        await host.follower.refresh()
    latency_s = clock.now_s() - started_s
    generation = Generation(_work(hosts[0], "after the recall"))
    async for _ in hosts[0].generator.run(generation):
        pass
    passed = generation.served_by == [f"{MODEL}@2"]
    return DemoRow("recall in force on all hosts", HOSTS, (latency_s,), passed)


async def _await_job(host: HostCore, job_id: str, clock: SystemClock) -> DemoRow:
    started_s = clock.now_s()
    status = await _poll_job(host, job_id, clock)
    latency_s = clock.now_s() - started_s
    outcomes = (await host.jobs.outcomes(CUSTOMER, job_id)).unwrap()
    failed = [
        outcome.custom_id for outcome in outcomes if outcome.code != ResultCode.OK
    ]
    passed = (
        status.done == len({outcome.custom_id for outcome in outcomes}) == ITEMS
        and failed == [f"call-{IMPOSSIBLE_ITEM}"]
        and all(
            outcome.text == _expected_text(f"summarise call {outcome.custom_id[5:]}")
            for outcome in outcomes
            if outcome.code == ResultCode.OK
        )
    )
    return DemoRow(
        "batch items, one can't be done", len(outcomes), (latency_s,), passed
    )


async def _poll_job(host: HostCore, job_id: str, clock: SystemClock) -> JobStatus:
    deadline_s = clock.now_s() + JOB_TIMEOUT_S
    while True:
        status = (await host.jobs.status(CUSTOMER, job_id)).unwrap()
        if status.job.state == "completed" or clock.now_s() > deadline_s:
            return status
        await clock.sleep_until(clock.now_s() + 0.1)
