"""Batch jobs of one service, while another one has lost its engine."""

from __future__ import annotations

import asyncio

from standins.caller import call, job_body, read_results
from standins.engine import Engine
from standins.fleet import Fleet, route
from standins.record import Record, disturbed, run_case, show

ITEMS = 40
EVENTS = 150  # 3 s at 20 ms each
LOST_AFTER_S = 0.5
FINISH_S = 18.0  # finishS, after the end of traffic
TRAFFIC_S = 30.0
IDLE_S = 10.0  # since the last run began: it took 3 s at most, and 5 s calm
BATCH = {
    "latencyGoalMs": 500,
    "completionTargetMs": 18000,
    "timeoutMs": 15000,
    "maxAttempts": 3,
    "retainS": 60,
}


def events(request_id: str) -> list[str]:
    """Return the events of an item."""
    return [f"{request_id}-{number}" for number in range(EVENTS)]


async def main(record: Record) -> bool | None:
    """Submit a job to each service, and read them when ``finishS`` is over."""
    async with Fleet(record, 3) as fleet:
        fleet.configure(
            [
                route("small", "small-llm", "batch", **BATCH),
                route("large", "large-llm", "batch", **BATCH),
            ]
        )
        options = {"events": events}
        small = Engine(
            "i-small", "small-llm", fleet.ip(100), fleet.store, record, **options
        )
        large = [
            Engine(
                f"i-large-{number}",
                "large-llm",
                fleet.ip(101 + number),
                fleet.store,
                record,
                **options,
            )
            for number in range(2)
        ]
        for engine in (small, *large):
            await engine.start()
        await fleet.start_hosts()
        await asyncio.sleep(2.0)
        begun_s = record.now_s()
        await submit(fleet, record, 0, "small")
        if disturbed():
            await asyncio.sleep(LOST_AFTER_S)
            losing = asyncio.create_task(small.lose())
        await asyncio.sleep(1.0)
        await submit(fleet, record, 1, "large")
        await asyncio.sleep(begun_s + TRAFFIC_S + FINISH_S - record.now_s())
        results = {
            name: await read_results(fleet.hosts, f"job-{name}")
            for name in ("small", "large")
        }
        last_s = max(at_s for engine in large for at_s, _ in engine.runs)
        busy = sum(sum(engine.running.values()) for engine in large)
        idle_s = record.now_s() - last_s
        if disturbed():
            await losing
    for name, listed in results.items():
        states = [result["state"] for result in listed]
        record.line("listed", job=name, items=ITEMS, states=states)
    record.line("engines of large-llm", running=busy, last_run_s_ago=idle_s)
    unlisted = ITEMS - len(results["large"])
    show(f"{unlisted} items of large-llm unlisted, engines idle for {idle_s:.1f} s")
    if unlisted and (busy or idle_s < IDLE_S):
        return None
    return not unlisted


async def submit(fleet: Fleet, record: Record, host: int, name: str) -> None:
    """Submit a job; each attempt at another host until it is accepted."""
    ids = [f"{name}-{number:03}" for number in range(ITEMS)]
    for attempt in range(3):
        chosen = fleet.hosts[(host + attempt) % len(fleet.hosts)]
        answer = await call(
            chosen,
            "POST",
            f"/{name}/job",
            request_id=f"job-{name}",
            body=job_body(ids, f"/{name}/"),
        )
        record.line("submitted", job=name, host=chosen.name, status=answer.status)
        if answer.status == 202:
            return
    raise RuntimeError(f"job {name} was not accepted")


if __name__ == "__main__":
    run_case(main, __file__)
