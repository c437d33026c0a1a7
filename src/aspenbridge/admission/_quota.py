"""
Decides whether a batch job may join those that wait on its route.

Answers a load of jobs that arrive faster than engines finish them: beyond the
limit of a route, a job is refused at once, and its caller is told when the
engines should have made room for it.
"""

from __future__ import annotations

from collections import Counter, deque
from enum import Enum
from typing import TYPE_CHECKING, Protocol

import attrs

if TYPE_CHECKING:
    from collections.abc import Iterable
    from random import Random

    from aspenbridge.ports import Clock

FREED_WINDOW_S = 5.0  # several items end within it on an engine that works
MIN_RETRY_S = 0.5  # a job that returns earlier mostly meets the same count
MAX_RETRY_S = 10.0  # a later return leaves no time to complete the job
# Exceeds the time in which a host writes the head of a job, and that by which
# the store may perform a write later.
RESERVATION_S = 10.0
RETRY_SPREAD = 0.5  # share by which callers' returns are drawn apart


class Verdict(Enum):
    """Whether a job is admitted, and if not, why."""

    ADMITTED = "admitted"
    FULL = "full"
    NEVER_FITS = "never fits"


@attrs.frozen
class AdmissionDecision:
    """
    A decision on one job, with the counts that led to it.

    ``waiting_tokens`` does not include the job. ``limit_tokens`` is 0 if the
    route has no limit. ``retry_after_s`` is when room is expected; None for a
    job that is admitted and for one that fits into no empty route.
    """

    route: str
    verdict: Verdict
    job_tokens: int
    waiting_tokens: int
    limit_tokens: int
    retry_after_s: float | None = None

    @property
    def admitted(self) -> bool:
        """Whether the job may be accepted."""
        return self.verdict is Verdict.ADMITTED


@attrs.frozen
class Reservation:
    """
    Room for a job whose head may not be written yet.

    ``mark`` is drawn for each reservation, so that one that is made anew for
    the same job lasts anew.
    """

    job_id: str
    tokens: int
    mark: str


class AdmissionQuota(Protocol):
    """Counts the tokens that wait on each route; decides on new jobs."""

    def track(self, job_id: str, route: str, waiting_tokens: int) -> None:
        """Set the tokens of a job that wait, in place of an earlier count."""

    def forget(self, job_id: str) -> None:
        """Count a job as one that waits for nothing any more."""

    def waiting_tokens(self, route: str) -> int:
        """Return the tokens that wait on a route."""

    def decide(
        self, route: str, limit_tokens: int, job_tokens: int, reserved_tokens: int = 0
    ) -> AdmissionDecision:
        """
        Decide on a job that is not counted yet.

        :param limit_tokens: the most tokens that may wait; 0 for no limit.
        :param reserved_tokens: of other jobs that are not tracked yet.
        """


class ReservationBook:
    """
    Tells which reservations of a route still hold.

    One lapses some time after this host has first seen it, by its own steady
    clock. Until then the job's head may still be written.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._seen_s: dict[str, dict[Reservation, float]] = {}  # by route

    def update(self, route: str, reservations: Iterable[Reservation]) -> None:
        """Take the reservations that a route has now."""
        before, now_s = self._seen_s.get(route, {}), self._clock.now_s()
        self._seen_s[route] = {
            reservation: before.get(reservation, now_s) for reservation in reservations
        }

    def holding(self, route: str) -> list[Reservation]:
        """Return the reservations of a route that have not lapsed."""
        oldest_s = self._clock.now_s() - RESERVATION_S
        return [
            reservation
            for reservation, seen_s in self._seen_s.get(route, {}).items()
            if seen_s > oldest_s
        ]


class CountedQuota:
    """A quota that sums up the known jobs; satisfies ``AdmissionQuota``."""

    def __init__(self, clock: Clock, random: Random) -> None:
        self._clock = clock
        self._random = random
        self._jobs: dict[str, tuple[str, int]] = {}  # route and tokens, by job
        self._waiting_tokens: Counter[str] = Counter()  # by route
        # When tokens were freed, and how many, by route.
        self._freed: dict[str, deque[tuple[float, int]]] = {}

    def track(self, job_id: str, route: str, waiting_tokens: int) -> None:
        """Set the tokens of a job that wait, in place of an earlier count."""
        before_tokens = self._remove(job_id)
        if waiting_tokens > 0:
            self._jobs[job_id] = (route, waiting_tokens)
            self._waiting_tokens[route] += waiting_tokens
        self._note_freed(route, before_tokens - waiting_tokens)

    def forget(self, job_id: str) -> None:
        """Count a job as one that waits for nothing any more."""
        route, _ = self._jobs.get(job_id, ("", 0))
        self._note_freed(route, self._remove(job_id))

    def waiting_tokens(self, route: str) -> int:
        """Return the tokens that wait on a route."""
        return self._waiting_tokens[route]

    def decide(
        self, route: str, limit_tokens: int, job_tokens: int, reserved_tokens: int = 0
    ) -> AdmissionDecision:
        """
        Decide on a job that is not counted yet.

        :param limit_tokens: the most tokens that may wait; 0 for no limit.
        :param reserved_tokens: of other jobs that are not tracked yet.
        """
        waiting_tokens = self._waiting_tokens[route] + reserved_tokens
        missing_tokens = waiting_tokens + job_tokens - limit_tokens
        verdict, retry_after_s = Verdict.ADMITTED, None
        if limit_tokens and job_tokens > limit_tokens:
            verdict = Verdict.NEVER_FITS
        elif limit_tokens and missing_tokens > 0:
            verdict = Verdict.FULL
            retry_after_s = self._room_expected_s(route, missing_tokens)
        return AdmissionDecision(
            route, verdict, job_tokens, waiting_tokens, limit_tokens, retry_after_s
        )

    def _remove(self, job_id: str) -> int:
        """Stop counting a job; return the tokens that were counted for it."""
        route, tokens = self._jobs.pop(job_id, ("", 0))
        if tokens:
            self._waiting_tokens[route] -= tokens
            if not self._waiting_tokens[route]:
                del self._waiting_tokens[route]
        return tokens

    def _note_freed(self, route: str, tokens: int) -> None:
        if tokens <= 0:
            return
        freed = self._freed.setdefault(route, deque())
        freed.append((self._clock.now_s(), tokens))
        self._drop_old(freed)

    def _drop_old(self, freed: deque[tuple[float, int]]) -> None:
        oldest_s = self._clock.now_s() - FREED_WINDOW_S
        while freed and freed[0][0] < oldest_s:
            freed.popleft()

    def _room_expected_s(self, route: str, missing_tokens: int) -> float:
        """
        Return after how long so many tokens should be free.

        Assumes that tokens go on to be freed as in the last seconds. The times
        are spread, since all callers that are refused would otherwise return
        together.
        """
        freed = self._freed.get(route, deque())
        self._drop_old(freed)
        tokens_per_s = sum(tokens for _, tokens in freed) / FREED_WINDOW_S
        wait_s = missing_tokens / tokens_per_s if tokens_per_s else MAX_RETRY_S
        spread = self._random.uniform(1.0, 1.0 + RETRY_SPREAD)
        return min(max(wait_s, MIN_RETRY_S), MAX_RETRY_S) * spread
