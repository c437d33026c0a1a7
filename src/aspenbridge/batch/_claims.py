"""
Claims and releases chunks of batch jobs, and ends jobs that are complete.

The items of a job are divided into chunks. Each chunk has an owner of its own,
so that several hosts run the chunks of one job.
"""

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
MAX_SAMPLED_CHUNKS = 16


@attrs.frozen
class Claim:
    """
    A chunk that this host has claimed.

    :ivar job: the chunk's job, as it was when the chunk was claimed.
    :ivar chunk: the last row that this host wrote for the chunk.
    :ivar version: the version of that row.
    :ivar identity: the host identity that holds the claim.
    """

    job: JobRecord
    chunk: ChunkRecord
    version: int
    identity: Identity

    @property
    def key(self) -> RowKey:
        """The key of the chunk's row."""
        return chunk_key(self.chunk.job_id, self.chunk.number)


class ChunkClaims:
    """Claims and releases chunks by transactions on their rows."""

    def __init__(
        self, identity: Callable[[], Identity], store: Store, random: Random
    ) -> None:
        self._identity = identity
        self._store = store
        self._random = random
        self.counters: Counter[str] = Counter()

    async def active_jobs(self) -> Result[tuple[JobRecord, ...], Unavailable]:
        """
        Return the jobs that have not ended, as they were submitted.

        The records are written at submission and never updated, so their state
        is always queued.
        """
        scanned = await self._store.scan("active", "", JobRecord)
        return scanned.map(lambda rows: tuple(row.record for row in rows))

    async def claim(self, job_id: str) -> Claim | None:
        """
        Claim a free chunk of a job.

        If all chunks are complete, the job is ended.

        :return: None if no chunk was claimed: the job has ended or has no free
            chunk, another host was faster, or the store was unavailable.
        """
        read = await self._store.get(job_key(job_id), JobRecord)
        job = read.value_or(None)
        if job is None or not job.record.open:
            return None
        number = await self._find_free_in_sample(job.record)
        if number is None:
            number = await self._find_free_or_end_job(job)
        if number is None:
            return None
        return await self._claim_chunk(job, number)

    async def end_if_complete(self, job_id: str) -> None:
        """
        End a job if all of its chunks are complete.

        All chunks are read only if each chunk of a random sample is complete.
        """
        read = await self._store.get(job_key(job_id), JobRecord)
        job = read.value_or(None)
        if job is None or not job.record.open:
            return
        chunks = await self._store.get_many(self._sample_keys(job.record), ChunkRecord)
        sample = chunks.value_or(())
        if sample and all(stored and stored.record.complete for stored in sample):
            await self._find_free_or_end_job(job)

    async def release(self, claim: Claim) -> bool:
        """
        Release a chunk, so that any host can claim it.

        :return: False if the row was not written, for example because this
            host no longer owns the chunk.
        """
        name = chunk_name(claim.chunk.job_id, claim.chunk.number)
        changes = Changes().check(claim.key, claim.version)
        changes.put(claim.key, attrs.evolve(claim.chunk, owner=""))
        result = await self._store.commit(
            claim.identity.remove_owned(changes, CHUNK, name)
        )
        return isinstance(result, Success)

    async def take_over(self, failed: str, name: str) -> bool:
        """
        Release a chunk that a fenced incarnation had claimed.

        This host does not claim the chunk; any host can. The counter
        ``batch.chunks_freed`` also counts a chunk that needed no release
        because that incarnation did not own it.

        :param failed: the fenced incarnation, or this host's own for a chunk
            that no task runs.
        :param name: the name of the chunk.
        :return: False if the release must be tried again.
        """
        key = RowKey("chunks", name)
        read = await self._store.get(key, ChunkRecord)
        if isinstance(read, Failure):
            return False
        stored = read.unwrap()
        changes = Changes().delete(owned_key(failed, CHUNK, name))
        if stored is not None and stored.record.owner == failed:
            released = attrs.evolve(stored.record, owner="")
            changes.unchanged(stored).put(key, released)
        result = await self._store.commit(self._identity().guard(changes))
        self.counters["batch.chunks_freed"] += isinstance(result, Success)
        return isinstance(result, Success)

    def _sample_keys(self, job: JobRecord) -> list[RowKey]:
        numbers = self._random.sample(
            range(job.chunks), min(MAX_SAMPLED_CHUNKS, job.chunks)
        )
        return [chunk_key(job.job_id, number) for number in numbers]

    async def _find_free_in_sample(self, job: JobRecord) -> int | None:
        """Read a random sample of chunks; return the number of a free one."""
        keys = self._sample_keys(job)
        read = await self._store.get_many(keys, ChunkRecord)
        for key, stored in zip(keys, read.value_or(()), strict=False):
            if stored is None or stored.record.claimable:
                return int(key.key.rpartition("/")[2])
        return None

    async def _find_free_or_end_job(self, job: Stored[JobRecord]) -> int | None:
        """
        Read all chunks and return the number of a random free one, or None.

        If all chunks are complete, this method also ends the job.
        """
        prefix = f"{job.record.job_id}/"
        scanned = await self._store.scan("chunks", prefix, ChunkRecord)
        if isinstance(scanned, Failure):
            return None
        chunks = {row.record.number: row.record for row in scanned.unwrap()}
        numbers = range(job.record.chunks)
        free_numbers = [n for n in numbers if n not in chunks or chunks[n].claimable]
        if free_numbers:
            return self._random.choice(free_numbers)
        if all(chunks[number].complete for number in numbers):
            await self._end_job(job)
        return None

    async def _end_job(self, job: Stored[JobRecord]) -> None:
        state = job.record.state
        if state == QUEUED:
            state = CHART.next_state(state, "start")
        ended = attrs.evolve(job.record, state=CHART.next_state(state, "finish"))
        changes = Changes().unchanged(job).put(job.key, ended)
        await self._store.commit(changes.delete(active_key(job.record.job_id)))

    async def _claim_chunk(self, job: Stored[JobRecord], number: int) -> Claim | None:
        identity = self._identity()
        key = chunk_key(job.record.job_id, number)
        read = await self._store.get(key, ChunkRecord)
        if isinstance(read, Failure):
            return None
        stored = read.unwrap()
        if stored is not None and not stored.record.claimable:
            return None
        chunk = _claimed_record(job.record, number, stored, identity.incarnation)
        changes = Changes().unchanged(job).put(key, chunk)
        changes.check(key, stored.version if stored else 0)
        running = job.record
        if running.state == QUEUED:
            running = attrs.evolve(running, state=CHART.next_state(QUEUED, "start"))
            changes.put(job.key, running)
        identity.add_owned(changes, CHUNK, key.key)
        result = await self._store.commit(changes)
        if isinstance(result, Success):
            self.counters["batch.claims"] += 1
            return Claim(running, chunk, result.unwrap().versions[key], identity)
        if isinstance(result.failure(), Conflict):
            self.counters["batch.claim_conflicts"] += 1
            return None
        return await self._read_back_claim(running, chunk, identity)

    async def _read_back_claim(
        self, job: JobRecord, chunk: ChunkRecord, identity: Identity
    ) -> Claim | None:
        """Return the claim if its commit took effect without a reply."""
        key = chunk_key(chunk.job_id, chunk.number)
        read = await self._store.get(key, ChunkRecord)
        stored = read.value_or(None)
        if stored is None or stored.record != chunk:
            return None
        return Claim(job, chunk, stored.version, identity)


def _claimed_record(
    job: JobRecord, number: int, stored: Stored[ChunkRecord] | None, owner: str
) -> ChunkRecord:
    """
    Return the row of a chunk with a new owner.

    Its ``claim`` is the number of this claim among all claims of the chunk.
    """
    if stored is not None:
        return attrs.evolve(stored.record, owner=owner, claim=stored.record.claim + 1)
    return ChunkRecord(
        job_id=job.job_id,
        number=number,
        owner=owner,
        claim=1,
        items=job.items_in(number),
    )
