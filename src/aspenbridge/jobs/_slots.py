"""Decides when this host may start batch items, and on which engines."""

from __future__ import annotations

from collections import deque
from typing import TYPE_CHECKING

import attrs

from aspenbridge.fleet import Backlog, assign_slots

from ._order import completes_in_time

if TYPE_CHECKING:
    from collections.abc import Mapping, Sequence

    from aspenbridge.fleet import EngineEntry, EngineView, LoadView, Route
    from aspenbridge.ports import Clock

    from ._order import DurationEstimator
    from ._owned import ItemState, OwnedJob

# Time in which a load report reaches the hosts of other regions.
REPORT_DELAY_S = 0.06
# Added to the due time of a backlog whose first item can't complete in time,
# so that its host is assigned slots after the hosts whose first item can.
LATE_PENALTY_S = 1e6


class SlotAssignment:
    """
    Reports this host's backlogs and computes the slots it may use.

    All hosts compute the same assignment from the same reports, so a host
    waits until the others have received its latest report. An engine that
    accepts no connection of this host gets none of its items but one now and
    then that has no slot, which tells whether the engine can be used again.
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
        self._reported_items = 0
        self._report_received_s = 0.0  # when the other hosts have the latest report

    @property
    def report_delay_s(self) -> float:
        """Time until the other hosts have the latest report; <= 0 after it."""
        return self._report_received_s - self._clock.now_s()

    def report_backlogs(
        self, waiting: Sequence[tuple[OwnedJob, ItemState, Route]]
    ) -> None:
        """
        Report the waiting items of each service and their first due time.

        :param waiting: the items that may start now, in the order of their
            start.
        """
        backlogs: dict[str, Backlog] = {}
        for job, state, route in waiting:
            for service in route.services:
                known = backlogs.get(service)
                backlogs[service] = (
                    Backlog(
                        1,
                        self._turn_wall_s(job, state),
                        self._view.unreachable(service),
                    )
                    if known is None
                    else attrs.evolve(known, items=known.items + 1)
                )
        if self.report_delay_s <= 0 and self._unreachable_changed(backlogs):
            self.start_report_delay()
        self._load_view.set_backlogs(backlogs)

    def _unreachable_changed(self, backlogs: Mapping[str, Backlog]) -> bool:
        """Whether the last report names other engines as unreachable."""
        reported = self._load_view.own_backlogs
        return any(
            service in reported and backlog.unreachable != reported[service].unreachable
            for service, backlog in backlogs.items()
        )

    def _turn_wall_s(self, job: OwnedJob, state: ItemState) -> float:
        """Return the time that orders a backlog which begins with an item."""
        in_time = completes_in_time(job, state, self._estimator, self._clock.wall_s())
        return job.head.due_wall_s + (0.0 if in_time else LATE_PENALTY_S)

    def track_backlog(self, count: int) -> bool:
        """
        Record the number of waiting items, and start a delay if it has grown.

        A delay that is running already is not prolonged.

        :return: whether the delay is over, so that the other hosts have
            received the backlog.
        """
        if count > self._reported_items and self.report_delay_s <= 0:
            self.start_report_delay()
        self._reported_items = count
        return self.report_delay_s <= 0

    def start_report_delay(self) -> None:
        """
        Start no item for ``REPORT_DELAY_S``.

        By then the other hosts have received this host's latest report.
        """
        self._report_received_s = self._clock.now_s() + REPORT_DELAY_S

    def any_assigned(self) -> bool:
        """
        Whether a waiting item may start on a slot that is assigned to it.

        Costs little, since the answer is no for most load reports.
        """
        if self.report_delay_s > 0:
            return False
        return any(map(self._any_assigned, self._load_view.own_backlogs))

    def _any_assigned(self, service: str) -> bool:
        free = self._view.free_slot_count(service)
        if not free or self._load_view.all_reach_engines(service):
            return free > self._load_view.items_ahead(service, self._incarnation)
        return bool(self._assigned(service) or self._engines_to_retry(service))

    def assigned_slots(self) -> Mapping[str, deque[EngineEntry]]:
        """Return the engines to start items on by service, one a slot."""
        services = self._load_view.own_backlogs
        return {service: deque(self._assigned(service)) for service in services}

    def _assigned(self, service: str) -> list[EngineEntry]:
        backlogs = self._load_view.backlogs(service, self._incarnation)
        free = self._view.free_slots(service)
        return self._view.usable(assign_slots(self._incarnation, backlogs, free))

    def engines_to_retry(self) -> Mapping[str, list[EngineEntry]]:
        """
        Return engines that accepted no connection and may do so by now.

        They are returned by service. Each may get one item that has no slot.
        """
        services = self._load_view.own_backlogs
        return {service: self._engines_to_retry(service) for service in services}

    def _engines_to_retry(self, service: str) -> list[EngineEntry]:
        free = self._view.free_slots(service)
        unreachable = self._view.unreachable(service).intersection(free)
        return self._view.usable(sorted(unreachable))
