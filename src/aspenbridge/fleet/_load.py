"""The load on each engine: counted for this host, reported by the others."""

from __future__ import annotations

from collections import defaultdict
from typing import TYPE_CHECKING

import attrs

from ._slot_assignment import Backlog

if TYPE_CHECKING:
    from collections.abc import Callable, Mapping

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


@attrs.frozen
class HostLoad:
    """The last load report of another host."""

    by_engine: Mapping[str, EngineLoad]
    backlog: Backlog
    valid_until_s: float


class LoadView:
    """
    The load on every engine, counted by host and summed over the hosts.

    Other hosts are identified by their incarnations.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._own: dict[str, EngineLoad] = defaultdict(EngineLoad)
        self._reports: dict[str, HostLoad] = {}  # by incarnation
        self._own_backlog = NO_BACKLOG
        self.on_own_change: Callable[[], None] = lambda: None
        # Called when slots may have become free: when a request of this host
        # ends, and when a report arrives.
        self.on_capacity_change: Callable[[], None] = lambda: None

    def add(self, engine_id: str, *, online: int = 0, batch: int = 0) -> None:
        """Add started requests of this host; ended requests are negative."""
        load = self._own[engine_id]
        changed = EngineLoad(load.online + online, load.batch + batch)
        if changed.total:
            self._own[engine_id] = changed
        else:
            del self._own[engine_id]
        self.on_own_change()
        if online < 0 or batch < 0:
            self.on_capacity_change()

    def set_backlog(self, backlog: Backlog) -> None:
        """Set the batch items that wait at this host."""
        if backlog != self._own_backlog:
            self._own_backlog = backlog
            self.on_own_change()

    @property
    def own_backlog(self) -> Backlog:
        """The batch items that wait at this host."""
        return self._own_backlog

    def backlogs(self, own_host: str) -> dict[str, Backlog]:
        """
        Return the backlogs that are not empty, by host.

        Backlogs of other hosts whose last report has expired are left out.

        :param own_host: the key for this host's backlog.
        """
        now_s = self._clock.now_s()
        backlogs = {
            host: report.backlog
            for host, report in self._reports.items()
            if report.backlog.items and now_s < report.valid_until_s
        }
        if self._own_backlog.items:
            backlogs[own_host] = self._own_backlog
        return backlogs

    def apply_report(
        self,
        host: str,
        by_engine: Mapping[str, EngineLoad],
        backlog: Backlog,
        age_s: float = 0.0,
    ) -> None:
        """
        Replace the last report of another host.

        :param age_s: the time since the host made the report, which others may
            have passed on.
        """
        valid_until_s = self._clock.now_s() + REPORT_LIFETIME_S - age_s
        self._reports[host] = HostLoad(by_engine, backlog, valid_until_s)
        self.on_capacity_change()

    def remove_host(self, host: str) -> None:
        """Drop the report of a host that was removed."""
        self._reports.pop(host, None)

    def own_load(self, engine_id: str) -> EngineLoad:
        """Return the load of this host on an engine."""
        return self._own.get(engine_id, NO_LOAD)

    def own_loads(self) -> dict[str, EngineLoad]:
        """Return the load of this host by engine."""
        return dict(self._own)

    def loads_by_host(self, engine_id: str) -> dict[str, EngineLoad]:
        """Return the load of the other hosts on an engine, by host."""
        now_s = self._clock.now_s()
        return {
            host: report.by_engine[engine_id]
            for host, report in self._reports.items()
            if engine_id in report.by_engine and now_s < report.valid_until_s
        }

    def reporting_hosts(self) -> int:
        """Return the number of other hosts whose last report is valid."""
        now_s = self._clock.now_s()
        return sum(now_s < report.valid_until_s for report in self._reports.values())

    def load(self, engine_id: str) -> EngineLoad:
        """Return the load of all hosts on an engine."""
        loads = [self.own_load(engine_id), *self.loads_by_host(engine_id).values()]
        return EngineLoad(
            sum(load.online for load in loads), sum(load.batch for load in loads)
        )
