"""Assembles the decision logic of one host; all I/O goes through its ports."""

from __future__ import annotations

import asyncio
import logging
from typing import TYPE_CHECKING, Any

from returns.result import Failure

from aspenbridge.batch import BatchRunner, Files, Jobs
from aspenbridge.configuration import Authority, Follower, RevisionPropagation, View
from aspenbridge.explain import Decisions
from aspenbridge.lifecycle import load_chart
from aspenbridge.limits import RetryBudget
from aspenbridge.membership import (
    CHUNK,
    LEAVING,
    REQUEST,
    SUSPICION_ANSWER_INTERVAL_S,
    FailureDetector,
    Members,
    Prober,
    StoredSuspicions,
)
from aspenbridge.online import CodingRuns, CodingService, Generator, ServiceCaller
from aspenbridge.peers import (
    Ack,
    CancelNotice,
    ChangesRequest,
    ExplainRequest,
    Probe,
    ProbeVia,
    RevisionNotice,
    SuspectNotice,
)
from aspenbridge.recall.results import RecalledResults
from aspenbridge.recovery import (
    RECONCILE_INTERVAL_S,
    HostSweep,
    Reconciler,
    Registration,
    Takeover,
    Worker,
)
from aspenbridge.resources import StackOwner
from aspenbridge.result_codes import Problem, ResultCode
from aspenbridge.scheduling import Scheduler
from aspenbridge.store import GroupCommitter, Store
from aspenbridge.suspects import Suspects
from aspenbridge.telemetry import CallRecorder, MeasuredAdmission

from ._errors import StartError
from ._notices import Notices
from ._running import RunningWork
from ._supervisor import Supervisor

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from aspenbridge.configuration import AnnounceResult
    from aspenbridge.membership import Identity
    from aspenbridge.ports import PeerAddress
    from aspenbridge.settings import Settings

    from ._ports import Ports

logger = logging.getLogger(__name__)
CANCEL_CHECK_INTERVAL_S = 5.0
RELEASE_LIMIT_S = 10.0  # for the release of unfinished work at shutdown
FRESHNESS_INTERVAL_S = 0.5
ACCEPTING_STATES = frozenset({"ready", "leaving"})


