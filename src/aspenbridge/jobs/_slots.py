"""When this host may start batch items, and at which engines."""

from __future__ import annotations

from typing import TYPE_CHECKING

from aspenbridge.fleet import NO_BACKLOG, Backlog, deal_places

from ._order import in_time

if TYPE_CHECKING:
    from collections.abc import Sequence

    from aspenbridge.fleet import EngineEntry, EngineView, LoadBoard, Route
    from aspenbridge.ports import Clock

    from ._order import Pace
    from ._owned import ItemState, OwnedJob

HEADROOM = 1  # places of an engine that batch items leave free
# A report of what was started reaches the hosts of other regions in this time.
REPORT_DELAY_S = 0.06
# Puts a backlog of items that can't be in time behind all others.
LATE_RANK_S = 1e6


class Turns:
    """Tells the other hosts what waits here and deals out the free places."""

    def __init__(
        self,
        incarnation: str,
        view: EngineView,
        board: LoadBoard,
        pace: Pace,
        clock: Clock,
    ) -> None:
        self._incarnation = incarnation
        self._view = view
        self._board = board
        self._pace = pace
        self._clock = clock
        self._announced_items = 0
        self._heard_s = 0.0  # when the others know what waits here

    @property
    def pause_s(self) -> float:
        """Time until the others know what this host has done last."""
        return self._heard_s - self._clock.now_s()

    def note(self, waiting: Sequence[tuple[OwnedJob, ItemState, Route]]) -> None:
        """Report how many items wait and when the first of them is due."""
        if not waiting:
            self._board.set_backlog(NO_BACKLOG)
            return
        job, state, _ = waiting[0]
        due_wall_s = job.head.due_wall_s
        if not in_time(job, state, self._pace, self._clock.wall_s()):
            due_wall_s += LATE_RANK_S
        self._board.set_backlog(Backlog(len(waiting), due_wall_s))

    def announced(self, count: int) -> bool:
        """Whether the other hosts have heard that so many items wait."""
        if count > self._announced_items and self.pause_s <= 0:
            self.wait_for_reports()
        self._announced_items = count
        return self.pause_s <= 0

    def wait_for_reports(self) -> None:
        """Start nothing until the others have heard of what has changed."""
        self._heard_s = self._clock.now_s() + REPORT_DELAY_S

    def places(self) -> list[str]:
        """Return the engines that items may start on, one entry a place."""
        backlogs = self._board.backlogs(self._incarnation)
        return deal_places(
            self._incarnation, backlogs, self._view.free_places(HEADROOM)
        )

    def take(self, places: list[str], service: str) -> EngineEntry | None:
        """Take the first place at an engine of a service out of a list."""
        usable = {c.engine.id: c.engine for c in self._view.candidates(service)}
        for engine_id in places:
            if engine_id in usable:
                places.remove(engine_id)
                return usable[engine_id]
        return None
