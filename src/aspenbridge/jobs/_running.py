"""Tracks the items that run on engines, and stops them when required."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import attrs

from aspenbridge.fleet import items_to_preempt
from aspenbridge.observability import log_decision, metrics

from ._order import preemption_order

if TYPE_CHECKING:
    from aspenbridge.fleet import EngineView, LoadView
    from aspenbridge.ports import Clock

    from ._order import DurationEstimator
    from ._owned import ItemState, OwnedJob


@attrs.frozen(eq=False)
class RunningItem:
    """One run of an item on an engine, and the task that reads its answer."""

    task: asyncio.Task[None]
    job: OwnedJob
    state: ItemState
    engine_id: str

    def log(self, event: str, **details: object) -> None:
        """Log a decision about this run."""
        log_decision(
            event,
            job=self.job.head.id,
            request=self.job.items[self.state.index].id,
            engine=self.engine_id,
            **details,
            last_event=self.state.last_event_id,
        )


class RunningItems:
    """
    The running items of this host.

    Stops them to free slots for online requests, when their job is not run
    here any more, when other hosts claim this host's jobs, and at shutdown.
    """

    def __init__(
        self,
        incarnation: str,
        view: EngineView,
        load_view: LoadView,
        estimator: DurationEstimator,
        clock: Clock,
    ) -> None:
        self._incarnation = incarnation
        self._view = view
        self._load_view = load_view
        self._estimator = estimator
        self._clock = clock
        self._runs: dict[asyncio.Task[None], RunningItem] = {}

    def __bool__(self) -> bool:
        return bool(self._runs)

    def add(self, run: RunningItem) -> None:
        """Track a run that has started."""
        self._runs[run.task] = run

    def remove(self, task: asyncio.Task[None]) -> RunningItem:
        """Stop tracking the run of a task that has ended, and return it."""
        return self._runs.pop(task)

    def stop_job(self, job: OwnedJob) -> None:
        """Stop the running items of a job."""
        for run in self._runs.values():
            if run.job is job:
                run.task.cancel()

    async def stop_all(self) -> None:
        """Stop all items and wait until they have ended."""
        tasks = list(self._runs)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    def release_to_other_hosts(self) -> None:
        """
        Stop all items, without waiting for their end.

        The hosts that claim their jobs would otherwise run them as well.
        """
        for run in self._runs.values():
            if not run.task.cancelling():
                run.log("item left to others")
                run.task.cancel()

    def preempt_excess_items(self) -> None:
        """Stop items on engines that have more requests than slots."""
        if not self._runs:
            return
        overfull = self._view.overfull()
        engine_ids = {run.engine_id for run in self._runs.values()}
        for engine_id in engine_ids & overfull:
            engine = self._view.engine(engine_id)
            if engine is None:
                continue
            count = items_to_preempt(
                engine.slots,
                self._incarnation,
                self._load_view.own_load(engine_id),
                self._load_view.loads_by_host(engine_id),
            )
            if not count:
                continue  # the other hosts stop theirs
            for run in self._preemption_candidates(engine_id)[:count]:
                metrics.ITEM_YIELDS.inc()
                run.log(
                    "item yields",
                    own_online=self._load_view.own_load(engine_id).online,
                    all=self._load_view.load(engine_id).total,
                )
                run.task.cancel()

    def _preemption_candidates(self, engine_id: str) -> list[RunningItem]:
        """Return the runs on an engine in the order of their preemption."""
        runs = [
            run
            for run in self._runs.values()
            if run.engine_id == engine_id and not run.task.cancelling()
        ]
        return preemption_order(runs, self._estimator, self._clock.wall_s())
