"""
In which order the items of this host's jobs run, and which leave first.

Answers more batch work than there are places: an item counts when it is done
in time, so that items which can't be any more wait until no other does.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

if TYPE_CHECKING:
    from collections.abc import Iterable

    from ._owned import ItemState, OwnedJob
    from ._running import RunningItem

FIRST_EVENT_S = 0.02  # until the first items have shown the pace of the engines
EVENTS_AT_FIRST = 250
PACE_WEIGHT = 0.2  # of the newest item in the moving averages
# Stops and restarts make an item take longer than it runs.
SLACK_FACTOR = 1.25


@attrs.define
class Pace:
    """Moving averages of an item's length and of an event's time."""

    events: float = EVENTS_AT_FIRST
    event_s: float = FIRST_EVENT_S

    def note(self, events: int, run_events: int, run_s: float) -> None:
        """
        Take in an item that was completed.

        :param events: all events of the item.
        :param run_events: those of its last run, which took ``run_s``.
        """
        self.events += PACE_WEIGHT * (events - self.events)
        if run_events:
            self.event_s += PACE_WEIGHT * (run_s / run_events - self.event_s)

    def remaining_s(self, done_events: int) -> float:
        """Return how long an item is expected to run yet."""
        # An item beyond the average is taken to need a tenth of it more.
        left = max(self.events - done_events, self.events / 10)
        return left * self.event_s * SLACK_FACTOR


def in_time(job: OwnedJob, state: ItemState, pace: Pace, wall_s: float) -> bool:
    """Whether an item that starts now can be done when its job is due."""
    remaining_s = pace.remaining_s(len(state.events))
    return wall_s + remaining_s <= job.head.due_wall_s


def ready_items(
    jobs: Iterable[OwnedJob], pace: Pace, now_s: float, wall_s: float
) -> list[tuple[OwnedJob, ItemState]]:
    """Return the items that may be tried, in the order of their start."""
    found = [(job, state) for job in jobs for state in job.ready(now_s)]
    return sorted(
        found,
        key=lambda entry: (
            not in_time(entry[0], entry[1], pace, wall_s),
            entry[0].head.due_wall_s,
            -len(entry[1].events),
        ),
    )


def leaving_order(
    runs: Iterable[RunningItem], pace: Pace, wall_s: float
) -> list[RunningItem]:
    """Return running items, those whose stop costs least first."""
    return sorted(
        runs,
        key=lambda run: (
            in_time(run.job, run.state, pace, wall_s),
            -run.job.head.due_wall_s,
            len(run.state.events),
        ),
    )
