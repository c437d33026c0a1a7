"""Measures the cost of batch work: uploads, segments, jobs and chunks."""

from __future__ import annotations

import json
import random
from functools import partial
from typing import TYPE_CHECKING

import attrs
import msgspec

from aspenbridge.batch._records import JobRecord, Outcome, active_key
from aspenbridge.configuration import ConfigObject
from aspenbridge.settings import BatchSettings, HostSettings, Settings
from aspenbridge.store import Changes

from ._clocks import FastClock
from ._fit import Point, Slope, fit
from ._fleet import CountedFleet, Counts, WirePeers
from ._measure import async_cpu_s, cpu_s, peak_bytes
from ._slopes_hosts import SimulatedPeers

if TYPE_CHECKING:
    from aspenbridge.host import HostCore

FILE_ITEMS = (20_000, 80_000, 260_000)
MEMORY_ITEMS = (5_000, 20_000, 60_000)
SEGMENT_ITEMS = (50, 200, 500)
JOB_COUNTS = (100, 600, 1800)
JOB_CHUNKS = (4, 16, 48)
CHUNK_ITEMS = 25
PROMPT = "the respondent says that the queue at the counter was far too long " * 6
CUSTOMER = "customer-00001"
MODEL = "model-1"
ENGINE = "engine-1"


def batch_file(items: int) -> bytes:
    """Return a batch file with prompts of about 400 bytes."""
    lines = []
    for number in range(items):
        message = {"role": "user", "content": f"{PROMPT}{number}"}
        body = {"model": MODEL, "messages": [message], "max_tokens": 2}
        lines.append(json.dumps({"custom_id": f"call-{number}", "body": body}))
    return "\n".join(lines).encode()


def _outcomes(count: int) -> list[Outcome]:
    text = "The queue was too long; the staff was kind. " * 6
    return [
        Outcome(f"call-{number}", 0, text, 60, ("model-1@1",))
        for number in range(count)
    ]


def _job(number: int) -> JobRecord:
    return JobRecord(
        job_id=f"job-{number:024x}",
        customer=CUSTOMER,
        file_id=f"file-{number:024x}",
        items=25_000,
        chunks=50,
        state="running",
        created_wall_s=0.0,
        due_wall_s=0.0,
        chunk_items=500,
        labels={"kind": "summary"},
    )


def counted_fleet(seed: int, delay_s: float = 0.0) -> CountedFleet:
    """Return a fleet for one host, with one engine."""
    source = random.Random(seed)
    peers = WirePeers(SimulatedPeers(1, source).reply_to)
    fleet = CountedFleet(FastClock(1.0), source, peers, delay_s)
    fleet.add_engine(ENGINE)
    return fleet


def batch_settings() -> Settings:
    """Return settings with small chunks, so that a short job has many."""
    return Settings(
        host=HostSettings(name="measured"),
        batch=BatchSettings(chunk_items=CHUNK_ITEMS),
    )


async def configure(host: HostCore) -> None:
    """Configure the engine of the fleet and have the host apply it."""
    spec = {
        "address": "127.0.0.1:9",
        "region": "local",
        "failure_domain": "local-a",
        "model": MODEL,
        "version": "1",
    }
    engine = ConfigObject("engine", ENGINE, spec)
    revision = host.view.revision
    (await host.authority.accept("bench", revision, [engine])).unwrap()
    await host.follower.refresh()


