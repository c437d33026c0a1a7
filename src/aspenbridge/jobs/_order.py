"""
The order in which items of this host's jobs start and are preempted.

When more batch items wait than there are free slots, items that can still
complete by the due time of their job come first, since only those count as in
time. The others start when no such item waits, and are preempted first.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

if TYPE_CHECKING:
    from collections.abc import Iterable

    from ._owned import ItemState, OwnedJob
    from ._running import RunningItem

# Assumed averages until the first items have completed: seconds per event, and
# events per item.
INITIAL_EVENT_S = 0.02
INITIAL_EVENTS = 250
NEWEST_WEIGHT = 0.2  # of the newest item in the moving averages
# Preemptions and restarts make an item take longer than its runs.
SLACK_FACTOR = 1.25


@attrs.define
class DurationEstimator:
    """
    Estimates how long items run.

    Keeps moving averages of the events of an item and the seconds per event.
    """

    mean_events: float = INITIAL_EVENTS
    mean_event_s: float = INITIAL_EVENT_S

    def add_completed(self, events: int, run_events: int, run_s: float) -> None:
        """
        Add a completed item to the averages.

        :param events: the number of all events of the item.
        :param run_events: the number of events of its last run.
        :param run_s: how long the last run took.
        """
        self.mean_events += NEWEST_WEIGHT * (events - self.mean_events)
        if run_events:
            self.mean_event_s += NEWEST_WEIGHT * (
                run_s / run_events - self.mean_event_s
            )

    def remaining_s(self, done_events: int) -> float:
        """Return how many more seconds an item is expected to take."""
        # An item longer than the average is expected to need another tenth.
        remaining_events = max(self.mean_events - done_events, self.mean_events / 10)
        return remaining_events * self.mean_event_s * SLACK_FACTOR


def completes_in_time(
    job: OwnedJob, state: ItemState, estimator: DurationEstimator, wall_s: float
) -> bool:
    """Whether an item that runs from now on should complete in time."""
    remaining_s = estimator.remaining_s(len(state.events))
    return wall_s + remaining_s <= job.head.due_wall_s


def ready_items(
    jobs: Iterable[OwnedJob], estimator: DurationEstimator, now_s: float, wall_s: float
) -> list[tuple[OwnedJob, ItemState]]:
    """
    Return the items that may start now, in the order in which they start.

    Items that can complete in time come first, then those of the job that is
    due first, then those with the most events.

    :param now_s: monotonic time, for retry delays.
    :param wall_s: wall-clock time, for due times.
    """
    ready = [(job, state) for job in jobs for state in job.ready(now_s)]
    return sorted(
        ready,
        key=lambda entry: (
            not completes_in_time(entry[0], entry[1], estimator, wall_s),
            entry[0].head.due_wall_s,
            -len(entry[1].events),
        ),
    )


def next_ready_s(jobs: Iterable[OwnedJob], now_s: float) -> float:
    """Return when the next retry delay of a waiting item ends, or infinity."""
    delayed = (
        state.not_before_s
        for job in jobs
        for state in job.waiting
        if state.not_before_s > now_s
    )
    return min(delayed, default=float("inf"))


def preemption_order(
    runs: Iterable[RunningItem], estimator: DurationEstimator, wall_s: float
) -> list[RunningItem]:
    """
    Return running items in the order in which they are preempted.

    Items that can't complete in time come first, then those of the job that is
    due last, then those with the fewest events.
    """
    return sorted(
        runs,
        key=lambda run: (
            completes_in_time(run.job, run.state, estimator, wall_s),
            -run.job.head.due_wall_s,
            len(run.state.events),
        ),
    )
