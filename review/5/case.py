"""A batch job with a result whose characters JSON has to escape."""

from __future__ import annotations

import asyncio

from standins.caller import call, job_body, read_results
from standins.engine import Engine
from standins.fleet import Fleet, route
from standins.record import Record, disturbed, run_case, show

ITEMS = 10
EVENTS = 108
CELLS = 36  # of an event; 360 bytes, as long as the longest of the site
COLOURED, PLAIN = "\x1b[1m7\x1b[0m ", "   |   7  "
TRAFFIC_S = 12.0
FINISH_S = 18.0  # finishS, after the end of traffic
IDLE_S = 10.0  # since the last run began: it took 3 s at most, and 5 s calm
BATCH = {
    "latencyGoalMs": 500,
    "completionTargetMs": 18000,
    "timeoutMs": 15000,
    "maxAttempts": 3,
    "retainS": 60,
}


def events(request_id: str) -> list[str]:
    """Return 39 kB of text; that of the first item is a coloured table."""
    coloured = disturbed() and request_id.endswith("-000")
    return [(COLOURED if coloured else PLAIN) * CELLS for _ in range(EVENTS)]


async def main(record: Record) -> bool | None:
    """Submit a job, and read its results when ``finishS`` is over."""
    async with Fleet(record, 3) as fleet:
        fleet.configure([route("night", "llm", "batch", **BATCH)])
        engines = [
            Engine(
                f"i-{number}",
                "llm",
                fleet.ip(100 + number),
                fleet.store,
                record,
                event_s=0.01,
                events=events,
            )
            for number in range(2)
        ]
        for engine in engines:
            await engine.start()
        await fleet.start_hosts()
        await asyncio.sleep(1.0)
        begun_s = record.now_s()
        ids = [f"item-{number:03}" for number in range(ITEMS)]
        answer = await call(
            fleet.hosts[0],
            "POST",
            "/night/job",
            request_id="job-night",
            body=job_body(ids, "/night/"),
        )
        record.line("submitted", status=answer.status)
        if answer.status != 202:
            return None
        await asyncio.sleep(begun_s + TRAFFIC_S + FINISH_S - record.now_s())
        results = await read_results(fleet.hosts, "job-night")
        idle_s = record.now_s() - max(at_s for e in engines for at_s, _ in e.runs)
        busy = sum(sum(engine.running.values()) for engine in engines)
        refused = list(fleet.store.refused)
    for result in results:
        record.line("listed", id=result["id"], state=result["state"])
    record.line("calls that the store refused", count=len(refused), first=refused[:1])
    record.line("engines", running=busy, last_run_s_ago=idle_s)
    texts = {item_id: "\n".join(events(item_id)) for item_id in ids}
    wrong = [r["id"] for r in results if r["text"] != texts[r["id"]]]
    unlisted = ITEMS - len(results)
    show(f"{unlisted} items unlisted, {len(wrong)} wrong; idle for {idle_s:.1f} s")
    if wrong or (unlisted and (busy or idle_s < IDLE_S)):
        return None
    return not unlisted


if __name__ == "__main__":
    run_case(main, __file__)
