"""Decides whether a host may act on the revision that it has applied."""

from __future__ import annotations

from enum import Enum

import attrs


class Freshness(Enum):
    """Whether a host may act on the revision that it has applied, and why."""

    CONFIRMED = "the head was read in time"
    MAJORITY = "the store is silent and most hosts know of nothing newer"
    UNSURE = "a newer revision may be in force"

    @property
    def may_act(self) -> bool:
        """Whether the host may act on the revision, so accept new work."""
        return self is not Freshness.UNSURE


@attrs.frozen
class FreshnessInputs:
    """
    What one host knows about revisions and other hosts at one time.

    ``revision`` is the one that the host has applied, and ``newest_reported``
    the highest one that any peer has reported. ``confirmed_s`` is when its
    revision was last known to be the newest, on the same monotonic clock as
    ``now_s``; None if it was never confirmed. Both counts of hosts include
    this one; ``reached_hosts`` are those from which messages were received
    within ``FreshnessPolicy.fresh_limit_s``. While the platform's host list
    was never read, ``host_list_read`` is False, and ``known_hosts`` may be too
    low to tell what a majority is.
    """

    now_s: float
    revision: int
    newest_reported: int
    confirmed_s: float | None
    reached_hosts: int
    known_hosts: int
    host_list_read: bool = True

    @property
    def reaches_majority(self) -> bool:
        """Whether this host is in contact with a majority of known hosts."""
        return self.host_list_read and 2 * self.reached_hosts > self.known_hosts


@attrs.frozen
class FreshnessPolicy:
    """
    Decides whether a host may act on the revision that it has applied.

    A change is accepted only by a host in contact with a majority. Two
    majorities share a host, so a host that reaches a majority and receives no
    report of a newer revision has missed no change.
    """

    fresh_limit_s: float  # how long a confirmation of the revision is valid

    def recently_confirmed(self, now_s: float, confirmed_s: float | None) -> bool:
        """Return whether the revision was confirmed within the time limit."""
        return confirmed_s is not None and confirmed_s >= now_s - self.fresh_limit_s

    def evaluate(self, inputs: FreshnessInputs) -> Freshness:
        """
        Return whether the host may act on its revision, and why.

        Contact with a majority counts only after the first confirmation.
        """
        confirmed_s = inputs.confirmed_s
        if self.recently_confirmed(inputs.now_s, confirmed_s):
            return Freshness.CONFIRMED
        newer_reported = inputs.newest_reported > inputs.revision
        if confirmed_s is not None and inputs.reaches_majority and not newer_reported:
            return Freshness.MAJORITY
        return Freshness.UNSURE
