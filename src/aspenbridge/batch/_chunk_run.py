"""Runs one claimed chunk on this host and stores the results of its items."""

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
from ._segments import read_segment, summarize_segment

if TYPE_CHECKING:
    from collections.abc import Callable

    from aspenbridge.ports import Clock, ObjectStore
    from aspenbridge.settings import BatchSettings
    from aspenbridge.store import Store

    from ._claims import Claim
    from ._items import ItemRunner

RETRY_INTERVAL_S = 2.0


class ChunkRun:
    """
    Runs the items of a claimed chunk and stores their results in segments.

    A segment is one object with the results of some items. A result counts
    once the chunk's row lists its segment.

    :param on_change: called after the items were loaded and each time that an
        item has ended.
    :ivar pending: the items that have not started.
    :ivar stopping: whether no more items are started.
    """

    def __init__(
        self,
        claim: Claim,
        store: Store,
        objects: ObjectStore,
        item_runner: ItemRunner,
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
        self._item_runner = item_runner
        self._clock = clock
        self._settings = settings
        self._on_change = on_change
        self._counters = counters
        self._tasks: set[asyncio.Task[None]] = set()
        self._unflushed_results: list[Outcome] = []
        self._unflushed_chars = 0
        self._oldest_result_s = 0.0
        self._next_part = 0
        self._state_changed = asyncio.Event()
        self._items_loaded = False
        self.stopping = False

    @property
    def waiting_items(self) -> int:
        """
        The number of items that have not started.

        Until the items are loaded, it is the number without a counted result.
        """
        chunk = self.claim.chunk
        return (
            len(self.pending)
            if self._items_loaded
            else chunk.items - chunk.counted_items
        )

    @property
    def name(self) -> str:
        """The name of the chunk, which is the key of its row."""
        return chunk_name(self.claim.chunk.job_id, self.claim.chunk.number)

    @property
    def running_items(self) -> int:
        """The number of items that are running."""
        return len(self._tasks)

    async def run(self) -> bool:
        """
        Run the chunk until every item has a counted result.

        :return: False if another host owns the chunk now, or if the run was
            stopped before the chunk was complete.
        """
        if not await self._load_items():
            return False
        self._on_change()
        try:
            while not self.claim.chunk.complete:
                await self._wait_for_results()
                if self._unflushed_results and not await self._flush():
                    return False
                if self.stopping and not self._tasks and not self._unflushed_results:
                    return False
            return True
        finally:
            await self._cancel_items()

    def start_next(self) -> None:
        """Start the first pending item."""
        item = self.pending.popleft()
        task = asyncio.ensure_future(self._run_item(item))
        self._tasks.add(task)
        task.add_done_callback(self._on_item_done)

    def stop(self) -> None:
        """
        Start no more items and cancel running ones.

        ``run`` then stores the results of the items that have ended.
        """
        self.stopping = True
        self.pending.clear()
        for task in self._tasks:
            task.cancel()
        self._state_changed.set()

    async def _run_item(self, item: Item) -> None:
        outcome = await self._item_runner.run(self.job, item)
        if not self._unflushed_results:
            self._oldest_result_s = self._clock.now_s()
        self._unflushed_results.append(outcome)
        self._unflushed_chars += len(outcome.text) + len(outcome.detail)

    def _on_item_done(self, task: asyncio.Task[None]) -> None:
        self._tasks.discard(task)
        if not task.cancelled() and task.exception() is not None:
            self._counters["batch.item_faults"] += 1
            self.stop()
        self._state_changed.set()
        self._on_change()

    async def _load_items(self) -> bool:
        """
        Load the items that have no counted result; retry during outages.

        :return: False if the run was stopped before the items were loaded.
        """
        while not self.stopping:
            items = await self._read_items()
            if items is not None:
                self.pending.extend(items)
                self._items_loaded = True
                return True
            await self._clock.sleep_until(self._clock.now_s() + RETRY_INTERVAL_S)
        return False

    async def _read_items(self) -> list[Item] | None:
        chunk = self.claim.chunk
        counted_ids: set[str] = set()
        for segment in chunk.segments:
            read = await read_segment(self._objects, segment)
            if isinstance(read, Failure):
                return None
            counted_ids.update(outcome.custom_id for outcome in read.unwrap())
        read_input = await self._objects.get(input_name(self.job.file_id, chunk.number))
        if isinstance(read_input, Failure):
            return None
        body = read_input.unwrap()
        if body is None:
            return None
        items = msgspec.json.decode(body, type=list[Item])
        return [item for item in items if item.custom_id not in counted_ids]

    async def _wait_for_results(self) -> None:
        """
        Wait until results must be stored.

        That is when the oldest result has waited for the flush interval, when
        the results have at least ``flush_bytes`` characters of text, or when
        no item is pending or runs.
        """
        while not self._is_flush_due():
            self._state_changed.clear()
            timeout_s = None
            if self._unflushed_results:
                timeout_s = max(0.0, self._flush_due_s() - self._clock.now_s())
            try:
                async with asyncio.timeout(timeout_s):
                    await self._state_changed.wait()
            except TimeoutError:
                return

    def _flush_due_s(self) -> float:
        return self._oldest_result_s + self._settings.flush_interval_s

    def _is_flush_due(self) -> bool:
        all_done = not self.pending and not self._tasks
        size_reached = self._unflushed_chars >= self._settings.flush_bytes
        interval_passed = (
            bool(self._unflushed_results) and self._clock.now_s() >= self._flush_due_s()
        )
        return all_done or size_reached or interval_passed

    async def _flush(self) -> bool:
        """
        Store results as a segment and list it in the chunk's row.

        :return: False if this host no longer owns the chunk; the results then
            don't count.
        """
        outcomes, self._unflushed_results, self._unflushed_chars = (
            self._unflushed_results,
            [],
            0,
        )
        chunk = self.claim.chunk
        name = segment_name(chunk.job_id, chunk.number, chunk.claim, self._next_part)
        self._next_part += 1
        body = msgspec.json.encode(outcomes)
        while isinstance(await self._objects.put(name, body), Failure):
            self._counters["batch.store_retries"] += 1
            await self._clock.sleep_until(self._clock.now_s() + RETRY_INTERVAL_S)
        committed = await self._commit_segment(summarize_segment(name, outcomes))
        if committed:
            self._counters["batch.items_counted"] += len(outcomes)
            failed = sum(outcome.code != ResultCode.OK for outcome in outcomes)
            self._counters["batch.items_failed"] += failed
        return committed

    async def _commit_segment(self, segment: Segment) -> bool:
        """Add a segment to the chunk's row; release a complete chunk."""
        claim = self.claim
        chunk = attrs.evolve(claim.chunk, segments=(*claim.chunk.segments, segment))
        if chunk.complete:
            chunk = attrs.evolve(chunk, owner="")
        changes = Changes().check(claim.key, claim.version).put(claim.key, chunk)
        claim.identity.guard(changes)
        if chunk.complete:
            claim.identity.remove_owned(changes, CHUNK, self.name)
        while True:
            result = await self._store.commit(changes)
            if isinstance(result, Success):
                version = result.unwrap().versions[claim.key]
                self.claim = attrs.evolve(claim, chunk=chunk, version=version)
                self._counters["batch.segments"] += 1
                return True
            if isinstance(result.failure(), Conflict):
                return await self._confirm_commit(chunk)
            self._counters["batch.store_retries"] += 1
            await self._clock.sleep_until(self._clock.now_s() + RETRY_INTERVAL_S)

    async def _confirm_commit(self, chunk: ChunkRecord) -> bool:
        """
        Check whether the row was written despite a conflict; retry the read.

        An earlier attempt whose reply was lost may have written it; the claim
        then gets the row that was written.

        :return: False if the row differs: this host no longer owns the chunk.
        """
        while True:
            read = await self._store.get(self.claim.key, ChunkRecord)
            if isinstance(read, Success):
                break
            await self._clock.sleep_until(self._clock.now_s() + RETRY_INTERVAL_S)
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
