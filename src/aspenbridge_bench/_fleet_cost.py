"""Measures what the size of the fleet costs one entry host."""

from __future__ import annotations

import asyncio
import itertools
import time
from contextlib import AsyncExitStack, asynccontextmanager
from random import Random
from typing import TYPE_CHECKING, Any

import attrs

from aspenbridge.entry import (
    Address,
    EntryHost,
    EntryPorts,
    EntrySettings,
    OperatorTables,
    StoreLimits,
    TimeBounds,
)
from aspenbridge.fleet import (
    Backlog,
    CallKind,
    Configuration,
    EngineEntry,
    EngineLoad,
    RequestLimits,
    Route,
    Target,
)
from aspenbridge.jobs import SubmittedItem
from aspenbridge.jobs._records import JobHead, JobState, head_key
from aspenbridge.relay import OnlinePlacement
from aspenbridge.store import Stored

from ._clocks import START_S, START_WALL_S

if TYPE_CHECKING:
    from collections.abc import AsyncIterator, Awaitable, Callable, Iterator

SIZES = ((9, 9), (69, 45), (83, 30), (300, 200), (1000, 650))  # hosts, engines
ENGINES_PER_REPORT = 4
REPORTS_PER_S = 7.0  # of one host
SERVICE = "llm"
VIRTUAL_HOST = "a.example"
FAILURE_DOMAINS = 11
REGIONS = 4
SPARE_SLOTS = 2  # of each engine, beyond the requests of the first reports
RUNNING_ITEMS = 8
WAITING_ITEMS = 30
OTHER_BACKLOG = 20  # items of each third host, which are due first
DUE_S = 10_000.0
SETTLING_ITERATIONS = 4  # of the loop, until the work that a report woke is done
REPORT_DELAY_S = 0.1  # more than until a report reaches all hosts
MIN_CALLS = 20


@attrs.frozen
class FleetCost:
    """
    Processor time of one host in a fleet, in seconds for each call.

    :ivar report_applied_s: a load report, without the work that it wakes.
    :ivar report_idle_s: a report with that work, at a host without items.
    :ivar report_waiting_s: the same while items wait and other hosts' items
        are due first.
    :ivar report_running_s: the same while items wait and others run.
    :ivar choice_s: choosing an engine twice for the same loads.
    :ivar choice_after_reports_s: choosing an engine after a report of each
        host.
    :ivar free_slots_s: the free slots for batch items.
    :ivar round_idle_s: one round of the job worker without items.
    :ivar round_waiting_s: one round while items wait.
    """

    hosts: int
    engines: int
    report_applied_s: float
    report_idle_s: float
    report_waiting_s: float
    report_running_s: float
    choice_s: float
    choice_after_reports_s: float
    free_slots_s: float
    round_idle_s: float
    round_waiting_s: float


@attrs.define
class _SteppedClock:
    """A clock that passes only when it is told to."""

    passed_s: float = 0.0

    def now_s(self) -> float:
        return START_S + self.passed_s

    def wall_s(self) -> float:
        return START_WALL_S + self.passed_s

    async def sleep_until(self, deadline_s: float) -> None:
        await asyncio.Event().wait()


class _SilentEngines:
    """Engines that never answer."""

    async def open(self, *call: object) -> Any:
        await asyncio.Event().wait()


_Report = tuple[str, dict[str, EngineLoad], dict[str, Backlog]]


