"""Runs the batch jobs that this host owns."""

from __future__ import annotations

import asyncio
import logging
from contextlib import suppress
from functools import partial
from typing import TYPE_CHECKING

from aspenbridge.observability import MAX_LOGGED_PARTS, log_decision, metrics
from aspenbridge.ports import BodyEnd, CallOutcome

from ._item_run import ItemOutcome, ItemRunResult, run_item
from ._order import DurationEstimator, next_ready_s, ready_items
from ._owned import OwnedJob
from ._progress_saver import ProgressSaver
from ._records import JobState
from ._result_lister import ResultLister
from ._running import RunningItem, RunningItems
from ._slots import SlotAssignment

if TYPE_CHECKING:
    from collections.abc import Callable
    from random import Random

    from aspenbridge.fleet import (
        Configuration,
        EngineEntry,
        EngineHealth,
        EngineView,
        LoadView,
        Reachability,
        Route,
    )
    from aspenbridge.ports import Clock, EngineCaller
    from aspenbridge.quarantine import EventArrivals, Quarantine, RunSubjects
    from aspenbridge.store import Stored

    from ._directory import JobDirectory
    from ._messages import SubmittedItem
    from ._owned import ItemState
    from ._records import JobHead
    from ._repository import JobRepository

logger = logging.getLogger(__name__)
DISPATCH_INTERVAL_S = 0.25  # nothing wakes the loop when a retry delay ends
EXPIRY_SLACK_S = 3.0  # exceeds the clock skew between two hosts
RELEASE_TRY_S = 1.0  # for one job; others wait for it
RELEASE_RETRY_S = 0.3


