"""
Batch jobs that are complete still count against the memory of their host.

This is no case of the review, since each refusal is true. Jobs of one item go
to one host, each after the one before is complete. Exits with 10 once a job is
refused though no job is open, with 0 if all are accepted. After the build of
the deploy file, at the root of the repository:

    PYTHONPATH=target/deps python3 review/probes-3/complete_jobs.py
"""

from __future__ import annotations

import asyncio
import json
import random
import sys
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "standins-3"))

from platform_rig import (  # noqa: E402
    BROKEN,
    HELD,
    Job,
    Rig,
    batch_route,
    configuration,
    run_case,
)

VIRTUAL_HOST = "nony24.example"
JOBS = 45
BODY_BYTES = 2_900_000  # 3.9 MB as base64; maxBodyBytes is 4,194,304


async def main() -> int:
    async with Rig(HERE, hosts_per_zone=1, engines=5) as rig:
        routes = [batch_route("verbatim-batch", VIRTUAL_HOST, "/pule252/")]
        rig.store.write("op", "config", configuration(3, routes))
        await rig.all_ready()
        for number in range(JOBS):
            job = Job(rig, f"job{number}", VIRTUAL_HOST, "/pule252/")
            job.add_item("9c2e41", random.randbytes(BODY_BYTES), 5)
            status, answer = await rig.call(
                "POST",
                "/pule252/7c41e0",
                VIRTUAL_HOST,
                request_id=job.id,
                body=json.dumps({"requests": job.items}).encode(),
                headers={"X-Aspenbridge-Deadline-Ms": "4000"},
                host=rig.hosts[0],
            )
            if status != 202:
                rig.record.add("end", complete=number, status=status, answer=answer)
                return BROKEN
            async with asyncio.timeout(20):
                await job.read()
        rig.record.add("end", complete=JOBS)
        return HELD


if __name__ == "__main__":
    run_case(main)
