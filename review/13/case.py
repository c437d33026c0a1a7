"""All hosts are killed soon after two crashes; the crashing request runs on."""

from __future__ import annotations

import asyncio
import os
import random
import signal
import sys
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "standins-3"))

from platform_rig import (  # noqa: E402
    BROKEN,
    HELD,
    CouldNotRunError,
    Rig,
    configuration,
    run_case,
    stream_route,
)

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
VIRTUAL_HOST = "nony24.example"
BODY = b"killer" + random.randbytes(1500)
CONTACT_S = 4.0  # contactMs
ALLOWED_RETRIES = 3
CRASHES = 3
KILL_AFTER_S = 1.0  # after the second crash
LENGTH_S = 84.0


async def send(rig: Rig) -> int:
    request_id = random.randbytes(8).hex()
    status, _ = await rig.call(
        "POST",
        "/pasuje/4e",
        VIRTUAL_HOST,
        request_id=request_id,
        body=BODY,
        headers={
            "X-Aspenbridge-Model": "m",
            "X-Aspenbridge-Token-Count": "350,37",
            "X-Aspenbridge-Prefix-Hash": f"5c1e07a2:100,{request_id}:250",
            "X-Aspenbridge-Deadline-Ms": "5000",
        },
    )
    return status


async def main() -> int:
    async with Rig(HERE, hosts_per_zone=3, engines=5) as rig:
        route = stream_route(
            "code-short", VIRTUAL_HOST, "/pasuje/", maxAttempts=1, resumable=False
        )
        rig.store.write("op", "config", configuration(3, [route]))
        await rig.all_ready()
        await asyncio.sleep(CONTACT_S + 1.0)
        begin_s = rig.record.now_s()
        await send(rig)
        await asyncio.sleep(0.5)
        await send(rig)
        if len(rig.crashes_s) != 2:
            raise CouldNotRunError("two engines should have crashed")
        await asyncio.sleep(KILL_AFTER_S)
        if TROUBLE:
            rig.record.add("all hosts are killed")
            for host in rig.hosts:
                host.send_signal(signal.SIGKILL)
            await asyncio.sleep(1.0)
            await rig.all_ready()
        await asyncio.sleep(CONTACT_S + 2.0)
        while rig.record.now_s() < begin_s + LENGTH_S:
            await send(rig)
            await asyncio.sleep(random.uniform(4.5, 5.5))
        rig.check_hosts(ends=int(TROUBLE))
        if len(rig.crashes_s) < CRASHES:
            raise CouldNotRunError("there was no third crash")
        third_s = rig.crashes_s[CRASHES - 1]
        # All hosts have been in touch since their last start and contactMs.
        touch_s = max(host.started_s for host in rig.hosts) + CONTACT_S
        late = [
            arrival
            for engine in rig.engines
            for arrival in engine.arrivals
            if arrival["at_s"] > max(third_s + CONTACT_S, touch_s)
        ]
        retries = {arrival["id"] for arrival in late}
        rig.record.add(
            "end",
            crashes=len(rig.crashes_s),
            third_s=f"{third_s:.3f}",
            in_touch_s=f"{touch_s:.3f}",
            late_retries=len(retries),
            late_runs=sum(arrival["ran"] for arrival in late),
            at_s=sorted(round(arrival["at_s"], 1) for arrival in late),
        )
        return BROKEN if len(retries) > ALLOWED_RETRIES else HELD


if __name__ == "__main__":
    run_case(main)
