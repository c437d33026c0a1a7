"""Completed results of something recalled are listed and run again."""

from __future__ import annotations

import json
from contextlib import AsyncExitStack

from aspenbridge.configuration import ConfigObject
from aspenbridge.result_codes import ResultCode
from aspenbridge.work import Work
from tests.support.control_fleet import ControlFleet, engine
from tests.support.virtual_loop import run_virtual

ITEMS = 30


def body_of(count):
    message = {"role": "user", "content": "p"}
    body = {"model": "coder", "messages": [message], "max_tokens": 5}
    lines = ({"custom_id": f"c{n}", "body": body} for n in range(count))
    return "\n".join(json.dumps(line) for line in lines).encode()


def test_results_are_listed_and_run_again_when_their_version_is_recalled() -> None:
    async def main(clock):
        fleet = ControlFleet(clock)
        for name in ("e1", "e2"):
            fleet.add_engine(name)
        async with AsyncExitStack() as stack:
            await fleet.start(stack, 2)
            await fleet.pass_s(5.0)
            host = fleet.hosts[0]
            put = (engine("e1"), engine("e2", version="2"))
            (await fleet.put(host, *put)).unwrap()
            await host.follower.refresh()
            await fleet.hosts[1].follower.refresh()
            job = await submit(host, clock)
            done = await ended(fleet, host, job.job_id)
            work = Work("req-1", "kgotso", "coder", "p", 4, True, clock.now_s() + 20)
            coded = (await host.coding.submit(work, None)).unwrap()
            recall = ConfigObject("recall", "r", {"selector": "coder@1"})
            change = (await fleet.put(host, recall)).unwrap()
            await host.announce(change.revision)
            results = host.recalled_results
            listed = (await results.batch_page("r")).unwrap()
            coding = (await results.coding_page("r")).unwrap()
            again = (await results.rerun("r", job.job_id)).unwrap()
            repeated = await results.rerun("r", job.job_id)
            redone = await ended(fleet, host, again.rerun_job_id)
            return done, coded, listed, coding, again, repeated, redone

    async def submit(host, clock):
        file = (await host.files.upload("kgotso", body_of(ITEMS))).unwrap()
        due_s = clock.wall_s() + 3600
        return (await host.jobs.submit(file, None, due_s, {})).unwrap()

    async def ended(fleet, host, job_id):
        for _ in range(600):
            status = (await host.jobs.status("kgotso", job_id)).unwrap()
            if status.job.state == "completed":
                break
            await fleet.pass_s(0.5)
        return (await host.jobs.outcomes("kgotso", job_id)).unwrap()

    done, coded, listed, coding, again, repeated, redone = run_virtual(main)
    old = {it.custom_id for it in done if "coder@1" in it.served_by}
    assert 0 < len(old) < ITEMS
    assert {it for item in listed.items for it in item.custom_ids} == old
    assert list(coding.requests) == ["req-1"] * ("coder@1" in coded.served_by)
    assert again.items == len(old)
    assert repeated.failure().code is ResultCode.IDEMPOTENCY_CONFLICT
    assert {it.custom_id for it in redone} == old
    assert {it.served_by for it in redone} == {("coder@2",)}
