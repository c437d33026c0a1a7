"""One claimed chunk on this host: its items and their durable results."""

from __future__ import annotations

import asyncio
from collections import Counter, deque
from typing import TYPE_CHECKING

import attrs
import msgspec
from returns.result import Failure, Success

from aspenbridge.membership import CHUNK
from aspenbridge.ports import Conflict
from aspenbridge.result_codes import ResultCode
from aspenbridge.store import Changes

from ._records import (
    ChunkRecord,
    Item,
    Outcome,
    Segment,
    chunk_name,
    input_name,
    segment_name,
)
from ._segments import describe, read_segment

if TYPE_CHECKING:
    from collections.abc import Callable

    from aspenbridge.ports import Clock, ObjectStore
    from aspenbridge.settings import BatchSettings
    from aspenbridge.store import Store

    from ._claims import Claim
    from ._items import ItemRunner

RETRY_S = 2.0


class ChunkRun:
    """Runs the items of a claim and counts results in segments."""

    def __init__(
        self,
        claim: Claim,
        store: Store,
        objects: ObjectStore,
        items: ItemRunner,
        clock: Clock,
        settings: BatchSettings,
        on_change: Callable[[], None],
        counters: Counter[str],
    ) -> None:
        self.claim = claim
        self.job = claim.job
        self.pending: deque[Item] = deque()
        self._store = store
        self._objects = objects
        self._items = items
        self._clock = clock
        self._settings = settings
        self._on_change = on_change
        self._counters = counters
        self._tasks: set[asyncio.Task[None]] = set()
        self._results: list[Outcome] = []
        self._results_bytes = 0
        self._oldest_s = 0.0
        self._part = 0
        self._progress = asyncio.Event()
        self._loaded = False
        self.stopping = False

    @property
    def waiting(self) -> int:
        """The number of items that have not started."""
        chunk = self.claim.chunk
        return len(self.pending) if self._loaded else chunk.items - chunk.counted

    @property
    def name(self) -> str:
        """The name of the chunk."""
        return chunk_name(self.claim.chunk.job_id, self.claim.chunk.number)

    @property
    def running(self) -> int:
        """The number of items that run."""
        return len(self._tasks)

    async def run(self) -> bool:
        """
        Run the chunk to its end.

        :return: False when another host owns the chunk now, or when it was
            stopped before its end.
        """
        if not await self._load():
            return False
        self._on_change()
        try:
            while not self.claim.chunk.complete:
                await self._wait_for_results()
                if self._results and not await self._flush():
                    return False
                if self.stopping and not self._tasks and not self._results:
                    return False
            return True
        finally:
            await self._cancel_items()

    def start_next(self) -> None:
        """Start the next item."""
        item = self.pending.popleft()
        task = asyncio.ensure_future(self._run_item(item))
        self._tasks.add(task)
        task.add_done_callback(self._item_ended)

    def stop(self) -> None:
        """Start no more items and cancel those that run; keep results."""
        self.stopping = True
        self.pending.clear()
        for task in self._tasks:
            task.cancel()
        self._progress.set()

    async def _run_item(self, item: Item) -> None:
        outcome = await self._items.run(self.job, item)
        if not self._results:
            self._oldest_s = self._clock.now_s()
        self._results.append(outcome)
        self._results_bytes += len(outcome.text) + len(outcome.detail)

    def _item_ended(self, task: asyncio.Task[None]) -> None:
        self._tasks.discard(task)
        if not task.cancelled() and task.exception() is not None:
            self._counters["batch.item_faults"] += 1
            self.stop()
        self._progress.set()
        self._on_change()

    async def _load(self) -> bool:
        """Read the items that have no counted result, through outages."""
        while not self.stopping:
            items = await self._read_items()
            if items is not None:
                self.pending.extend(items)
                self._loaded = True
                return True
            await self._clock.sleep_until(self._clock.now_s() + RETRY_S)
        return False

    async def _read_items(self) -> list[Item] | None:
        chunk = self.claim.chunk
        counted: set[str] = set()
        for segment in chunk.segments:
            read = await read_segment(self._objects, segment)
            if isinstance(read, Failure):
                return None
            counted.update(outcome.custom_id for outcome in read.unwrap())
        body = await self._objects.get(input_name(self.job.file_id, chunk.number))
        if isinstance(body, Failure):
            return None
        found = body.unwrap()
        if found is None:
            return None
        items = msgspec.json.decode(found, type=list[Item])
        return [item for item in items if item.custom_id not in counted]

    async def _wait_for_results(self) -> None:
        """Wait until results are old or large enough, or all are there."""
        while not self._must_flush():
            self._progress.clear()
            timeout_s = None
            if self._results:
                timeout_s = max(0.0, self._flush_s() - self._clock.now_s())
            try:
                async with asyncio.timeout(timeout_s):
                    await self._progress.wait()
            except TimeoutError:
                return

    def _flush_s(self) -> float:
        return self._oldest_s + self._settings.flush_interval_s

    def _must_flush(self) -> bool:
        ended = not self.pending and not self._tasks
        large = self._results_bytes >= self._settings.flush_bytes
        old = bool(self._results) and self._clock.now_s() >= self._flush_s()
        return ended or large or old

    async def _flush(self) -> bool:
        """Count results by one transaction; False when ownership is lost."""
        outcomes, self._results, self._results_bytes = self._results, [], 0
        chunk = self.claim.chunk
        name = segment_name(chunk.job_id, chunk.number, chunk.claim, self._part)
        self._part += 1
        body = msgspec.json.encode(outcomes)
        while isinstance(await self._objects.put(name, body), Failure):
            self._counters["batch.store_retries"] += 1
            await self._clock.sleep_until(self._clock.now_s() + RETRY_S)
        counted = await self._count(describe(name, outcomes))
        if counted:
            self._counters["batch.items_counted"] += len(outcomes)
            failed = sum(item.code != ResultCode.OK for item in outcomes)
            self._counters["batch.items_failed"] += failed
        return counted

    async def _count(self, segment: Segment) -> bool:
        claim = self.claim
        chunk = attrs.evolve(claim.chunk, segments=(*claim.chunk.segments, segment))
        if chunk.complete:
            chunk = attrs.evolve(chunk, owner="")
        changes = Changes().check(claim.key, claim.version).put(claim.key, chunk)
        claim.own.guard(changes)
        if chunk.complete:
            claim.own.remove_owned(changes, CHUNK, self.name)
        while True:
            result = await self._store.commit(changes)
            if isinstance(result, Success):
                version = result.unwrap().versions[claim.key]
                self.claim = attrs.evolve(claim, chunk=chunk, version=version)
                self._counters["batch.segments"] += 1
                return True
            if isinstance(result.failure(), Conflict):
                return await self._was_counted(chunk)
            self._counters["batch.store_retries"] += 1
            await self._clock.sleep_until(self._clock.now_s() + RETRY_S)

    async def _was_counted(self, chunk: ChunkRecord) -> bool:
        """Tell an earlier try that took effect from lost ownership."""
        while True:
            read = await self._store.get(self.claim.key, ChunkRecord)
            if isinstance(read, Success):
                break
            await self._clock.sleep_until(self._clock.now_s() + RETRY_S)
        stored = read.unwrap()
        if stored is None or stored.record != chunk:
            self._counters["batch.late_results"] += 1
            return False
        self.claim = attrs.evolve(self.claim, chunk=chunk, version=stored.version)
        return True

    async def _cancel_items(self) -> None:
        tasks = list(self._tasks)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
