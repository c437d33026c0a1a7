"""Decides whether a host may act on the revision that it knows."""

from __future__ import annotations

from enum import Enum

import attrs


class Verdict(Enum):
    """Whether the known revision may be acted on, and why."""

    CONFIRMED = "the head was read in time"
    MAJORITY = "the store is silent and most hosts know of nothing newer"
    UNSURE = "a newer revision may be in force"

    @property
    def sure(self) -> bool:
        """Whether new work may be taken."""
        return self is not Verdict.UNSURE


@attrs.frozen
class Knowledge:
    """What one host knows at one moment."""

    now_s: float
    revision: int
    newest_heard: int
    confirmed_s: float | None
    reached_hosts: int
    known_hosts: int
    list_was_read: bool = True

    @property
    def majority(self) -> bool:
        """Whether this host is in contact with most of the known hosts."""
        return self.list_was_read and 2 * self.reached_hosts > self.known_hosts


@attrs.frozen
class FreshnessPolicy:
    """
    The rule on acting upon a revision.

    A change is accepted only by a host in contact with a majority. Two
    majorities share a host, so a host that reaches a majority and hears of
    nothing newer has missed no change.
    """

    fresh_limit_s: float

    def confirmed(self, now_s: float, confirmed_s: float | None) -> bool:
        """Return whether the head was read in time."""
        return confirmed_s is not None and confirmed_s >= now_s - self.fresh_limit_s

    def judge(self, knowledge: Knowledge) -> Verdict:
        """Return whether the known revision may be acted on."""
        confirmed_s = knowledge.confirmed_s
        if self.confirmed(knowledge.now_s, confirmed_s):
            return Verdict.CONFIRMED
        newer = knowledge.newest_heard > knowledge.revision
        if confirmed_s is not None and knowledge.majority and not newer:
            return Verdict.MAJORITY
        return Verdict.UNSURE
