"""Runs the batch jobs that this host owns."""

from __future__ import annotations

import asyncio
import logging
from typing import TYPE_CHECKING

from aspenbridge.observability import log_decision, metrics
from aspenbridge.ports import CallOutcome

from ._item_run import ItemOutcome, ItemRun, run_item
from ._order import Pace, ready_items
from ._owned import OwnedJob
from ._progress_saver import ProgressSaves
from ._records import JobState
from ._result_lister import Listings
from ._running import RunningItem, RunningItems
from ._slots import Turns

if TYPE_CHECKING:
    from collections.abc import Callable
    from random import Random

    from aspenbridge.fleet import (
        Configuration,
        Contact,
        EngineEntry,
        EngineHealth,
        EngineView,
        LoadBoard,
        Route,
    )
    from aspenbridge.ports import Clock, EngineCaller
    from aspenbridge.store import Stored

    from ._directory import JobDirectory
    from ._messages import SubmittedItem
    from ._owned import ItemState
    from ._records import JobHead
    from ._repository import JobRepository

logger = logging.getLogger(__name__)
DISPATCH_INTERVAL_S = 0.25  # also without news, for items that were paused
EXPIRY_SLACK_S = 3.0  # more than the clocks of two hosts differ by


class JobWorker:
    """Gives items of owned jobs to engines and has their results listed."""

    def __init__(
        self,
        incarnation: str,
        contact: Contact,
        directory: JobDirectory,
        ledger: JobRepository,
        view: EngineView,
        board: LoadBoard,
        health: EngineHealth,
        caller: EngineCaller,
        clock: Clock,
        random: Random,
        configuration: Callable[[], Configuration | None],
    ) -> None:
        self._incarnation = incarnation
        self._contact = contact
        self._directory = directory
        self._ledger = ledger
        self._board = board
        self._health = health
        self._caller = caller
        self._clock = clock
        self._random = random
        self._configuration = configuration
        self._jobs: dict[str, OwnedJob] = {}
        self._listings = Listings(ledger, self._jobs)
        self._saves = ProgressSaves(ledger, self._jobs, clock)
        self._wake = asyncio.Event()
        self._pace = Pace()
        self._running = RunningItems(incarnation, view, board, self._pace, clock)
        self._turns = Turns(incarnation, view, board, self._pace, clock)
        self._stopping = False

    def wake(self) -> None:
        """Look for items to start, or to stop, soon."""
        self._wake.set()

    def items(self, job_id: str) -> tuple[SubmittedItem, ...] | None:
        """Return the items of a job that is run here."""
        job = self._jobs.get(job_id)
        return None if job is None else job.items

    def owns(self, job_id: str) -> bool:
        """Whether the job is run here."""
        return job_id in self._jobs

    def adopt(
        self, stored: Stored[JobHead], items: tuple[SubmittedItem, ...]
    ) -> OwnedJob:
        """
        Run a job whose head names this host as its owner.

        A job that is run already goes on: the answer to its submission may
        come after this host has found and claimed it.
        """
        known = self._jobs.get(stored.record.id)
        if known is not None:
            if known.stored.version < stored.version:
                known.adopt(stored)
            return known
        job = OwnedJob(stored, items)
        self._jobs[stored.record.id] = job
        self.wake()
        return job

    def head_changed(self, job_id: str) -> None:
        """Drop a job that has ended or that another host runs now."""
        job = self._jobs.get(job_id)
        stored = self._directory.get(job_id)
        if job is None or stored is None:
            return  # a table that was read before the job was accepted lacks it
        if stored.version == job.stored.version or self._still_mine(stored.record):
            return
        log_decision(
            "job dropped",
            job=job_id,
            owner=stored.record.owner,
            state=stored.record.state.value,
        )
        self._drop(job)

    def _still_mine(self, head: JobHead) -> bool:
        return head.state is JobState.OPEN and head.owner == self._incarnation

    def _drop(self, job: OwnedJob) -> None:
        self._jobs.pop(job.head.id, None)
        self._running.stop_job(job)

    async def run(self) -> None:
        """Start and stop items until cancelled."""
        while True:
            self._wake.clear()
            if self._contact.replaced:
                self._running.leave_to_others()
            self._running.give_places_back()
            if self._start_items():
                self._turns.wait_for_reports()
            pause_s = self._turns.pause_s
            try:
                async with asyncio.timeout(
                    pause_s if pause_s > 0 else DISPATCH_INTERVAL_S
                ):
                    await self._wake.wait()
            except TimeoutError:
                continue

    async def save_progress(self) -> None:
        """Save what the items have generated until cancelled."""
        await self._saves.run()

    async def hand_over(self, deadline_s: float) -> None:
        """Stop all items; leave the jobs and their progress to others."""
        self._stopping = True
        await self._running.stop_all()
        await self._listings.wait()
        for job in list(self._jobs.values()):
            released = await self._ledger.release(job, deadline_s)
            log_decision("job handed over", job=job.head.id, released=released)
        self._jobs.clear()

    def _start_items(self) -> bool:
        """Start items on the places dealt to this host; tell if any did."""
        configuration = self._configuration()
        if self._stopping or self._contact.replaced or configuration is None:
            return False
        waiting = self._waiting(configuration)
        self._turns.note(waiting)
        if not waiting or not self._turns.announced(len(waiting)):
            return False
        places = self._turns.places()
        left = []
        for job, state, route in waiting:
            service = route.pick_service(self._random)
            engine = self._turns.take(places, service) if places else None
            if engine is None:
                left.append((job, state, route))
            else:
                self._start(job, state, route, engine)
        if len(left) == len(waiting):
            return False
        self._turns.note(left)
        return True

    def _waiting(
        self, configuration: Configuration
    ) -> list[tuple[OwnedJob, ItemState, Route]]:
        """Return the items that may be tried now, in their order."""
        waiting = []
        now_s, wall_s = self._clock.now_s(), self._clock.wall_s()
        for job, state in ready_items(self._jobs.values(), self._pace, now_s, wall_s):
            path = job.items[state.index].target.partition("?")[0]
            route = configuration.route_for(job.head.host, path)
            if route is None:
                self._give_up(job, state, "its route is gone")
            elif self._clock.wall_s() > job.head.expires_wall_s + EXPIRY_SLACK_S:
                self._give_up(job, state, "it has expired")
            else:
                waiting.append((job, state, route))
        return waiting

    def _give_up(self, job: OwnedJob, state: ItemState, reason: str) -> None:
        job.start(state)
        self._finish(job, state, None, reason)

    def _start(
        self, job: OwnedJob, state: ItemState, route: Route, engine: EngineEntry
    ) -> None:
        job.start(state)
        self._board.add(engine.id, batch=1)
        load = self._board.load(engine.id)
        task = asyncio.create_task(self._run_item(job, state, route, engine))
        run = RunningItem(task, job, state, engine.id)
        run.log("item starts", online=load.online, batch=load.batch)
        self._running.add(run)
        task.add_done_callback(self._ended)

    def _ended(self, task: asyncio.Task[None]) -> None:
        run = self._running.remove(task)
        job, state = run.job, run.state
        self._board.add(run.engine_id, batch=-1)
        if state.index in job.running:  # the run was cancelled
            job.requeue(state)
            state.pause(self._clock.now_s())
        if not task.cancelled() and (error := task.exception()) is not None:
            logger.error("run of an item failed", exc_info=error)
        self.wake()

    async def _run_item(
        self, job: OwnedJob, state: ItemState, route: Route, engine: EngineEntry
    ) -> None:
        item = job.items[state.index]
        started_s, events_before = self._clock.now_s(), len(state.events)
        left_s = job.head.expires_wall_s - self._clock.wall_s()
        run = await run_item(
            self._caller,
            self._clock,
            engine,
            job.head.host,
            item,
            state,
            self._clock.now_s() + left_s,
        )
        metrics.ITEM_RUNS.labels(run.outcome.value).inc()
        log_decision(
            "item run",
            job=job.head.id,
            request=item.id,
            engine=engine.id,
            outcome=run.outcome.value,
            reason=run.reason,
            last_event=state.last_event_id,
        )
        self._judge_engine(engine, run)
        if run.outcome is ItemOutcome.COMPLETE:
            events = len(state.events)
            run_s = self._clock.now_s() - started_s
            self._pace.note(events, events - events_before, run_s)
            self._finish(job, state, "\n".join(state.events), "")
        elif run.outcome is ItemOutcome.IMPOSSIBLE:
            self._finish(job, state, None, run.reason)
        else:
            self._judge_item(job, state, route, run)

    def _judge_engine(self, engine: EngineEntry, run: ItemRun) -> None:
        if run.call_outcome is CallOutcome.NOT_SENT:
            self._health.unreachable(engine.id)
        elif run.call_outcome is CallOutcome.REFUSED:
            self._health.full(engine.id)
        elif run.call_outcome is None:
            self._health.answered(engine.id)

    def _judge_item(
        self, job: OwnedJob, state: ItemState, route: Route, run: ItemRun
    ) -> None:
        if run.outcome is ItemOutcome.FAILED:
            state.failures += 1
            if state.failures >= route.max_engines:
                self._finish(job, state, None, run.reason)
                return
        job.requeue(state)
        grown = len(state.events) > state.events_at_pause
        state.breaks = 0 if grown else state.breaks + 1
        state.pause(self._clock.now_s())

    def _finish(
        self, job: OwnedJob, state: ItemState, text: str | None, reason: str
    ) -> None:
        if text is None:
            log_decision(
                "item given up",
                job=job.head.id,
                request=job.items[state.index].id,
                failures=state.failures,
                reason=reason,
            )
        job.finish(state, text)
        self._listings.begin(job)
