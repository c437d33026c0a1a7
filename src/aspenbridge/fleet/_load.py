"""
The load on each engine: counted for this host, reported by the others.

The sums are kept as reports arrive and expire, since a host receives hundreds
of reports a second and reads the sums for each request and batch item.
"""

from __future__ import annotations

import heapq
from collections.abc import Mapping
from typing import TYPE_CHECKING

import attrs

from ._slot_assignment import Backlog, items_ahead

if TYPE_CHECKING:
    from collections.abc import Callable

    from aspenbridge.ports import Clock

REPORT_LIFETIME_S = 2.2  # a host sends two reports in this time


@attrs.frozen
class EngineLoad:
    """Requests of one host, or of all hosts, on one engine."""

    online: int = 0
    batch: int = 0

    @property
    def total(self) -> int:
        """Online requests and batch items together."""
        return self.online + self.batch


NO_LOAD = EngineLoad()
NO_BACKLOG = Backlog(0, 0.0)
Backlogs = Mapping[str, Backlog]  # of one host, by service


@attrs.define(eq=False)
class HostLoad:
    """The last load report of another host."""

    by_engine: Mapping[str, EngineLoad]
    backlogs: Backlogs
    valid_until_s: float
    check_s: float  # when to look whether it has expired, until then or before


NO_REPORT = HostLoad({}, {}, 0.0, float("inf"))


@attrs.define(eq=False)
class _EngineSum:
    """The load of all hosts on one engine, and its parts by other host."""

    online: int = 0
    batch: int = 0
    by_host: dict[str, EngineLoad] = attrs.field(factory=dict)


@attrs.define(eq=False)
class _Queue:
    """
    The batch items of the other hosts that wait for one service.

    ``own_turn`` is the place of this host's items in the order of assignment,
    and ``items_ahead`` the number of items that come before it. ``limited`` is
    the number of hosts that don't reach all engines of the service.
    """

    by_host: dict[str, Backlog] = attrs.field(factory=dict)  # without empty ones
    own_turn: tuple[float, str] = (float("-inf"), "")
    items_ahead: int = 0
    limited: int = 0

    def set_own_turn(self, turn: tuple[float, str]) -> None:
        if turn != self.own_turn:
            self.own_turn = turn
            self.items_ahead = items_ahead(turn, self.by_host)

    def replace(self, host: str, backlog: Backlog) -> None:
        previous = self.by_host.pop(host, NO_BACKLOG)
        if backlog.items:
            self.by_host[host] = backlog
        self.limited += bool(backlog.items and backlog.unreachable)
        self.limited -= bool(previous.items and previous.unreachable)
        if (previous.due_wall_s, host) < self.own_turn:
            self.items_ahead -= previous.items
        if (backlog.due_wall_s, host) < self.own_turn:
            self.items_ahead += backlog.items


