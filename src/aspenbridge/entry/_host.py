"""Connects the components of one entry host; does no I/O of its own."""

from __future__ import annotations

import asyncio
import logging
from typing import TYPE_CHECKING, Any, Self

from aspenbridge.admission import CountedQuota
from aspenbridge.fleet import (
    HOSTS_TABLE,
    READ_INTERVAL_S,
    EngineDirectory,
    EngineHealth,
    EngineView,
    Follower,
    Heartbeat,
    HostRecord,
    HostTable,
    LoadExchange,
    LoadView,
    Reachability,
)
from aspenbridge.jobs import (
    HEADS_READ_INTERVAL_S,
    HEADS_TABLE,
    JobAdmission,
    JobClaims,
    JobDirectory,
    JobRepository,
    JobService,
    JobSweep,
    JobWorker,
)
from aspenbridge.limits import (
    KeyedShares,
    MemoryBudget,
    MemoryShares,
    place_limit,
)
from aspenbridge.observability import log_decision, watch_lateness
from aspenbridge.quarantine import CRASHES_TABLE, Quarantine
from aspenbridge.relay import OnlinePlacement, Relay
from aspenbridge.resources import StackOwner
from aspenbridge.store import Store

from ._copies import ConfigurationCopy, EngineCopy
from ._leaving import LeavingEngines

if TYPE_CHECKING:
    from collections.abc import Coroutine

    from aspenbridge.fleet import PeerAddress

    from ._ports import EntryPorts
    from ._settings import EntrySettings

logger = logging.getLogger(__name__)
RELEASE_LIMIT_S = 3.0  # a part of the time limit of a shutdown
LEAVE_LIMIT_S = 0.3  # within the margin between a drain and the process's end