class HostCore(StackOwner):
    """
    One host, as an asynchronous context manager.

    Entering it registers an incarnation, reads the configuration and starts
    the background tasks; leaving it stops them.

    :param peer: the address at which this host listens for its peers.
    """

    def __init__(self, settings: Settings, ports: Ports, peer: PeerAddress) -> None:
        super().__init__()
        self.settings = settings
        self._peer_address = peer
        self.ports = ports
        self.running = RunningWork()
        self.supervisor = Supervisor(ports.metrics)
        self._chart = load_chart("host")
        self.state = self._chart.initial
        clock, random = ports.clock, ports.random
        self.store = Store(ports.table, clock, random)
        self.view = View()
        self.members = Members(clock)
        self.notices = Notices(self.members, ports.peers, clock)
        self.follower = Follower(self.store, clock, self.view, ports.peers)
        self.propagation = RevisionPropagation(
            self.follower,
            self.members,
            ports.peers,
            clock,
            settings.configuration,
            lambda: self.prober.listed_hosts,
        )
        self.authority = Authority(self.store, clock, self.propagation.reaches_majority)
        self.prober = Prober(
            self.identity,
            self.members,
            ports.peers,
            ports.host_list,
            clock,
            random,
            settings.membership,
        )
        self.prober.revision_tracker = self.follower
        self.scheduler = Scheduler(
            settings,
            self.identity,
            self.members,
            lambda: self.prober.state != "live",
            self.view,
            ports.peers,
            ports.engines,
            clock,
            random,
        )
        self.admission = self.scheduler.admission
        self.generator = Generator(
            self.view,
            MeasuredAdmission(
                self.admission, CallRecorder(ports.tracer, ports.metrics)
            ),
            ports.engines,
            clock,
            random,
            RetryBudget(settings.limits.retry_budget),
        )
        self.decisions = Decisions(settings.host.name, clock, self.members, ports.peers)
        self.generator.may_start = self.propagation.may_serve
        self.generator.on_step = self.decisions.record_step
        group = GroupCommitter(self.store, clock)
        self.coding_runs = CodingRuns(
            self.identity, self.store, group, self.generator, clock
        )
        self.coding = CodingService(
            self.identity, self.store, group, self.coding_runs, clock, random
        )
        self.calls = ServiceCaller(
            self.identity, self.view, self.store, ports.services, clock, random
        )
        self.files = Files(
            self.store,
            ports.objects,
            random,
            settings.batch,
            settings.listen.max_item_bytes,
        )
        self.jobs = Jobs(self.store, ports.objects, clock, random)
        self.recalled_results = RecalledResults(
            self.view,
            ports.table,
            self.store,
            ports.objects,
            self.files,
            self.jobs,
            clock,
        )
        self.batch = BatchRunner(
            self.identity,
            self.store,
            ports.objects,
            self.generator,
            clock,
            random,
            settings.batch,
            lambda: len(self.members.live()) + 1,
        )
        self.suspects = Suspects(
            self.identity,
            self.store,
            clock,
            self.notices.broadcast,
            lambda: len(self.members.live()) + 1,
        )
        self.generator.suspects = self.suspects
        self.jobs.on_submitted = self.batch.wake
        self.jobs.on_cancelled = self._broadcast_cancel
        self.registration = Registration(self.store, clock, random, settings.host, peer)
        self.prober.on_declared_failed = self.registration.mark_fenced
        workers: dict[str, Worker] = {CHUNK: self.batch, REQUEST: self.coding_runs}
        self.takeover = Takeover(
            self.identity, self.store, self.members, clock, workers
        )
        self.reconciler = Reconciler(self.identity, self.store, workers)
        self.sweep = HostSweep(
            self.identity,
            self.store,
            self.members,
            self.takeover,
            self.registration.mark_fenced,
        )
        self.suspicions = StoredSuspicions(self.identity, self.store, clock)
        self.detector = FailureDetector(
            self.prober,
            self.members,
            ports.peers,
            clock,
            random,
            settings.membership,
            self.suspicions,
            self.takeover.start,
        )

    def identity(self) -> Identity:
        """
        Return the identity of this host's incarnation.

        :raises StartError: if the host has not registered yet.
        """
        identity = self.registration.identity
        if identity is None:
            raise StartError(f"host {self.settings.host.name!r} has not registered")
        return identity

    @property
    def ready(self) -> bool:
        """Whether the load balancer may send requests to this host."""
        return self.state == "ready"

    @property
    def accepting(self) -> bool:
        """Whether the host accepts new work from callers."""
        return self.state in ACCEPTING_STATES

    async def drain(self) -> bool:
        """
        Shut the host down, leaving running requests time to end.

        The host first reports that it is not ready, so that the load balancer
        stops sending requests. After ``shutdown_notice_s`` it refuses new
        work, and waits up to ``shutdown_limit_s`` for running requests to end.
        Last, it releases unfinished work to other hosts.

        :return: whether all running requests ended within the limit.
        """
        limits = self.settings.limits
        self._handle_event("stop")
        self.prober.state = LEAVING
        await self._pause(limits.shutdown_notice_s)
        self._handle_event("refuse")
        limit = asyncio.create_task(self._pause(limits.shutdown_limit_s))
        idle = asyncio.create_task(self.running.wait_idle())
        await asyncio.wait((limit, idle), return_when=asyncio.FIRST_COMPLETED)
        ended = idle.done()
        for task in (limit, idle):
            await _cancel_and_wait(task)
        await self._release_work()
        self._handle_event("drained")
        return ended

    async def __aenter__(self) -> HostCore:
        self._stack.push_async_callback(self.supervisor.close)
        self._stack.push_async_callback(self.running.close)
        await self._register()
        await self.prober.read_host_list()
        await self._load_configuration()
        settings = self.settings
        self._start(self._follow_configuration())
        self._every(FRESHNESS_INTERVAL_S, self._check_freshness)
        self._every(settings.membership.probe_interval_s, self.detector.tick)
        self._every(SUSPICION_ANSWER_INTERVAL_S, self.suspicions.answer)
        self._every(
            settings.membership.host_list_interval_s, self.prober.read_host_list
        )
        for loop in self.scheduler.loops():
            self._start(loop())
        self._every(CANCEL_CHECK_INTERVAL_S, self.batch.check_cancelled)
        self._every(RECONCILE_INTERVAL_S, self.reconciler.run)
        self._start(self._sweep_loop())
        self._start(self._suspects_loop())
        on_fenced = (*self._stop_work_callbacks(), self._reset_detector)
        self._start(self.registration.watch(on_fenced))
        self._start(self.batch.run(lambda: self.ready))
        self._stack.push_async_callback(self.suspects.aclose)
        for component in (self.coding_runs, self.coding, self.calls, self.batch):
            self._stack.push_async_callback(component.aclose)
        self._stack.push_async_callback(self.takeover.aclose)
        return self

    async def handle(self, message: Any) -> Any:
        """Handle a message of another host and return the reply."""
        if isinstance(message, Probe):
            return self.prober.answer(message)
        if isinstance(message, ProbeVia):
            return await self.prober.answer_via(message)
        if isinstance(message, CancelNotice):
            self.batch.cancel(message.job)
            return Ack()
        if isinstance(message, SuspectNotice):
            self.suspects.apply_notice(message)
            return Ack()
        if isinstance(message, ChangesRequest):
            return self.follower.answer(message)
        if isinstance(message, RevisionNotice):
            return await self.propagation.answer(message)
        if isinstance(message, ExplainRequest):
            return self.decisions.answer(message)
        return await self.scheduler.handle(message)

    async def _register(self) -> None:
        registered = await self.registration.register()
        if isinstance(registered, Failure):
            reason = registered.failure().reason
            raise StartError(f"the table service can't be reached: {reason}")

    async def _load_configuration(self) -> None:
        if not await self.follower.refresh():
            raise StartError("the configuration can't be read")
        self._handle_event("current")

    def refusal(self) -> Problem | None:
        """Return why this host refuses new work, or None if it accepts it."""
        detail = f"host {self.settings.host.name!r} is {self.state}"
        uncertain = self.state in ("starting", "uncertain")
        if uncertain or (self.accepting and not self.propagation.may_serve()):
            return Problem(ResultCode.CONFIGURATION_UNKNOWN, detail, retry_after_s=1.0)
        if not self.accepting:
            return Problem(ResultCode.SHUTTING_DOWN, detail, retry_after_s=1.0)
        return None

    async def announce(self, revision: int) -> AnnounceResult:
        """Apply an accepted revision here and announce it to other hosts."""
        return await self.propagation.announce(revision, str(self._peer_address))

    async def _follow_configuration(self) -> None:
        while True:
            await self.follower.refresh()
            await self.propagation.wait_for_poll(self.ports.random.uniform(0.9, 1.1))

    async def _check_freshness(self) -> None:
        self._handle_event("current" if self.propagation.may_serve() else "unsure")

    def _handle_event(self, event: str) -> None:
        """Move to the next state, if the state chart allows the event."""
        if not self._chart.allows(self.state, event):
            return
        self.state = self._chart.next_state(self.state, event)
        self.ports.metrics.count(f"host.state.{self.state}")
        logger.info("host %s is %s", self.settings.host.name, self.state)

    async def _release_work(self) -> None:
        """Release unfinished work to other hosts and end this incarnation."""
        deadline_s = self.ports.clock.now_s() + RELEASE_LIMIT_S
        await self.batch.drain(deadline_s)
        await self.coding_runs.drain(deadline_s)
        await self.calls.drain(deadline_s)
        await self.takeover.deregister()

    def _stop_work_callbacks(self) -> list[Callable[[], Awaitable[None]]]:
        """Return the callbacks that stop the work of a fenced incarnation."""
        return [self.batch.cancel_all, self.coding.aclose, self.coding_runs.aclose]

    async def _reset_detector(self) -> None:
        self.detector.reset()

    async def _suspects_loop(self) -> None:
        while True:
            await self.suspects.refresh()
            await self._pause(self.suspects.refresh_interval_s)

    async def _sweep_loop(self) -> None:
        while True:
            await self._pause(self.sweep.interval_s)
            await self.sweep.run()

    def _broadcast_cancel(self, job_id: str) -> None:
        """Cancel a job on this host and on every other host."""
        self.batch.cancel(job_id)
        self.notices.broadcast(CancelNotice(job_id))

    def _every(self, interval_s: float, action: Callable[[], Awaitable[None]]) -> None:
        self._start(self._repeat(interval_s, action))

    async def _repeat(
        self, interval_s: float, action: Callable[[], Awaitable[None]]
    ) -> None:
        """
        Run an action at intervals until cancelled.

        The intervals vary at random, so that hosts do not act all at once.
        """
        while True:
            await action()
            await self._pause(interval_s * self.ports.random.uniform(0.9, 1.1))

    async def _pause(self, interval_s: float) -> None:
        clock = self.ports.clock
        await clock.sleep_until(clock.now_s() + interval_s)

    def _start(self, coroutine: Any) -> None:
        self.supervisor.start(coroutine)


async def _cancel_and_wait(task: asyncio.Task[None]) -> None:
    task.cancel()
    await asyncio.gather(task, return_exceptions=True)