class LoadView:
    """
    The load on every engine, counted by host and summed over the hosts.

    Other hosts are identified by their incarnations.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._own: dict[str, EngineLoad] = {}
        self._reports: dict[str, HostLoad] = {}  # valid ones, by incarnation
        # A heap of ``check_s`` and host. An entry counts while the host's
        # report names its time; most reports are replaced before they expire.
        self._checks: list[tuple[float, str]] = []
        self._sums: dict[str, _EngineSum] = {}  # by engine
        self._queues: dict[str, _Queue] = {}  # by service
        self._own_backlogs: Backlogs = {}
        self.on_own_change: Callable[[], None] = lambda: None
        # Called with engine, online requests and batch items of all hosts.
        self.on_load_change: Callable[[str, int, int], None] = lambda *load: None
        # Called when slots may be free, or more used than there are: after a
        # change of this host's requests, a report, or the loss of one.
        self.on_change: Callable[[], None] = lambda: None

    def add(self, engine_id: str, *, online: int = 0, batch: int = 0) -> None:
        """Add started requests of this host; ended requests are negative."""
        load = self._own.get(engine_id, NO_LOAD)
        changed = EngineLoad(load.online + online, load.batch + batch)
        self._add_to_sum(engine_id, online, batch)
        if changed.total:
            self._own[engine_id] = changed
        else:
            self._own.pop(engine_id, None)
            self._drop_if_unused(engine_id)
        self.on_own_change()
        self.on_change()

    def set_backlogs(self, backlogs: Backlogs) -> None:
        """Set the batch items that wait at this host, by service."""
        if backlogs != self._own_backlogs:
            self._own_backlogs = backlogs
            self.on_own_change()

    @property
    def own_backlogs(self) -> Backlogs:
        """The batch items that wait at this host, by service."""
        return self._own_backlogs

    def backlogs(self, service: str, own_host: str) -> dict[str, Backlog]:
        """
        Return the backlogs of a service that are not empty, by host.

        Backlogs of other hosts whose last report has expired are left out.

        :param own_host: the key for this host's backlog.
        """
        self.drop_expired()
        queue = self._queues.get(service)
        backlogs = {} if queue is None else dict(queue.by_host)
        own = self._own_backlogs.get(service, NO_BACKLOG)
        if own.items:
            backlogs[own_host] = own
        return backlogs

    def items_ahead(self, service: str, own_host: str) -> int:
        """
        Return the items that get slots of a service before this host's.

        :param own_host: the key that orders this host among the others.
        """
        self.drop_expired()
        queue = self._queues.get(service)
        if queue is None:
            return 0
        own = self._own_backlogs.get(service, NO_BACKLOG)
        queue.set_own_turn((own.due_wall_s, own_host))
        return queue.items_ahead

    def all_reach_engines(self, service: str) -> bool:
        """Whether all hosts with waiting items reach a service's engines."""
        self.drop_expired()
        if self._own_backlogs.get(service, NO_BACKLOG).unreachable:
            return False
        queue = self._queues.get(service)
        return queue is None or not queue.limited

    def apply_report(
        self,
        host: str,
        by_engine: Mapping[str, EngineLoad],
        backlogs: Backlogs,
        age_s: float = 0.0,
    ) -> None:
        """
        Replace the last report of another host.

        :param age_s: the time since the host made the report, which others may
            have passed on.
        """
        valid_until_s = self._clock.now_s() + REPORT_LIFETIME_S - age_s
        previous = self._reports.get(host, NO_REPORT)
        check_s = min(previous.check_s, valid_until_s)
        self._reports[host] = HostLoad(by_engine, backlogs, valid_until_s, check_s)
        if check_s != previous.check_s:
            heapq.heappush(self._checks, (check_s, host))
        self._replace_loads(host, previous.by_engine, by_engine)
        self._replace_backlogs(host, previous.backlogs, backlogs)
        self.drop_expired()
        self.on_change()

    def remove_host(self, host: str) -> None:
        """Drop the report of a host that was removed."""
        report = self._reports.pop(host, None)
        if report is not None:
            self._replace_loads(host, report.by_engine, {})
            self._replace_backlogs(host, report.backlogs, {})
            self.on_change()

    def own_load(self, engine_id: str) -> EngineLoad:
        """Return the load of this host on an engine."""
        return self._own.get(engine_id, NO_LOAD)

    def own_loads(self) -> dict[str, EngineLoad]:
        """Return the load of this host by engine."""
        return dict(self._own)

    def loads_by_host(self, engine_id: str) -> dict[str, EngineLoad]:
        """Return the load of the other hosts on an engine, by host."""
        self.drop_expired()
        engine_sum = self._sums.get(engine_id)
        return {} if engine_sum is None else dict(engine_sum.by_host)

    def reporting_hosts(self) -> int:
        """Return the number of other hosts whose last report is valid."""
        self.drop_expired()
        return len(self._reports)

    def load(self, engine_id: str) -> EngineLoad:
        """Return the load of all hosts on an engine."""
        self.drop_expired()
        engine_sum = self._sums.get(engine_id)
        if engine_sum is None:
            return NO_LOAD
        return EngineLoad(engine_sum.online, engine_sum.batch)

    def drop_expired(self) -> None:
        """Take expired reports out of the sums; each answer does so first."""
        now_s = self._clock.now_s()
        while self._checks and self._checks[0][0] <= now_s:
            check_s, host = heapq.heappop(self._checks)
            report = self._reports.get(host, NO_REPORT)
            if report.check_s != check_s:
                continue
            if report.valid_until_s <= now_s:
                self.remove_host(host)
            else:
                report.check_s = report.valid_until_s
                heapq.heappush(self._checks, (report.check_s, host))

    def _replace_loads(
        self,
        host: str,
        previous: Mapping[str, EngineLoad],
        by_engine: Mapping[str, EngineLoad],
    ) -> None:
        """Put a host's new loads into the sums in place of the last ones."""
        for engine_id, load in by_engine.items():
            before = previous.get(engine_id, NO_LOAD)
            online, batch = load.online - before.online, load.batch - before.batch
            if online or batch:
                self._add_to_sum(engine_id, online, batch).by_host[host] = load
        for engine_id, load in previous.items():
            if engine_id not in by_engine:
                engine_sum = self._add_to_sum(engine_id, -load.online, -load.batch)
                engine_sum.by_host.pop(host, None)
                self._drop_if_unused(engine_id)

    def _replace_backlogs(
        self, host: str, previous: Backlogs, backlogs: Backlogs
    ) -> None:
        """Replace the last backlogs of a host in the queues."""
        if backlogs == previous:
            return
        for service in {*previous, *backlogs}:
            queue = self._queues.setdefault(service, _Queue())
            queue.replace(host, backlogs.get(service, NO_BACKLOG))
            if not queue.by_host:
                del self._queues[service]

    def _add_to_sum(self, engine_id: str, online: int, batch: int) -> _EngineSum:
        engine_sum = self._sums.get(engine_id)
        if engine_sum is None:
            engine_sum = self._sums[engine_id] = _EngineSum()
        engine_sum.online += online
        engine_sum.batch += batch
        self.on_load_change(engine_id, engine_sum.online, engine_sum.batch)
        return engine_sum

    def _drop_if_unused(self, engine_id: str) -> None:
        if not self._sums[engine_id].by_host and engine_id not in self._own:
            del self._sums[engine_id]
