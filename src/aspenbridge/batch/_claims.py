"""Claims free chunks of jobs, gives them back and ends jobs."""

from __future__ import annotations

from collections import Counter
from typing import TYPE_CHECKING

import attrs
from returns.result import Failure, Result, Success

from aspenbridge.lifecycle import load_chart
from aspenbridge.membership import CHUNK, owned_key
from aspenbridge.ports import Conflict, RowKey, Unavailable
from aspenbridge.store import Changes

from ._records import (
    QUEUED,
    ChunkRecord,
    JobRecord,
    active_key,
    chunk_key,
    chunk_name,
    job_key,
)

if TYPE_CHECKING:
    from collections.abc import Callable
    from random import Random

    from aspenbridge.membership import Identity
    from aspenbridge.store import Store, Stored

CHART = load_chart("job")
SAMPLE = 16


@attrs.frozen
class Claim:
    """A chunk that this host runs, and the version of its row."""

    job: JobRecord
    chunk: ChunkRecord
    version: int
    own: Identity

    @property
    def key(self) -> RowKey:
        """The row of the chunk."""
        return chunk_key(self.chunk.job_id, self.chunk.number)


class Claims:
    """The transactions on the rows of chunks."""

    def __init__(
        self, identity: Callable[[], Identity], store: Store, random: Random
    ) -> None:
        self._identity = identity
        self._store = store
        self._random = random
        self.counters: Counter[str] = Counter()

    async def active(self) -> Result[tuple[JobRecord, ...], Unavailable]:
        """Return the jobs that have not ended, as they were submitted."""
        scanned = await self._store.scan("active", "", JobRecord)
        return scanned.map(lambda rows: tuple(row.record for row in rows))

    async def claim(self, job_id: str) -> Claim | None:
        """Claim a free chunk of a job; without one, end the job if it can."""
        read = await self._store.get(job_key(job_id), JobRecord)
        job = read.value_or(None)
        if job is None or not job.record.open:
            return None
        number = await self._sampled(job.record)
        if number is None:
            number = await self._scanned(job)
        if number is None:
            return None
        return await self._take(job, number)

    async def finish(self, job_id: str) -> None:
        """End a job if all of its chunks are complete."""
        read = await self._store.get(job_key(job_id), JobRecord)
        job = read.value_or(None)
        if job is None or not job.record.open:
            return
        chunks = await self._store.get_many(self._sample(job.record), ChunkRecord)
        sample = chunks.value_or(())
        if sample and all(item and item.record.complete for item in sample):
            await self._scanned(job)

    async def release(self, claim: Claim) -> bool:
        """Give a chunk back, so that any host may claim it."""
        name = chunk_name(claim.chunk.job_id, claim.chunk.number)
        changes = Changes().check(claim.key, claim.version)
        changes.put(claim.key, attrs.evolve(claim.chunk, owner=""))
        result = await self._store.commit(claim.own.remove_owned(changes, CHUNK, name))
        return isinstance(result, Success)

    async def take_over(self, failed: str, name: str) -> bool:
        """Free a chunk that a fenced incarnation had claimed."""
        key = RowKey("chunks", name)
        read = await self._store.get(key, ChunkRecord)
        if isinstance(read, Failure):
            return False
        stored = read.unwrap()
        changes = Changes().delete(owned_key(failed, CHUNK, name))
        if stored is not None and stored.record.owner == failed:
            freed = attrs.evolve(stored.record, owner="")
            changes.unchanged(stored).put(key, freed)
        result = await self._store.commit(self._identity().guard(changes))
        self.counters["batch.chunks_freed"] += isinstance(result, Success)
        return isinstance(result, Success)

    def _sample(self, job: JobRecord) -> list[RowKey]:
        numbers = self._random.sample(range(job.chunks), min(SAMPLE, job.chunks))
        return [chunk_key(job.job_id, number) for number in numbers]

    async def _sampled(self, job: JobRecord) -> int | None:
        """Return a free chunk from a small sample, read at once."""
        keys = self._sample(job)
        read = await self._store.get_many(keys, ChunkRecord)
        for key, stored in zip(keys, read.value_or(()), strict=False):
            if stored is None or stored.record.free:
                return int(key.key.rpartition("/")[2])
        return None

    async def _scanned(self, job: Stored[JobRecord]) -> int | None:
        """Return a free chunk from all; end the job when all are complete."""
        prefix = f"{job.record.job_id}/"
        scanned = await self._store.scan("chunks", prefix, ChunkRecord)
        if isinstance(scanned, Failure):
            return None
        chunks = {item.record.number: item.record for item in scanned.unwrap()}
        numbers = range(job.record.chunks)
        free = [n for n in numbers if n not in chunks or chunks[n].free]
        if free:
            return self._random.choice(free)
        if all(chunks[number].complete for number in numbers):
            await self._end(job)
        return None

    async def _end(self, job: Stored[JobRecord]) -> None:
        state = job.record.state
        if state == QUEUED:
            state = CHART.next_state(state, "start")
        ended = attrs.evolve(job.record, state=CHART.next_state(state, "finish"))
        changes = Changes().unchanged(job).put(job.key, ended)
        await self._store.commit(changes.delete(active_key(job.record.job_id)))

    async def _take(self, job: Stored[JobRecord], number: int) -> Claim | None:
        own = self._identity()
        key = chunk_key(job.record.job_id, number)
        read = await self._store.get(key, ChunkRecord)
        if isinstance(read, Failure):
            return None
        stored = read.unwrap()
        if stored is not None and not stored.record.free:
            return None
        chunk = _claimed(job.record, number, stored, own.incarnation)
        changes = Changes().unchanged(job).put(key, chunk)
        changes.check(key, stored.version if stored else 0)
        running = job.record
        if running.state == QUEUED:
            running = attrs.evolve(running, state=CHART.next_state(QUEUED, "start"))
            changes.put(job.key, running)
        own.add_owned(changes, CHUNK, key.key)
        result = await self._store.commit(changes)
        if isinstance(result, Success):
            self.counters["batch.claims"] += 1
            return Claim(running, chunk, result.unwrap().versions[key], own)
        if isinstance(result.failure(), Conflict):
            self.counters["batch.claim_conflicts"] += 1
            return None
        return await self._found(running, chunk, own)

    async def _found(
        self, job: JobRecord, chunk: ChunkRecord, own: Identity
    ) -> Claim | None:
        """Look whether a claim that got no answer took effect."""
        key = chunk_key(chunk.job_id, chunk.number)
        read = await self._store.get(key, ChunkRecord)
        stored = read.value_or(None)
        if stored is None or stored.record != chunk:
            return None
        return Claim(job, chunk, stored.version, own)


def _claimed(
    job: JobRecord, number: int, stored: Stored[ChunkRecord] | None, owner: str
) -> ChunkRecord:
    if stored is not None:
        return attrs.evolve(stored.record, owner=owner, claim=stored.record.claim + 1)
    return ChunkRecord(
        job_id=job.job_id,
        number=number,
        owner=owner,
        claim=1,
        items=job.items_in(number),
    )
