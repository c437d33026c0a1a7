"""Claims chunks of batch jobs and runs them on this host."""

from __future__ import annotations

import asyncio
import logging
from collections import Counter
from typing import TYPE_CHECKING

from returns.result import Failure

from ._chunk_run import ChunkRun
from ._claims import ChunkClaims
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
MAX_CONCURRENT_CHUNKS = 16
MIN_POLL_INTERVAL_S = 1.0
# Limit on the reads of the active jobs by all hosts of the fleet together.
FLEET_POLLS_PER_S = 40.0
CANCEL_CHECK_S = 5.0


class BatchRunner:
    """
    Claims chunks and divides this host's concurrency between customers.

    :param host_count: returns the number of live hosts, this one included.
    """

    def __init__(
        self,
        identity: Callable[[], Identity],
        store: Store,
        objects: ObjectStore,
        generator: Generator,
        clock: Clock,
        random: Random,
        settings: BatchSettings,
        host_count: Callable[[], int] = lambda: 1,
    ) -> None:
        self._store = store
        self._objects = objects
        self._clock = clock
        self._random = random
        self._settings = settings
        self._host_count = host_count
        self._item_runner = ItemRunner(generator, clock, random, settings)
        self.claims = ChunkClaims(identity, store, random)
        self._runs: dict[str, ChunkRun] = {}
        self._tasks: dict[str, asyncio.Task[None]] = {}
        self._work_available = asyncio.Event()
        self._draining = False
        self._last_poll_claimed = False
        self._last_poll_s = clock.now_s()
        self._work_available.set()
        self.counters: Counter[str] = Counter()

    @property
    def poll_interval_s(self) -> float:
        """Time between reads of the active jobs; it grows with the fleet."""
        return max(MIN_POLL_INTERVAL_S, self._host_count() / FLEET_POLLS_PER_S)

    def wake(self) -> None:
        """Look for chunks to claim now."""
        self._work_available.set()

    def is_running(self, name: str) -> bool:
        """Return whether the named chunk runs on this host."""
        return name in self._runs

    async def take_over(self, failed: str, name: str) -> bool:
        """
        Release a chunk that a fenced incarnation had claimed.

        :param failed: the fenced incarnation, or this host's own for a chunk
            that no task runs.
        :return: False if the release must be tried again.
        """
        released = await self.claims.take_over(failed, name)
        self.wake()
        return released

    async def run(self, may_claim: Callable[[], bool]) -> None:
        """
        Claim and run chunks until cancelled.

        :param may_claim: whether this host may claim chunks now.
        """
        while True:
            due = self._work_available.is_set() or self._is_poll_due()
            self._work_available.clear()
            if due and may_claim() and not self._draining:
                self._last_poll_s = self._clock.now_s()
                self._last_poll_claimed = await self._claim_chunks()
            try:
                async with asyncio.timeout(MIN_POLL_INTERVAL_S):
                    await self._work_available.wait()
            except TimeoutError:
                continue

    def _is_poll_due(self) -> bool:
        """
        Return whether to read the active jobs now.

        They are read in each turn of ``run`` if the last read led to a claim
        and fewer than ``concurrency`` items wait, otherwise after the poll
        interval, which is varied at random.
        """
        if (
            self._last_poll_claimed
            and self._waiting_items() < self._settings.concurrency
        ):
            return True
        pause_s = self.poll_interval_s * self._random.uniform(0.9, 1.1)
        return self._clock.now_s() >= self._last_poll_s + pause_s

    def _waiting_items(self) -> int:
        return sum(run.waiting_items for run in self._runs.values())

    async def check_cancelled(self) -> None:
        """Stop chunks whose job has ended, in case no cancel notice came."""
        job_ids = sorted({run.job.job_id for run in self._runs.values()})
        if not job_ids:
            return
        keys = [job_key(job_id) for job_id in job_ids]
        read = await self._store.get_many(keys, JobRecord)
        for job_id, stored in zip(job_ids, read.value_or(()), strict=False):
            if stored is None or not stored.record.open:
                self.cancel(job_id)

    def cancel(self, job_id: str) -> None:
        """Stop the chunks of a cancelled job that run on this host."""
        for run in self._runs.values():
            if run.job.job_id == job_id:
                run.stop()

    async def cancel_all(self) -> None:
        """Cancel all chunks at once, for a host that no longer owns them."""
        tasks = list(self._tasks.values())
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    async def aclose(self) -> None:
        """Cancel all chunks; claim no more and start no more items."""
        self._draining = True
        await self.cancel_all()

    async def drain(self, deadline_s: float) -> None:
        """
        Stop all chunks: store their results and release the incomplete chunks.

        :param deadline_s: when to stop waiting, on the monotonic clock.
        """
        self._draining = True
        for run in self._runs.values():
            run.stop()
        tasks = list(self._tasks.values())
        if tasks:
            remaining_s = max(0.0, deadline_s - self._clock.now_s())
            await asyncio.wait(tasks, timeout=remaining_s)

    async def _claim_chunks(self) -> bool:
        """Claim chunks to run on this host; return whether any was claimed."""
        active = await self.claims.active_jobs()
        if isinstance(active, Failure):
            return False
        claimed = False
        jobs = list(active.unwrap())
        self._random.shuffle(jobs)
        while jobs and len(self._runs) < MAX_CONCURRENT_CHUNKS:
            job = min(jobs, key=self._claim_order)
            if not self._should_claim_for(job.customer):
                jobs = [other for other in jobs if other.customer != job.customer]
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
            self._item_runner,
            self._clock,
            self._settings,
            self._dispatch,
            self.counters,
        )

    def _claim_order(self, job: JobRecord) -> tuple[int, float]:
        """Sort by the customer's open items on this host, then by due time."""
        return self._open_items_of(job.customer), job.due_wall_s

    def _open_items_of(self, customer: str) -> int:
        """Return how many items of a customer here have no counted result."""
        runs = [run for run in self._runs.values() if run.job.customer == customer]
        return sum(
            run.claim.chunk.items - run.claim.chunk.counted_items for run in runs
        )

    def _should_claim_for(self, customer: str) -> bool:
        """
        Return whether to claim a chunk for a customer.

        It is claimed if fewer than ``concurrency`` items wait, or if the
        customer has no open items on this host.
        """
        too_few_waiting = self._waiting_items() < self._settings.concurrency
        return too_few_waiting or not self._open_items_of(customer)

    def _start(self, run: ChunkRun) -> None:
        name = run.name
        self._runs[name] = run
        task = asyncio.ensure_future(self._run_chunk(run))
        self._tasks[name] = task
        task.add_done_callback(lambda _: self._on_chunk_done(run))

    async def _run_chunk(self, run: ChunkRun) -> None:
        try:
            complete = await run.run()
        except Exception:
            self.counters["batch.chunk_faults"] += 1
            logger.exception("chunk %s failed", run.name)
            complete = False
        if complete:
            await self.claims.end_if_complete(run.job.job_id)
        else:
            await self.claims.release(run.claim)

    def _on_chunk_done(self, run: ChunkRun) -> None:
        if self._runs.get(run.name) is run:
            del self._runs[run.name], self._tasks[run.name]
        self.wake()

    def _dispatch(self) -> None:
        """
        Start pending items while fewer than ``concurrency`` items run.

        The customer with the fewest running items is first, then the job that
        is due first.
        """
        while not self._draining and self._running_items() < self._settings.concurrency:
            runs_with_pending = [run for run in self._runs.values() if run.pending]
            if not runs_with_pending:
                return
            running_by_customer: Counter[str] = Counter()
            for run in self._runs.values():
                running_by_customer[run.job.customer] += run.running_items
            next_run = min(
                runs_with_pending,
                key=lambda run: (
                    running_by_customer[run.job.customer],
                    run.job.due_wall_s,
                ),
            )
            next_run.start_next()

    def _running_items(self) -> int:
        return sum(run.running_items for run in self._runs.values())