async def _upload_cost(seed: int) -> tuple[Slope, Slope, Slope]:
    cpu_times, writes, memory = [], [], []
    fleet = counted_fleet(seed)
    host = fleet.host(Settings())
    for items in FILE_ITEMS:
        body = batch_file(items)
        counts_before = Counts.of(fleet)

        async def upload(body: bytes = body) -> None:
            (await host.files.upload(CUSTOMER, body)).unwrap()
            # Empties the object store before the next upload.
            fleet.objects.objects.__init__()  # type: ignore[misc]

        cpu_times.append(Point(items, await async_cpu_s(upload, 1)))
        calls = Counts.of(fleet).since(counts_before)
        writes.append(Point(items, calls.object_writes / 5))
    for items in MEMORY_ITEMS:
        parse = partial(host.files._parse_items, batch_file(items))
        memory.append(Point(items, peak_bytes(parse)))
    return (
        fit("file uploaded", "s", "items", cpu_times),
        fit("file uploaded", "object writes", "items", writes),
        fit("file parsed, peak", "bytes", "items", memory),
    )


def _segment_cost() -> tuple[Slope, Slope, Slope]:
    encoded, decoded, size = [], [], []
    for count in SEGMENT_ITEMS:
        outcomes = _outcomes(count)
        body = msgspec.json.encode(outcomes)
        size.append(Point(count, len(body)))
        spent_s = cpu_s(partial(msgspec.json.encode, outcomes), 20)
        encoded.append(Point(count, spent_s))
        spent_s = cpu_s(partial(msgspec.json.decode, body, type=list[Outcome]), 20)
        decoded.append(Point(count, spent_s))
    return (
        fit("segment encoded", "s", "items", encoded),
        fit("segment decoded", "s", "items", decoded),
        fit("segment", "bytes", "items", size),
    )


async def _active_cost(seed: int) -> tuple[Slope, Slope]:
    cpu_times, reads = [], []
    for jobs in JOB_COUNTS:
        fleet = counted_fleet(seed)
        host = fleet.host(Settings())
        for number in range(jobs):
            job = _job(number)
            await host.store.commit(Changes().put(active_key(job.job_id), job))
        counts_before = Counts.of(fleet)

        async def scan(host: HostCore = host) -> None:
            await host.store.scan("active", "", JobRecord)

        cpu_times.append(Point(jobs, await async_cpu_s(scan, 1)))
        calls = Counts.of(fleet).since(counts_before)
        reads.append(Point(jobs, calls.table_reads / 5))
    return (
        fit("active jobs scanned", "s", "jobs", cpu_times),
        fit("active jobs scanned", "table reads", "jobs", reads),
    )


@attrs.frozen
class JobCost:
    """The platform calls of one job, from its submission to its end."""

    chunks: int
    items: int
    counts: Counts


async def job_cost(chunks: int, seed: int) -> JobCost:
    """Run one job with a number of chunks on one host."""
    fleet = counted_fleet(seed)
    async with fleet.host(batch_settings()) as host:
        await configure(host)
        counts_before = Counts.of(fleet)
        items = chunks * CHUNK_ITEMS
        file = (await host.files.upload(CUSTOMER, batch_file(items))).unwrap()
        due_s = fleet.clock.wall_s() + 3600.0
        job = (await host.jobs.submit(file, None, due_s, {})).unwrap()
        while True:
            calls = Counts.of(fleet).since(counts_before)
            status = (await host.jobs.status(CUSTOMER, job.job_id)).unwrap()
            if status.job.state == "completed":
                return JobCost(chunks, items, calls)
            await fleet.clock.sleep_until(fleet.clock.now_s() + 1.0)


async def _job_slopes(seed: int) -> list[Slope]:
    costs = [await job_cost(chunks, seed) for chunks in JOB_CHUNKS]
    names = ("table_reads", "table_writes", "object_reads", "object_writes")
    return [
        fit(
            "job run",
            name.replace("_", " "),
            "chunks",
            [Point(cost.chunks, getattr(cost.counts, name)) for cost in costs],
        )
        for name in names
    ]


async def batch_slopes(seed: int) -> list[Slope]:
    """Return the slopes over jobs, chunks and items."""
    return [
        *await _upload_cost(seed),
        *_segment_cost(),
        *await _active_cost(seed),
        *await _job_slopes(seed),
    ]


__all__ = ["batch_slopes", "configure", "counted_fleet", "job_cost"]
