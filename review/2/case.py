"""Requests that may run once at most, while an engine loses answers."""

from __future__ import annotations

import asyncio
from collections import Counter

from standins.caller import call
from standins.engine import Engine
from standins.fleet import Fleet, route
from standins.record import Record, disturbed, run_case, show

METHODS = ("PUT", "DELETE", "GET", "POST")
REQUESTS = 320
INTERVAL_S = 0.02  # 6.4 s in all
# One engine of two loses the answer of one run in twenty.
LOST_EVERY = 20


async def main(record: Record) -> bool | None:
    """Send requests with several methods, and count the runs of each."""
    async with Fleet(record, 3) as fleet:
        fleet.configure([route("book", "llm", "non_idempotent")])
        losing = [loses_answer if disturbed() else keeps_answer, keeps_answer]
        engines = [
            Engine(
                f"i-{number}",
                "llm",
                fleet.ip(100 + number),
                fleet.store,
                record,
                events=lambda request_id: [request_id],
                loses_answer=loses,
            )
            for number, loses in enumerate(losing)
        ]
        for engine in engines:
            await engine.start()
        await fleet.start_hosts()
        await asyncio.sleep(1.0)
        sends = []
        for number in range(REQUESTS):
            sends.append(asyncio.create_task(send(fleet, record, number)))
            await asyncio.sleep(INTERVAL_S)
        statuses = Counter(await asyncio.gather(*sends))
        await asyncio.sleep(1.0)
        runs = Counter(request for engine in engines for _, request in engine.runs)
    twice = sorted(request for request, count in runs.items() if count > 1)
    record.line("statuses", **{str(status): n for status, n in statuses.items()})
    record.line("ran more than once", requests=twice)
    show(f"{dict(statuses)} answers, {len(runs)} requests ran, {len(twice)} twice")
    if statuses[200] < REQUESTS / 2:
        return None
    return not twice


def loses_answer(run: int) -> bool:
    """Whether the answer of a run is lost."""
    return run % LOST_EVERY == 0


def keeps_answer(run: int) -> bool:
    """Whether the answer of a run is lost: none is."""
    return False


async def send(fleet: Fleet, record: Record, number: int) -> int:
    """Send one request once; the caller does not repeat it."""
    host, method = fleet.hosts[number % 3], METHODS[number % len(METHODS)]
    request_id = f"{method.lower()}-{number:04}"
    body = b"booking" if method in ("PUT", "POST") else b""
    record.line("sent", id=request_id, host=host.name)
    answer = await call(
        host,
        method,
        f"/book/{number}",
        request_id=request_id,
        headers={"X-Aspenbridge-Deadline-Ms": "5000"},
        body=body,
    )
    record.line("answered", id=request_id, status=answer.status)
    return answer.status


if __name__ == "__main__":
    run_case(main, __file__)