class _Fleet:
    """One host, the engines, and the reports of the other hosts."""

    def __init__(self, hosts: int, engines: int, seed: int) -> None:
        self.clock = _SteppedClock()
        self._random = Random(seed)
        self._reports = [
            self._two_reports(number, engines) for number in range(hosts - 1)
        ]
        self._step_s = 1 / (hosts * REPORTS_PER_S)
        self.host = self._make_host()
        self.route = _make_route()
        self.host.configuration.current = Configuration(
            1, (self.route,), RequestLimits(16384, 4194304, 15.0)
        )
        for engine in self._make_engines(engines):
            self.host._engine_directory.put(engine)
        self.placement = OnlinePlacement(self.host.view, self._random)
        self.host.view.free_slots(SERVICE)  # reads the engines

    def _two_reports(self, number: int, engines: int) -> tuple[_Report, _Report]:
        """Return reports between which one engine and the backlog change."""
        named = self._random.sample(range(engines), ENGINES_PER_REPORT + 1)
        loads = {
            f"e{engine}": EngineLoad(
                self._random.randint(0, 2), self._random.randint(1, 2)
            )
            for engine in named
        }
        host, (first, *_, last) = f"h{number}-0", loads
        items = 0 if number % 3 else OTHER_BACKLOG
        due_wall_s = START_WALL_S + DUE_S - 1 - number
        return (
            (
                host,
                {name: load for name, load in loads.items() if name != last},
                {SERVICE: Backlog(items, due_wall_s)},
            ),
            (
                host,
                {name: load for name, load in loads.items() if name != first},
                {SERVICE: Backlog(items + (items > 0), due_wall_s)},
            ),
        )

    def _make_engines(self, count: int) -> Iterator[EngineEntry]:
        found: dict[str, int] = {}
        for (_, loads, _), _ in self._reports:
            for engine_id, load in loads.items():
                found[engine_id] = found.get(engine_id, 0) + load.total
        for number in range(count):
            slots = max(8, found.get(f"e{number}", 0) + SPARE_SLOTS)
            domain = f"d{number % FAILURE_DOMAINS}"
            yield EngineEntry(
                f"e{number}", SERVICE, "10.0.0.9", 80, domain, slots, False, 1, 0.0
            )

    def _make_host(self) -> EntryHost:
        settings = EntrySettings(
            host="own",
            failure_domain="d0",
            region="r0",
            regions={f"d{n}": f"r{n % REGIONS}" for n in range(FAILURE_DOMAINS)},
            ip="10.0.1.1",
            callers=Address("10.0.1.1", 80),
            readiness=Address("10.0.1.1", 81),
            peer_ports=range(7000, 7010),
            store=Address("10.0.2.1", 1),
            store_limits=StoreLimits(65536, 8_000_000),
            bounds=TimeBounds(8.0, 120.0),
            engine_heartbeat_s=1.2,
        )
        unused: Any = None
        tables = OperatorTables("op", "config", "servers", unused, unused)
        return EntryHost(
            settings,
            EntryPorts(
                clock=self.clock,
                random=self._random,
                table=unused,
                feed=unused,
                objects=unused,
                engine_caller=_SilentEngines(),
                datagrams=unused,
                tables=tables,
            ),
        )

    def reports(self) -> Iterator[_Report]:
        """Return the reports of all hosts in turn, without an end."""
        rounds = (zip(*self._reports, strict=True) for _ in itertools.count())
        return itertools.chain.from_iterable(itertools.chain.from_iterable(rounds))

    def receive(self, report: _Report) -> None:
        """Apply a report as the exchange of load reports does."""
        self.clock.passed_s += self._step_s
        self.host.load_view.apply_report(*report)

    def receive_from_all(self) -> None:
        """Apply one report of each host."""
        for report in itertools.islice(self.reports(), len(self._reports)):
            self.receive(report)

    def add_job(self, name: str, items: int, due_s: float) -> None:
        """Have the host own a job."""
        due_wall_s = START_WALL_S + due_s
        head = JobHead(
            name,
            VIRTUAL_HOST,
            self.host.incarnation,
            JobState.OPEN,
            items,
            START_WALL_S,
            due_wall_s,
            due_wall_s,
        )
        submitted = tuple(
            SubmittedItem(f"{name}-{number}", "/x", (), b"question")
            for number in range(items)
        )
        self.host.worker.add_job(Stored(head_key(name), head, 1), submitted)


def _make_route() -> Route:
    return Route(
        name="route",
        host=VIRTUAL_HOST,
        prefix="/",
        kind=CallKind.BATCH,
        targets=(Target(SERVICE, 1.0),),
        request_limit_s=5.0,
        latency_goal_s=0.3,
        event_gap_goal_s=0.3,
        max_attempts=3,
        resumable=True,
        priority=0,
        completion_goal_s=18.0,
        retention_s=60.0,
    )


