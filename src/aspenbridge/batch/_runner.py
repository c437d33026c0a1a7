"""One host's part in the batch work of the fleet."""

from __future__ import annotations

import asyncio
import logging
from collections import Counter
from typing import TYPE_CHECKING

from returns.result import Failure

from ._chunk_run import ChunkRun
from ._claims import Claims
from ._items import ItemRunner
from ._records import JobRecord, job_key

if TYPE_CHECKING:
    from collections.abc import Callable
    from random import Random

    from aspenbridge.membership import Identity
    from aspenbridge.online import Generator
    from aspenbridge.ports import Clock, ObjectStore
    from aspenbridge.settings import BatchSettings
    from aspenbridge.store import Store

    from ._claims import Claim

logger = logging.getLogger(__name__)
CHUNKS_AT_ONCE = 16
SHORTEST_POLL_S = 1.0
POLLS_PER_S = 40.0
CANCEL_CHECK_S = 5.0


class BatchRunner:
    """Claims chunks, and shares this host's places between customers."""

    def __init__(
        self,
        identity: Callable[[], Identity],
        store: Store,
        objects: ObjectStore,
        generator: Generator,
        clock: Clock,
        random: Random,
        settings: BatchSettings,
        hosts: Callable[[], int] = lambda: 1,
    ) -> None:
        self._store = store
        self._objects = objects
        self._clock = clock
        self._random = random
        self._settings = settings
        self._hosts = hosts
        self._items = ItemRunner(generator, clock, random, settings)
        self.claims = Claims(identity, store, random)
        self._runs: dict[str, ChunkRun] = {}
        self._tasks: dict[str, asyncio.Task[None]] = {}
        self._wake = asyncio.Event()
        self._draining = False
        self._claimed = False
        self._polled_s = clock.now_s()
        self._wake.set()
        self.counters: Counter[str] = Counter()

    @property
    def poll_interval_s(self) -> float:
        """Time between reads of the active jobs; it grows with the fleet."""
        return max(SHORTEST_POLL_S, self._hosts() / POLLS_PER_S)

    def wake(self) -> None:
        """Look for work now."""
        self._wake.set()

    def runs(self, name: str) -> bool:
        """Return whether a chunk runs on this host."""
        return name in self._runs

    async def take_over(self, failed: str, name: str) -> bool:
        """Free a chunk that a fenced incarnation had claimed."""
        freed = await self.claims.take_over(failed, name)
        self.wake()
        return freed

    async def run(self, may_claim: Callable[[], bool]) -> None:
        """Claim and run chunks for as long as the host lives."""
        while True:
            due = self._wake.is_set() or self._is_poll_due()
            self._wake.clear()
            if due and may_claim() and not self._draining:
                self._polled_s = self._clock.now_s()
                self._claimed = await self._claim_chunks()
            try:
                async with asyncio.timeout(SHORTEST_POLL_S):
                    await self._wake.wait()
            except TimeoutError:
                continue

    def _is_poll_due(self) -> bool:
        """Poll soon while items run short and there was work; else rarely."""
        if self._claimed and self._waiting() < self._settings.concurrency:
            return True
        pause_s = self.poll_interval_s * self._random.uniform(0.9, 1.1)
        return self._clock.now_s() >= self._polled_s + pause_s

    def _waiting(self) -> int:
        return sum(run.waiting for run in self._runs.values())

    async def check_cancelled(self) -> None:
        """Stop chunks whose job was cancelled, should no notice have come."""
        names = sorted({run.job.job_id for run in self._runs.values()})
        if not names:
            return
        keys = [job_key(name) for name in names]
        read = await self._store.get_many(keys, JobRecord)
        for name, stored in zip(names, read.value_or(()), strict=False):
            if stored is None or not stored.record.open:
                self.cancel(name)

    def cancel(self, job_id: str) -> None:
        """Stop the chunks of a cancelled job on this host."""
        for run in self._runs.values():
            if run.job.job_id == job_id:
                run.stop()

    async def drop(self) -> None:
        """Stop everything at once; the chunks belong to other hosts now."""
        tasks = list(self._tasks.values())
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    async def aclose(self) -> None:
        """Stop everything for good."""
        self._draining = True
        await self.drop()

    async def drain(self, deadline_s: float) -> None:
        """Keep what is done and give the rest of each chunk back."""
        self._draining = True
        for run in self._runs.values():
            run.stop()
        tasks = list(self._tasks.values())
        if tasks:
            left_s = max(0.0, deadline_s - self._clock.now_s())
            await asyncio.wait(tasks, timeout=left_s)

    async def _claim_chunks(self) -> bool:
        """Claim what this host wants; return whether it got a chunk."""
        active = await self.claims.active()
        if isinstance(active, Failure):
            return False
        claimed = False
        jobs = list(active.unwrap())
        self._random.shuffle(jobs)
        while jobs and len(self._runs) < CHUNKS_AT_ONCE:
            job = min(jobs, key=self._order)
            if not self._wants(job.customer):
                jobs = [item for item in jobs if item.customer != job.customer]
                continue
            claim = await self.claims.claim(job.job_id)
            if claim is None:
                jobs.remove(job)
                continue
            self._start(self._chunk_run(claim))
            claimed = True
        return claimed

    def _chunk_run(self, claim: Claim) -> ChunkRun:
        return ChunkRun(
            claim,
            self._store,
            self._objects,
            self._items,
            self._clock,
            self._settings,
            self._dispatch,
            self.counters,
        )

    def _order(self, job: JobRecord) -> tuple[int, float]:
        return self._load_of(job.customer), job.due_wall_s

    def _load_of(self, customer: str) -> int:
        """Return the items of a customer that wait or run here."""
        runs = [run for run in self._runs.values() if run.job.customer == customer]
        return sum(run.claim.chunk.items - run.claim.chunk.counted for run in runs)

    def _wants(self, customer: str) -> bool:
        """Claim while items run short, and for each customer without one."""
        short = self._waiting() < self._settings.concurrency
        return short or not self._load_of(customer)

    def _start(self, run: ChunkRun) -> None:
        name = run.name
        self._runs[name] = run
        task = asyncio.ensure_future(self._run_chunk(run))
        self._tasks[name] = task
        task.add_done_callback(lambda _: self._ended(run))

    async def _run_chunk(self, run: ChunkRun) -> None:
        try:
            complete = await run.run()
        except Exception:
            self.counters["batch.chunk_faults"] += 1
            logger.exception("chunk %s failed", run.name)
            complete = False
        if complete:
            await self.claims.finish(run.job.job_id)
        else:
            await self.claims.release(run.claim)

    def _ended(self, run: ChunkRun) -> None:
        if self._runs.get(run.name) is run:
            del self._runs[run.name], self._tasks[run.name]
        self.wake()

    def _dispatch(self) -> None:
        """Fill free places, the customer with the fewest running first."""
        while not self._draining and self._running() < self._settings.concurrency:
            waiting = [run for run in self._runs.values() if run.pending]
            if not waiting:
                return
            running: Counter[str] = Counter()
            for run in self._runs.values():
                running[run.job.customer] += run.running
            chosen = min(
                waiting,
                key=lambda run: (running[run.job.customer], run.job.due_wall_s),
            )
            chosen.start_next()

    def _running(self) -> int:
        return sum(run.running for run in self._runs.values())
