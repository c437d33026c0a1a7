"""
Results of a recalled model version are listed and run again.

Guards against affected results that are not listed, and against a re-run of
other items, of the same items twice or on the recalled version.
"""

from __future__ import annotations

import json
from contextlib import AsyncExitStack

from aspenbridge.configuration import ConfigObject
from aspenbridge.result_codes import ResultCode
from aspenbridge.work import Work
from tests.support.control_fleet import ControlFleet, engine
from tests.support.virtual_loop import run_virtual

ITEMS = 30


def batch_input(count):
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
            await fleet.advance(5.0)
            host = fleet.hosts[0]
            put = (engine("e1"), engine("e2", version="2"))
            (await fleet.put(host, *put)).unwrap()
            await host.follower.refresh()
            await fleet.hosts[1].follower.refresh()
            job = await submit(host, clock)
            outcomes = await final_outcomes(fleet, host, job.job_id)
            work = Work("req-1", "kgotso", "coder", "p", 4, True, clock.now_s() + 20)
            coding_record = (await host.coding.submit(work, None)).unwrap()
            recall = ConfigObject("recall", "r", {"selector": "coder@1"})
            change = (await fleet.put(host, recall)).unwrap()
            await host.announce(change.revision)
            results = host.recalled_results
            listed = (await results.batch_page("r")).unwrap()
            coding = (await results.coding_page("r")).unwrap()
            rerun = (await results.rerun("r", job.job_id)).unwrap()
            second_rerun = await results.rerun("r", job.job_id)
            rerun_outcomes = await final_outcomes(fleet, host, rerun.rerun_job_id)
            return (
                outcomes,
                coding_record,
                listed,
                coding,
                rerun,
                second_rerun,
                rerun_outcomes,
            )

    async def submit(host, clock):
        file = (await host.files.upload("kgotso", batch_input(ITEMS))).unwrap()
        due_s = clock.wall_s() + 3600
        return (await host.jobs.submit(file, None, due_s, {})).unwrap()

    async def final_outcomes(fleet, host, job_id):
        for _ in range(600):
            status = (await host.jobs.status("kgotso", job_id)).unwrap()
            if status.job.state == "completed":
                break
            await fleet.advance(0.5)
        return (await host.jobs.outcomes("kgotso", job_id)).unwrap()

    outcomes, coding_record, listed, coding, rerun, second_rerun, rerun_outcomes = (
        run_virtual(main)
    )
    affected = {
        outcome.custom_id for outcome in outcomes if "coder@1" in outcome.served_by
    }
    assert 0 < len(affected) < ITEMS
    assert {
        custom_id for item in listed.items for custom_id in item.custom_ids
    } == affected
    assert list(coding.requests) == ["req-1"] * ("coder@1" in coding_record.served_by)
    assert rerun.items == len(affected)
    assert second_rerun.failure().code is ResultCode.IDEMPOTENCY_CONFLICT
    assert {outcome.custom_id for outcome in rerun_outcomes} == affected
    assert {outcome.served_by for outcome in rerun_outcomes} == {("coder@2",)}