class EntryHost(StackOwner):
    """
    Serves online requests and batch jobs.

    Entering it starts its background tasks.
    """

    def __init__(self, settings: EntrySettings, ports: EntryPorts) -> None:
        super().__init__()
        self.settings = settings
        self.ports = ports
        self.incarnation = f"{settings.host}-{ports.random.randbytes(6).hex()}"
        self._tasks: list[asyncio.Task[None]] = []
        self.task_died = asyncio.Event()  # set when a background task ends by itself
        self.leaving = False  # true from the start of a shutdown
        self._last_unready_reason = "the host has just started"
        clock, random = ports.clock, ports.random
        store = Store(ports.table, clock, random)
        self.configuration = ConfigurationCopy(
            ports.tables.configuration_key, ports.tables.decode_configuration
        )
        engine_directory = self._engine_directory = EngineDirectory(clock)
        self._engine_copy = EngineCopy(engine_directory, ports.tables.decode_engine)
        shares = MemoryShares.of(settings.machine.memory_bytes)
        self.caller_memory = MemoryBudget(
            settings.machine.caller_bytes or shares.requests_bytes
        )
        self.max_connections = settings.machine.caller_connections or place_limit(
            settings.machine.max_descriptors, shares.connections_bytes
        )
        self.job_memory = MemoryBudget(shares.jobs_bytes)
        self.load_view = LoadView(clock)
        health = self._health = EngineHealth(clock)
        self.view = EngineView(
            engine_directory,
            self.load_view,
            health,
            settings.failure_domain,
            settings.regions,
        )
        self.hosts = HostTable(clock)
        self.hosts.on_removed = self._remove_host
        port = settings.peer_ports[0]
        self._heartbeat = Heartbeat(
            store,
            clock,
            HostRecord(
                host=settings.host,
                incarnation=self.incarnation,
                ip=settings.ip,
                port=port,
                failure_domain=settings.failure_domain,
                beat=0,
            ),
        )
        self.exchange = LoadExchange(
            self.incarnation,
            (settings.ip, port),
            settings.failure_domain,
            self.load_view,
            self._peers,
            ports.datagrams,
            clock,
            random,
        )
        self.exchange.on_interval = self._set_draws
        self.exchange.heartbeat_age_s = lambda: self._heartbeat.age_s
        self.exchange.on_heartbeat = self.hosts.record_heartbeat
        self._job_directory = JobDirectory()
        tables = ports.tables
        feed_options = (ports.feed, clock, random)
        engine_follower = Follower(
            *feed_options, tables.engines_table, self._engine_copy
        )
        engine_follower.on_recovery = engine_directory.store_recovered
        host_follower = Follower(
            *feed_options,
            HOSTS_TABLE,
            self.hosts,
            all_parts=True,
            interval_s=READ_INTERVAL_S,
        )
        host_follower.on_recovery = self.hosts.store_recovered
        head_follower = Follower(
            *feed_options,
            HEADS_TABLE,
            self._job_directory,
            all_parts=True,
            interval_s=HEADS_READ_INTERVAL_S,
        )
        self._job_directory.on_late = head_follower.read_now
        self.quarantine = Quarantine(
            settings.host,
            engine_directory,
            engine_follower,
            self.hosts,
            store,
            clock,
            random,
            settings.engine_heartbeat_s,
        )
        self.quarantine.on_news = self.exchange.announce
        self.exchange.notices = self.quarantine.notices
        self.exchange.on_notices = self.quarantine.apply_notices
        engine_caller = LeavingEngines(ports.engine_caller, engine_directory)
        engine_caller.on_news = self.exchange.announce
        self.exchange.leaving = engine_directory.leaving
        self.exchange.on_leaving = engine_caller.apply_report
        self.relay = Relay(
            OnlinePlacement(self.view, random),
            self.load_view,
            health,
            engine_caller,
            self.quarantine,
            clock,
            KeyedShares(self.caller_memory, self.max_connections // 2),
        )
        self._followers = (
            Follower(*feed_options, tables.configuration_table, self.configuration),
            Follower(
                *feed_options,
                CRASHES_TABLE,
                self.quarantine,
                interval_s=READ_INTERVAL_S,
            ),
            engine_follower,
            host_follower,
            head_follower,
        )
        self._loaded_before_claims = (
            host_follower.loaded,
            head_follower.loaded,
        )
        self.reachability = Reachability(
            self._heartbeat, host_follower, self.hosts, self.load_view
        )
        repository = JobRepository(
            store,
            ports.feed,
            ports.objects,
            self._job_directory,
            clock,
            random,
            self.incarnation,
            settings.store_limits.row_bytes,
        )
        self.worker = JobWorker(
            self.incarnation,
            self.reachability,
            self._job_directory,
            repository,
            self.view,
            self.load_view,
            health,
            engine_caller,
            self.quarantine,
            clock,
            random,
            lambda: self.configuration.current,
        )
        self._admission = JobAdmission(
            self._job_directory,
            CountedQuota(clock, random),
            head_follower,
            store,
            clock,
            random,
        )
        self._job_directory.on_change = self._head_changed
        self.worker.on_held = self.job_memory.add
        self.load_view.on_change = self.worker.load_changed
        self._engine_copy.on_change = self._engines_changed
        self.configuration.on_change = self.worker.wake
        self._claims = JobClaims(
            settings.host,
            self._job_directory,
            self.hosts,
            self.reachability,
            repository,
            self.worker,
            clock,
            self.incarnation,
        )
        self._sweep = JobSweep(
            settings.host,
            self._job_directory,
            self.hosts,
            repository,
            clock,
            settings.bounds.results_kept_s,
        )
        self.job_service = JobService(
            self._job_directory,
            self._admission,
            head_follower,
            self.reachability,
            store,
            ports.feed,
            ports.objects,
            self.worker,
            clock,
            self.incarnation,
            lambda: self.configuration.version,
        )

    def _set_draws(self, reports_delayed: bool) -> None:
        self.view.draws = self.ports.random if reports_delayed else None

    def _head_changed(self, job_id: str) -> None:
        self._admission.head_changed(job_id)
        self.worker.head_changed(job_id)

    def _engines_changed(self) -> None:
        self._health.keep_only(self._engine_directory.ids())
        self.worker.wake()

    def _peers(self) -> dict[PeerAddress, str]:
        """Return the failure domains of the hosts to report to, by address."""
        return {
            (record.ip, record.port): record.failure_domain
            for record in self.hosts.listed()
            if record.incarnation != self.incarnation
            and (
                self.hosts.is_live(record.incarnation)
                or self.exchange.has_heard(record.incarnation)
            )
        }

    def _remove_host(self, incarnation: str) -> None:
        self.load_view.remove_host(incarnation)
        self.exchange.remove_host(incarnation)

    @property
    def ready(self) -> bool:
        """
        Whether the load balancer may send new connections to this host.

        Logs the answer when its reason differs from the last one.
        """
        reason = self._unready_reason()
        if reason != self._last_unready_reason:
            self._last_unready_reason = reason
            log_decision("readiness", ready=not reason, reason=reason)
        return not reason

    def _unready_reason(self) -> str:
        if self.leaving:
            return "the host is stopping"
        if self.configuration.current is None:
            return "no configuration has been read yet"
        if self.reachability.cut_off:
            return "neither the store nor any other host is reached"
        return ""

    async def __aenter__(self) -> Self:
        await self._stack.enter_async_context(self.exchange)
        self._stack.push_async_callback(self._stop_tasks)
        for follower in self._followers:
            self.start(follower.run())
        for coroutine in (
            self._heartbeat.run(),
            self.exchange.run(),
            self.worker.run(),
            self.worker.save_progress(),
            self._claims.run(),
            self._sweep.run(),
            self.quarantine.run(),
            self._enable_claims(),
            watch_lateness(self.ports.clock),
        ):
            self.start(coroutine)
        return self

    async def release_jobs(self) -> None:
        """
        Release batch jobs to other hosts; online requests go on.

        Ends after ``RELEASE_LIMIT_S``, whatever the store does. Jobs that this
        host accepts or fails to release until then are released as soon as the
        store allows; those that are left when the host ends are claimed by
        other hosts.
        """
        self._claims.enabled = False
        deadline_s = self.ports.clock.now_s() + RELEASE_LIMIT_S
        try:
            async with asyncio.timeout(RELEASE_LIMIT_S):
                telling = self._heartbeat.tell_stopping(deadline_s)
                self.start(self.worker.release_jobs())
                await telling
                await self.worker.released.wait()
        except TimeoutError:
            logger.warning("jobs were not released in %.1f s", RELEASE_LIMIT_S)

    async def leave(self) -> None:
        """
        Leave the table of hosts, so that others claim what is left here.

        Comes after the last request, since the other hosts send their loads to
        listed hosts only. Ends after ``LEAVE_LIMIT_S``.
        """
        deadline_s = self.ports.clock.now_s() + LEAVE_LIMIT_S
        try:
            async with asyncio.timeout(LEAVE_LIMIT_S):
                await self._heartbeat.leave(deadline_s)
        except TimeoutError:
            logger.warning("host row was not removed in %.1f s", LEAVE_LIMIT_S)

    async def _enable_claims(self) -> None:
        """
        Enable claims once the tables that they depend on have been read.

        Before that, a live owner of a job could count as lost.
        """
        for loaded in self._loaded_before_claims:
            await loaded.wait()
        self._claims.enabled = True
        await asyncio.Event().wait()

    def start(self, coroutine: Coroutine[Any, Any, None]) -> None:
        """Run a background task; it has to run until the host stops."""
        task = asyncio.create_task(coroutine)
        task.add_done_callback(self._on_task_end)
        self._tasks.append(task)

    def _on_task_end(self, task: asyncio.Task[None]) -> None:
        if task.cancelled():
            return
        logger.error("background task ended unexpectedly", exc_info=task.exception())
        self.task_died.set()

    async def _stop_tasks(self) -> None:
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
