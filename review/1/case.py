"""Another writer's entry in the list of engines, which can't be read."""

from __future__ import annotations

import asyncio
import re
from collections import Counter

from standins.caller import call
from standins.engine import Engine
from standins.fleet import Fleet, route
from standins.record import Record, disturbed, run_case, show

CALM_S = 5.0
WATCHED_S = 20.0
INTERVAL_S = 0.05
# No JSON text: its brackets are never closed. A row may hold 65,536 bytes.
UNREADABLE = b"[" * 4096
MOST_ENDS = 2  # of a process by itself; the third breaks the rule
ERROR = re.compile(r"\w+Error: [^\\\"]*")
MACHINES = 2  # on which processes end by themselves, a tenth of those in use


async def main(record: Record) -> bool | None:
    """Serve requests before and after the entry is written."""
    async with Fleet(record, 3) as fleet:
        fleet.configure([route("code", "llm", "streaming", resumable=True)])
        for number in range(2):
            ip = fleet.ip(100 + number)
            await Engine(f"i-{number}", "llm", ip, fleet.store, record).start()
        await fleet.start_hosts()
        await asyncio.sleep(1.0)
        before = await send_for(fleet, record, "calm", CALM_S)
        if disturbed():
            fleet.store.write("servers", "other", UNREADABLE)
            record.line("entry of another writer", bytes=len(UNREADABLE))
        after = await send_for(fleet, record, "after", WATCHED_S)
        ends = {host.name: host.ends for host in fleet.hosts}
        errors = Counter(
            error
            for host in fleet.hosts
            for line in host.log_lines()
            for error in ERROR.findall(line)
        )
    record.line("errors in the logs", **errors)
    record.line("served", before=before, after=after, ends=ends)
    show(f"before {before}, after {after}, ends {[len(e) for e in ends.values()]}")
    if before[200] < sum(before.values()) / 2:
        return None
    failing = [name for name, times in ends.items() if len(times) > MOST_ENDS]
    return len(failing) < MACHINES


async def send_for(
    fleet: Fleet, record: Record, name: str, duration_s: float
) -> Counter[int]:
    """Send requests for some time, and return how many got which status."""
    sends = []
    for number in range(int(duration_s / INTERVAL_S)):
        host = fleet.hosts[number % len(fleet.hosts)]
        sends.append(asyncio.create_task(send(host, record, f"{name}-{number:04}")))
        await asyncio.sleep(INTERVAL_S)
    return Counter(await asyncio.gather(*sends))


async def send(host, record: Record, request_id: str) -> int:
    """Send one request."""
    record.line("sent", id=request_id, host=host.name)
    headers = {"X-Aspenbridge-Deadline-Ms": "5000"}
    answer = await call(
        host, "POST", "/code/x", request_id=request_id, headers=headers, body=b"q"
    )
    record.line("answered", id=request_id, status=answer.status)
    return answer.status


if __name__ == "__main__":
    run_case(main, __file__)
