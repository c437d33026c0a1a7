"""An entry of another writer in the list of engines starves batch items."""

from __future__ import annotations

import asyncio
import os
import random
import socket
import sys
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "standins-3"))

from platform_rig import (  # noqa: E402
    BROKEN,
    HELD,
    CouldNotRunError,
    Job,
    Rig,
    batch_route,
    configuration,
    lost_items,
    run_case,
    stream_route,
)

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
VIRTUAL_HOST = "nony24.example"
ENTRY_ID = "b-64d1f0c7"
HEARTBEAT_S = 1.2
EVENTS = 150
TRAFFIC_S = 14.0
FINISH_S = 18.0  # finishS, after the end of traffic


async def write_entry(rig: Rig) -> None:
    """Write an entry without version, coldLeftMs, seq and born, as engines do."""
    with socket.socket() as unused:
        unused.bind(("127.0.0.1", 0))  # bound, but nothing listens there
        entry = {
            "service": "pool",
            "addr": f"127.0.0.1:{unused.getsockname()[1]}",
            "zone": "jhb-a",
            "slots": 8,
            "state": "ready",
        }
        rig.record.add("another writer's entry", key=ENTRY_ID, entry=entry)
        while True:
            rig.store.write("servers", ENTRY_ID, entry)
            await asyncio.sleep(HEARTBEAT_S)


async def online(rig: Rig, statuses: list[int]) -> None:
    calls = set()

    async def one() -> None:
        request_id = random.randbytes(8).hex()
        status, _ = await rig.call(
            "POST",
            "/lohu930/2f",
            VIRTUAL_HOST,
            request_id=request_id,
            body=random.randbytes(1500),
            headers={
                "X-Aspenbridge-Model": "m",
                "X-Aspenbridge-Token-Count": "450,37",
                "X-Aspenbridge-Prefix-Hash": f"5c1e:100,{request_id}:350",
                "X-Aspenbridge-Deadline-Ms": "5000",
            },
        )
        statuses.append(status)

    while True:
        task = asyncio.create_task(one())
        calls.add(task)
        task.add_done_callback(calls.discard)
        await asyncio.sleep(random.uniform(0.1, 0.5))


async def main() -> int:
    async with Rig(HERE, hosts_per_zone=3, engines=5) as rig:
        routes = [
            batch_route("verbatim-batch", VIRTUAL_HOST, "/pule252/"),
            stream_route("code-long", VIRTUAL_HOST, "/lohu930/"),
        ]
        rig.store.write("op", "config", configuration(3, routes))
        await rig.all_ready()
        background = []
        if TROUBLE:
            background.append(asyncio.create_task(write_entry(rig)))
        statuses: list[int] = []
        traffic = asyncio.create_task(online(rig, statuses))
        await asyncio.sleep(3.0)
        jobs = []
        for number in range(4):
            job = Job(rig, f"job{number}", VIRTUAL_HOST, "/pule252/")
            for _ in range(10):
                job.add_item(f"9c{number}", random.randbytes(15000), EVENTS)
            if not await job.submit():
                raise CouldNotRunError("a job was not accepted")
            jobs.append(job)
            background.append(asyncio.create_task(job.read()))
            await asyncio.sleep((TRAFFIC_S - 3.0) / 4)
        traffic.cancel()
        ended_s = rig.record.now_s()
        await asyncio.sleep(FINISH_S)
        rig.check_hosts()
        lost, details = lost_items(rig, jobs)
        wrong = [r for j in jobs for r in j.results if r["text"] != j.texts[r["id"]]]
        rig.record.add(
            "end",
            traffic_ended_s=f"{ended_s:.1f}",
            listed=sum(len(job.results) for job in jobs),
            wrong=len(wrong),
            online={status: statuses.count(status) for status in set(statuses)},
            **details,
        )
        for task in background:
            task.cancel()
        return BROKEN if wrong or lost else HELD


if __name__ == "__main__":
    run_case(main)
