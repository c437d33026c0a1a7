"""Claims chunks of active jobs, runs their items and counts results."""

from __future__ import annotations

import asyncio
from contextlib import aclosing
from typing import TYPE_CHECKING

import attrs
import msgspec
from returns.result import Failure, Success

from aspenbridge.online import Generation
from aspenbridge.result_codes import ProblemError, ResultCode
from aspenbridge.store import Changes
from aspenbridge.work import Work, new_id

from ._records import (
    COMPLETED,
    QUEUED,
    RUNNING,
    ChunkRecord,
    Item,
    JobRecord,
    Outcome,
    Segment,
    active_key,
    chunk_key,
    input_name,
    job_key,
    segment_name,
)

if TYPE_CHECKING:
    from collections.abc import Callable, Sequence
    from random import Random

    from aspenbridge.membership import Identity
    from aspenbridge.online import Generator
    from aspenbridge.ports import Clock, ObjectStore
    from aspenbridge.settings import BatchSettings
    from aspenbridge.store import Store, Stored

    from ._jobs import Jobs


class BatchRunner:
    """One host's part in the batch work of the fleet."""

    def __init__(
        self,
        identity: Callable[[], Identity],
        store: Store,
        objects: ObjectStore,
        jobs: Jobs,
        generator: Generator,
        clock: Clock,
        random: Random,
        settings: BatchSettings,
    ) -> None:
        self._identity = identity
        self._store = store
        self._objects = objects
        self._jobs = jobs
        self._generator = generator
        self._clock = clock
        self._random = random
        self._settings = settings
        self._places = asyncio.Semaphore(settings.concurrency)

    async def run_once(self) -> bool:
        """Run one chunk of any active job; return whether there was one."""
        scanned = await self._store.scan("active", "", JobRecord)
        if isinstance(scanned, Failure):
            return False
        active = [stored.record for stored in scanned.unwrap()]
        self._random.shuffle(active)
        for job in active:
            if await self._run_chunk_of(job.job_id):
                return True
        return False

    async def _run_chunk_of(self, job_id: str) -> bool:
        read = await self._store.get(job_key(job_id), JobRecord)
        if isinstance(read, Failure):
            return False
        stored = read.unwrap()
        if stored is None or stored.record.state not in (QUEUED, RUNNING):
            return False
        claimed = await self._claim(stored)
        if claimed is None:
            return False
        await self._run_chunk(stored.record, claimed)
        await self._finish_job(job_id)
        return True

    async def _claim(self, job: Stored[JobRecord]) -> ChunkRecord | None:
        chunks = await self._jobs.chunks(job.record.job_id)
        if isinstance(chunks, Failure):
            return None
        taken = {chunk.record.number for chunk in chunks.unwrap()}
        free = [number for number in range(job.record.chunks) if number not in taken]
        if not free:
            return None
        number = self._random.choice(free)
        record = ChunkRecord(
            job_id=job.record.job_id,
            number=number,
            owner=self._identity().incarnation,
            claim=1,
            items=self._items_in(job.record, number),
        )
        key = chunk_key(record.job_id, number)
        changes = self._identity().guard(Changes().unchanged(job).absent(key))
        changes.put(key, record)
        if job.record.state == QUEUED:
            changes.put(job.key, attrs.evolve(job.record, state=RUNNING))
        result = await self._store.commit(changes)
        return record if isinstance(result, Success) else None

    def _items_in(self, job: JobRecord, number: int) -> int:
        size = self._settings.chunk_items
        return min(size, job.items - number * size)

    async def _run_chunk(self, job: JobRecord, chunk: ChunkRecord) -> None:
        read = await self._objects.get(input_name(job.file_id, chunk.number))
        if isinstance(read, Failure):
            return
        body = read.unwrap()
        if body is None:
            return
        items = msgspec.json.decode(body, type=list[Item])
        runs = (self._run_item(job, item) for item in items)
        outcomes = await asyncio.gather(*runs)
        await self._count(chunk, outcomes)

    async def _run_item(self, job: JobRecord, item: Item) -> Outcome:
        work = Work(
            work_id=new_id("item", self._random),
            customer=job.customer,
            model=item.model,
            prompt=item.prompt,
            max_tokens=item.max_tokens,
            online=False,
            deadline_s=self._clock.now_s() + job.due_wall_s - self._clock.wall_s(),
            adapter=item.adapter,
            labels=job.labels,
        )
        generation = Generation(work)
        async with self._places:
            try:
                async with aclosing(self._generator.run(generation)) as chunks:
                    async for _ in chunks:
                        pass
            except ProblemError as error:
                problem = error.problem
                return Outcome(item.custom_id, int(problem.code), detail=problem.detail)
        return Outcome(
            custom_id=item.custom_id,
            code=int(ResultCode.OK),
            text=generation.text,
            tokens=generation.tokens,
            served_by=tuple(generation.served_by),
        )

    async def _count(self, chunk: ChunkRecord, outcomes: Sequence[Outcome]) -> None:
        """Write results to an object, then count them in one transaction."""
        name = segment_name(chunk.job_id, chunk.number, chunk.claim, 0)
        stored = await self._objects.put(name, msgspec.json.encode(outcomes))
        if isinstance(stored, Failure):
            return
        served = sorted({version for item in outcomes for version in item.served_by})
        failed = sum(item.code != ResultCode.OK for item in outcomes)
        segment = Segment(name, len(outcomes), failed, tuple(served))
        key = chunk_key(chunk.job_id, chunk.number)
        read = await self._store.get(key, ChunkRecord)
        if isinstance(read, Failure):
            return
        current = read.unwrap()
        if current is None or current.record != chunk:
            return
        changes = self._identity().guard(Changes().unchanged(current))
        changes.put(key, attrs.evolve(chunk, segments=(segment,)))
        await self._store.commit(changes)

    async def _finish_job(self, job_id: str) -> None:
        read = await self._store.get(job_key(job_id), JobRecord)
        chunks = await self._jobs.chunks(job_id)
        if isinstance(read, Failure) or isinstance(chunks, Failure):
            return
        stored = read.unwrap()
        if stored is None or stored.record.state != RUNNING:
            return
        complete = [item for item in chunks.unwrap() if item.record.complete]
        if len(complete) < stored.record.chunks:
            return
        done = attrs.evolve(stored.record, state=COMPLETED)
        changes = Changes().unchanged(stored).put(stored.key, done)
        await self._store.commit(changes.delete(active_key(job_id)))