async def fleet_cost(
    hosts: int, engines: int, seed: int, limit_s: float = 1.0
) -> FleetCost:
    """
    Return what a fleet of this size costs one host.

    :param limit_s: the processor time to spend on each figure.
    """
    fleet = _Fleet(hosts, engines, seed)
    fleet.receive_from_all()
    choice_s = _mean_s(lambda: _choose(fleet), limit_s)
    applied_s = _applied_cost_s(fleet, limit_s)
    after_reports_s = _mean_s(lambda: _choose(fleet), limit_s, fleet.receive_from_all)
    free_slots_s = _mean_s(lambda: fleet.host.view.free_slots(SERVICE), limit_s)
    async with _working(_Fleet(hosts, engines, seed)) as idle:
        report_idle_s = await _report_cost_s(idle, limit_s)
        round_idle_s = await _round_cost_s(idle, limit_s)
    async with _working(_Fleet(hosts, engines, seed)) as busy:
        await _let_items_wait(busy)
        report_waiting_s = await _report_cost_s(busy, limit_s)
        round_waiting_s = await _round_cost_s(busy, limit_s)
    async with _working(_Fleet(hosts, engines, seed)) as busy:
        await _start_items(busy)
        await _let_items_wait(busy)
        report_running_s = await _report_cost_s(busy, limit_s)
    return FleetCost(
        hosts,
        engines,
        applied_s,
        report_idle_s,
        report_waiting_s,
        report_running_s,
        choice_s,
        after_reports_s,
        free_slots_s,
        round_idle_s,
        round_waiting_s,
    )


def _applied_cost_s(fleet: _Fleet, limit_s: float) -> float:
    reports = fleet.reports()

    def receive_many() -> None:
        for report in itertools.islice(reports, MIN_CALLS):
            fleet.receive(report)

    return _mean_s(receive_many, limit_s) / MIN_CALLS


def _choose(fleet: _Fleet) -> object:
    return fleet.placement.place(SERVICE, fleet.route, (), 0.0)


@asynccontextmanager
async def _working(fleet: _Fleet) -> AsyncIterator[_Fleet]:
    """Run the worker of the host, and end what it started."""
    async with AsyncExitStack() as stack:
        worker = asyncio.create_task(fleet.host.worker.run())
        stack.callback(worker.cancel)
        await _settle()
        yield fleet
    for task in asyncio.all_tasks() - {asyncio.current_task()}:
        task.cancel()
    await _settle()


async def _settle() -> None:
    for _ in range(SETTLING_ITERATIONS):
        await asyncio.sleep(0)


async def _start_items(fleet: _Fleet) -> None:
    fleet.add_job("runs", RUNNING_ITEMS, DUE_S)
    await _pass_report_delay(fleet)


async def _let_items_wait(fleet: _Fleet) -> None:
    await _pass_report_delay(fleet)
    fleet.receive_from_all()
    fleet.add_job("waits", WAITING_ITEMS, DUE_S)
    await _pass_report_delay(fleet)


async def _pass_report_delay(fleet: _Fleet) -> None:
    """Run the worker once the other hosts have this host's backlog."""
    await _settle()
    fleet.clock.passed_s += REPORT_DELAY_S
    fleet.host.worker.wake()
    await _settle()


async def _report_cost_s(fleet: _Fleet, limit_s: float) -> float:
    """Return the time for a report and the work that it wakes."""
    reports = fleet.reports()

    async def receive() -> None:
        fleet.receive(next(reports))
        await _settle()

    async def receive_nothing() -> None:
        next(reports)
        await _settle()

    return await _mean_async_s(receive, limit_s) - await _mean_async_s(
        receive_nothing, limit_s
    )


async def _round_cost_s(fleet: _Fleet, limit_s: float) -> float:
    async def run_round() -> None:
        fleet.host.worker.wake()
        await _settle()

    return await _mean_async_s(run_round, limit_s) - await _mean_async_s(
        _settle, limit_s
    )


def _mean_s(
    action: Callable[[], object],
    limit_s: float,
    before: Callable[[], object] = lambda: None,
) -> float:
    """Return the mean processor time, without that of the calls before."""
    spent_s, count = 0.0, 0
    while count < MIN_CALLS or spent_s < limit_s:
        before()
        started_s = time.process_time()
        action()
        spent_s += time.process_time() - started_s
        count += 1
    return spent_s / count


async def _mean_async_s(
    action: Callable[[], Awaitable[object]], limit_s: float
) -> float:
    spent_s, count = 0.0, 0
    while count < MIN_CALLS or spent_s < limit_s:
        started_s = time.process_time()
        for _ in range(MIN_CALLS):
            await action()
        spent_s += time.process_time() - started_s
        count += MIN_CALLS
    return spent_s / count