class JobWorker:
    """Runs the items of owned jobs on engines and has their results listed."""

    def __init__(
        self,
        incarnation: str,
        reachability: Reachability,
        directory: JobDirectory,
        repository: JobRepository,
        view: EngineView,
        load_view: LoadView,
        health: EngineHealth,
        engine_caller: EngineCaller,
        quarantine: Quarantine,
        clock: Clock,
        random: Random,
        configuration: Callable[[], Configuration | None],
    ) -> None:
        self._incarnation = incarnation
        self._reachability = reachability
        self._directory = directory
        self._repository = repository
        self._load_view = load_view
        self._health = health
        self._engine_caller = engine_caller
        self._quarantine = quarantine
        self._clock = clock
        self._random = random
        self._configuration = configuration
        self._jobs: dict[str, OwnedJob] = {}
        self._lister = ResultLister(repository, self._jobs)
        self._saver = ProgressSaver(repository, self._jobs, clock)
        self._wake = asyncio.Event()
        self._look: asyncio.Handle | None = None  # at loads that have changed
        self._next_ready_s = float("inf")  # when the next retry delay ends
        self._estimator = DurationEstimator()
        self._running = RunningItems(
            incarnation, view, load_view, self._estimator, clock
        )
        self._slots = SlotAssignment(
            incarnation, view, load_view, self._estimator, clock
        )
        self._stopping = False
        self._job_added = asyncio.Event()
        self.released = asyncio.Event()  # set once a stop has released all jobs
        # Called with the memory that a job takes, or frees if it is negative.
        self.on_held: Callable[[int], None] = lambda size_bytes: None

    def wake(self) -> None:
        """Make the run loop look at once for items to start or to stop."""
        self._wake.set()

    def items(self, job_id: str) -> tuple[SubmittedItem, ...] | None:
        """Return the items of a job, or None if it is not run here."""
        job = self._jobs.get(job_id)
        return None if job is None else job.items

    def owns(self, job_id: str) -> bool:
        """Whether the job is run here."""
        return job_id in self._jobs

    def add_job(
        self, stored: Stored[JobHead], items: tuple[SubmittedItem, ...]
    ) -> OwnedJob:
        """
        Start to run a job whose head names this host as its owner.

        A job that is run here already goes on. That happens when the store's
        reply to the submission arrives after this host has found the job in
        the table and claimed it.
        """
        running = self._jobs.get(stored.record.id)
        if running is not None:
            if running.stored.version < stored.version:
                running.apply_head(stored)
            return running
        job = OwnedJob(stored, items)
        self._jobs[stored.record.id] = job
        self.on_held(job.size_bytes)
        self._job_added.set()
        self.wake()
        # A newer head may have come before the reply to this host's write.
        self.head_changed(job.head.id)
        return job

    def head_changed(self, job_id: str) -> None:
        """Drop a job that is not open any more or has another owner."""
        job = self._jobs.get(job_id)
        stored = self._directory.get(job_id)
        if job is None or stored is None:
            return  # the table may have been read before the job was accepted
        if stored.version == job.stored.version or self._is_owned_here(stored.record):
            return
        log_decision(
            "job dropped",
            job=job_id,
            owner=stored.record.owner,
            state=stored.record.state.value,
        )
        self._drop_job(job)

    def _is_owned_here(self, head: JobHead) -> bool:
        return head.state is JobState.OPEN and head.owner == self._incarnation

    def _drop_job(self, job: OwnedJob) -> None:
        self._forget(job)
        self._running.stop_job(job)

    def _forget(self, job: OwnedJob) -> None:
        if self._jobs.pop(job.head.id, None) is not None:
            self.on_held(-job.size_bytes)

    async def run(self) -> None:
        """Start and stop items until cancelled."""
        while True:
            self._wake.clear()
            if self._reachability.presumed_lost:
                self._running.release_to_other_hosts()
            self._running.preempt_excess_items()
            if self._dispatch_items():
                self._slots.start_report_delay()
            now_s, delay_s = self._clock.now_s(), self._slots.report_delay_s
            self._next_ready_s = next_ready_s(self._jobs.values(), now_s)
            try:
                async with asyncio.timeout(
                    delay_s if delay_s > 0 else DISPATCH_INTERVAL_S
                ):
                    await self._wake.wait()
            except TimeoutError:
                continue

    def load_changed(self) -> None:
        """
        Look soon whether items have to stop or may start.

        All changes of a moment share one look, which costs less than a round
        of the run loop. Without a job there is none.
        """
        if self._jobs and self._look is None:
            self._look = asyncio.get_running_loop().call_soon(self._look_at_loads)

    def _look_at_loads(self) -> None:
        self._look = None
        self._running.preempt_excess_items()
        if (
            self._slots.any_assigned()
            or self._next_ready_s <= self._clock.now_s()
            or (self._running and self._reachability.presumed_lost)
        ):
            self.wake()

    async def save_progress(self) -> None:
        """Save the progress of unfinished items until cancelled."""
        await self._saver.run()

    async def release_jobs(self) -> None:
        """
        Stop all items; release jobs and their progress until cancelled.

        Also releases jobs that are accepted later, and those whose release
        failed, again.
        """
        self._stopping = True
        await self._running.stop_all()
        while True:
            self._job_added.clear()
            for job in [*self._jobs.values(), *self._unknown_jobs()]:
                if not job.listing:  # its results come first
                    await self._release(job)
            if not self._jobs:
                self.released.set()
            with suppress(TimeoutError):
                async with asyncio.timeout(RELEASE_RETRY_S):
                    await self._job_added.wait()

    def _unknown_jobs(self) -> list[OwnedJob]:
        """Return jobs that this host owns without having had the reply."""
        return [
            OwnedJob(stored, ())
            for stored in self._directory.open_heads()
            if self._is_owned_here(stored.record) and not self.owns(stored.record.id)
        ]

    async def _release(self, job: OwnedJob) -> None:
        deadline_s = self._clock.now_s() + RELEASE_TRY_S
        released = await self._repository.release(job, deadline_s)
        log_decision("job handed over", job=job.head.id, released=released)
        if released:
            self._forget(job)

    def _dispatch_items(self) -> bool:
        """
        Report the backlogs and start items on the assigned slots.

        A host that starts no items reports none, since others would wait for
        them.

        :return: whether any item was started.
        """
        configuration = self._configuration()
        if self._stopping or self._reachability.presumed_lost or configuration is None:
            self._slots.report_backlogs(())
            return False
        waiting = self._dispatchable_items(configuration)
        self._slots.report_backlogs(waiting)
        if not waiting or not self._slots.track_backlog(len(waiting)):
            return False
        if not self._slots.any_assigned():
            return False
        slots = self._slots.assigned_slots()
        unassigned = []
        for job, state, route in waiting:
            service = route.pick_service(self._random)
            if slots.get(service):
                self._start_item(job, state, route, slots[service].popleft())
            else:
                unassigned.append((job, state, route))
        self._retry_engines(unassigned)
        if len(unassigned) == len(waiting):
            return False
        self._slots.report_backlogs(unassigned)
        return True

    def _retry_engines(
        self, unassigned: list[tuple[OwnedJob, ItemState, Route]]
    ) -> None:
        """Send items without a slot to engines that may be reached again."""
        for service, engines in self._slots.engines_to_retry().items():
            for engine in engines:
                waiting = [i for i in unassigned if service in i[2].services]
                if not waiting:
                    break
                # The last one has the longest to wait for a slot.
                job, state, route = waiting[-1]
                unassigned.remove(waiting[-1])
                self._health.record_retry(engine.id)
                self._start_item(job, state, route, engine)

    def _dispatchable_items(
        self, configuration: Configuration
    ) -> list[tuple[OwnedJob, ItemState, Route]]:
        """
        Return the items that may start now, in the order of their start.

        Items without a route and items of an expired job fail permanently.
        An item waits while this host's configuration is older than the one
        under which its job was accepted.
        """
        waiting = []
        now_s, wall_s = self._clock.now_s(), self._clock.wall_s()
        for job, state in ready_items(
            self._jobs.values(), self._estimator, now_s, wall_s
        ):
            path = job.items[state.index].target.partition("?")[0]
            route = configuration.route_for(job.head.host, path)
            if wall_s > job.head.expires_wall_s + EXPIRY_SLACK_S:
                self._fail_permanently(job, state, "the job has expired")
            elif route is not None:
                if not self._is_held(job, state):
                    waiting.append((job, state, route))
            elif configuration.version >= job.head.configuration:
                self._fail_permanently(job, state, "no route matches the item any more")
        return waiting

    def _is_held(self, job: OwnedJob, state: ItemState) -> bool:
        """
        Whether an item waits, since a part of its prompt crashes engines.

        It is owed and waits until a trial clears the part or its job expires.
        """
        subjects = job.subjects[state.index]
        waits = self._quarantine.wait_s(subjects) > 0
        held = self._quarantine.held_key(subjects) if waits else None
        if held is not None and held != state.held:
            item_id = job.items[state.index].id
            log_decision("item held", job=job.head.id, request=item_id, held=held)
        state.held = held
        return waits

    def _fail_permanently(self, job: OwnedJob, state: ItemState, reason: str) -> None:
        job.start(state)
        self._finish_item(job, state, None, reason)

    def _start_item(
        self, job: OwnedJob, state: ItemState, route: Route, engine: EngineEntry
    ) -> None:
        job.start(state)
        self._load_view.add(engine.id, batch=1)
        load = self._load_view.load(engine.id)
        task = asyncio.create_task(self._run_item(job, state, route, engine))
        run = RunningItem(task, job, state, engine.id)
        run.log("item starts", online=load.online, batch=load.batch)
        self._running.add(run)
        task.add_done_callback(self._on_run_ended)

    def _on_run_ended(self, task: asyncio.Task[None]) -> None:
        run = self._running.remove(task)
        job, state = run.job, run.state
        self._load_view.add(run.engine_id, batch=-1)
        if state.index in job.running:  # the run was cancelled or raised an error
            job.requeue(state)
            state.delay_retry(self._clock.now_s())
        if not task.cancelled() and (error := task.exception()) is not None:
            logger.error("unexpected error in the run of a batch item", exc_info=error)
        self.wake()

    async def _run_item(
        self, job: OwnedJob, state: ItemState, route: Route, engine: EngineEntry
    ) -> None:
        item, subjects = job.items[state.index], job.subjects[state.index]
        if not await self._quarantine.begin_run(subjects):
            return  # it waits again
        started_s, events_before = self._clock.now_s(), len(state.events)
        remaining_s = job.head.expires_wall_s - self._clock.wall_s()
        run = await run_item(
            self._engine_caller,
            self._clock,
            engine,
            job.head.host,
            item,
            state,
            self._clock.now_s() + remaining_s,
            partial(self._record_events, subjects, engine),
        )
        metrics.ITEM_RUNS.labels(run.outcome.value).inc()
        log_decision(
            "item run",
            job=job.head.id,
            request=item.id,
            engine=engine.id,
            outcome=run.outcome.value,
            reason=run.reason,
            connection_lost=run.connection_lost,
            body_end=run.body_end and run.body_end.value,
            events=len(state.events) - events_before,
            fingerprint=job.fingerprints[state.index],
            prompt_parts=item.prompt_parts[:MAX_LOGGED_PARTS],
            last_event=state.last_event_id,
        )
        self._update_engine_health(engine, run)
        self._report_run(subjects, engine, run)
        if run.outcome is ItemOutcome.COMPLETE:
            events = len(state.events)
            run_s = self._clock.now_s() - started_s
            self._estimator.add_completed(events, events - events_before, run_s)
            self._finish_item(job, state, "\n".join(state.events), "")
        elif run.outcome is ItemOutcome.IMPOSSIBLE:
            self._finish_item(job, state, None, run.reason)
        else:
            self._retry_or_fail(job, state, route, run)

    def _record_events(
        self, subjects: RunSubjects, engine: EngineEntry, arrivals: EventArrivals
    ) -> None:
        if arrivals.first_s == arrivals.last_s:  # later ones are no news of it
            self._health.record_answer(engine.id)
        self._quarantine.record_events(subjects, arrivals)

    def _update_engine_health(self, engine: EngineEntry, run: ItemRunResult) -> None:
        if run.call_outcome is CallOutcome.NOT_SENT:
            self._health.record_unreachable(engine.id)
        elif run.call_outcome is CallOutcome.REFUSED:
            self._health.record_refusal(engine.id)
        elif run.call_outcome is None:
            self._health.record_answer(engine.id)

    def _report_run(
        self, subjects: RunSubjects, engine: EngineEntry, run: ItemRunResult
    ) -> None:
        """Report what a run shows of the parts of its prompt."""
        quarantine = self._quarantine
        if run.call_outcome is None:
            quarantine.record_completed(
                subjects,
                engine,
                succeeded=run.outcome is ItemOutcome.COMPLETE
                and run.arrivals.count > 0,
                end_marked=run.body_end is not BodyEnd.CONNECTION,
                arrivals=run.arrivals,
            )
        elif run.call_outcome is CallOutcome.BROKEN:
            quarantine.record_broken_run(
                subjects,
                engine,
                connection_lost=run.connection_lost,
                arrivals=run.arrivals,
            )
        else:
            if run.call_outcome is CallOutcome.NOT_SENT:
                quarantine.record_unreachable(engine)
            reached = run.call_outcome is CallOutcome.REFUSED
            quarantine.record_not_run(subjects, reached=reached)

    def _retry_or_fail(
        self, job: OwnedJob, state: ItemState, route: Route, run: ItemRunResult
    ) -> None:
        if run.outcome is ItemOutcome.FAILED:
            state.failures += 1
            if state.failures >= route.max_attempts:
                self._finish_item(job, state, None, run.reason)
                return
        job.requeue(state)
        if len(state.events) > state.events_at_delay:
            state.runs_without_progress = 0
        elif run.call_outcome is not CallOutcome.NOT_SENT:
            # An engine that can't be reached has a pause of its own.
            state.runs_without_progress += 1
        state.delay_retry(self._clock.now_s())

    def _finish_item(
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
        self._lister.start(job)
