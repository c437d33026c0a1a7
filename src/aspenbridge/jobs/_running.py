"""The items that run on engines now, and when they are stopped."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import attrs

from aspenbridge.fleet import items_to_preempt
from aspenbridge.observability import log_decision, metrics

from ._order import leaving_order

if TYPE_CHECKING:
    from aspenbridge.fleet import EngineView, LoadView
    from aspenbridge.ports import Clock

    from ._order import Pace
    from ._owned import ItemState, OwnedJob


@attrs.frozen(eq=False)
class RunningItem:
    """One run of an item on an engine."""

    task: asyncio.Task[None]
    job: OwnedJob
    state: ItemState
    engine_id: str

    def log(self, what: str, **inputs: object) -> None:
        """Log a decision on this run."""
        log_decision(
            what,
            job=self.job.head.id,
            request=self.job.items[self.state.index].id,
            engine=self.engine_id,
            **inputs,
            last_event=self.state.last_event_id,
        )


class RunningItems:
    """Stops runs where online work, a loss or a shutdown asks for it."""

    def __init__(
        self,
        incarnation: str,
        view: EngineView,
        load_view: LoadView,
        pace: Pace,
        clock: Clock,
    ) -> None:
        self._incarnation = incarnation
        self._view = view
        self._load_view = load_view
        self._pace = pace
        self._clock = clock
        self._runs: dict[asyncio.Task[None], RunningItem] = {}

    def add(self, run: RunningItem) -> None:
        """Take in a run that has begun."""
        self._runs[run.task] = run

    def remove(self, task: asyncio.Task[None]) -> RunningItem:
        """Return the run of a task that has ended and forget it."""
        return self._runs.pop(task)

    def stop_job(self, job: OwnedJob) -> None:
        """Stop the items of a job that is not run here any more."""
        for run in self._runs.values():
            if run.job is job:
                run.task.cancel()

    async def stop_all(self) -> None:
        """Stop all items and wait until they have ended."""
        tasks = list(self._runs)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    def leave_to_others(self) -> None:
        """Stop all items: the host that claims their jobs runs them too."""
        for run in self._runs.values():
            if not run.task.cancelling():
                run.log("item left to others")
                run.task.cancel()

    def give_places_back(self) -> None:
        """Stop items on engines that have more requests than places."""
        for engine_id in {run.engine_id for run in self._runs.values()}:
            engine = self._view.engine(engine_id)
            if engine is None:
                continue
            count = items_to_preempt(
                engine.slots,
                self._incarnation,
                self._load_view.own_load(engine_id),
                self._load_view.loads_by_host(engine_id),
            )
            for run in self._leaving(engine_id)[:count]:
                metrics.ITEM_YIELDS.inc()
                run.log(
                    "item yields",
                    own_online=self._load_view.own_load(engine_id).online,
                    all=self._load_view.load(engine_id).total,
                )
                run.task.cancel()

    def _leaving(self, engine_id: str) -> list[RunningItem]:
        """Return the runs on an engine in the order in which they leave it."""
        runs = [
            run
            for run in self._runs.values()
            if run.engine_id == engine_id and not run.task.cancelling()
        ]
        return leaving_order(runs, self._pace, self._clock.wall_s())
