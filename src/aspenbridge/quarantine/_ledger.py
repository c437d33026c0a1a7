"""
Counts the engine crashes under each request and decides what may run.

A connection that ends in the middle of a request is a crash until the list of
engines shows that the engine lives. A run that breaks off in another way is a
crash once the list shows that the engine has ended. Crashes are counted by
starts of engines, so hosts that saw the same crash count it once. A request is
quarantined after ``QUARANTINE_CRASHES``; trials let an innocent request clear
itself.

For load on which engines crash, of themselves or under a request that comes
again at any host.
"""

from __future__ import annotations

from enum import Enum
from typing import TYPE_CHECKING, NamedTuple

import attrs

if TYPE_CHECKING:
    from collections.abc import Iterator

    from aspenbridge.fleet import EngineEntry

QUARANTINE_CRASHES = 3
# How long a quarantined request waits for each of its trials.
TRIAL_DELAYS_S = (15.0, 30.0)
RETENTION_S = 3600.0  # from a request's last crash until it is forgotten
# An engine is down for longer than this after a crash, and all hosts see the
# crash within it.
SAME_CRASH_WINDOW_S = 1.0
MAX_REQUESTS = 1000  # up to 2 MB of memory with five crashes each
# Clocks and delays of two hosts may put a crash this much after its clearing.
CLEARING_SLACK_S = 0.2


class CrashId(NamedTuple):
    """
    What all hosts that saw a crash call it.

    ``started_ms`` is the start of the engine that ended, as the list of
    engines gave it. ``number`` counts the crashes under one request since
    then; it is above 0 if the engine started again and the list did not tell.
    """

    engine_id: str
    started_ms: int
    number: int = 0


class Verdict(Enum):
    """What the list of engines says of an engine whose connection ended."""

    ENDED = "ended"
    ALIVE = "alive"
    PENDING = "pending"


@attrs.define
class Crash:
    """
    A crash of an engine under a request.

    ``at_s`` is the monotonic time at which the run broke off. ``silent``: the
    connection did not end, but no data came in time or the caller left.
    ``confirmed`` tells whether the engine has ended for certain, ``stored``
    whether the store holds a row of the crash. ``write_at_s`` is when this
    host writes the row, unless another host has by then.
    """

    id: CrashId
    at_s: float
    silent: bool = False
    confirmed: bool = False
    stored: bool = False
    write_at_s: float = float("inf")

    @property
    def counted(self) -> bool:
        """Whether it counts as a crash now."""
        return self.confirmed or not self.silent


@attrs.define
class Suspect:
    """The crashes under a request, and its trials."""

    crashes: dict[CrashId, Crash] = attrs.field(factory=dict)
    # When each trial began, by its number; the first one has number 1.
    trials: dict[int, float] = attrs.field(factory=dict)
    last_trial: int = 0  # its number, also if it was removed

    @property
    def last_s(self) -> float:
        """When the last crash happened or the last trial began."""
        crashes_s = [crash.at_s for crash in self.crashes.values()]
        return max((*self.trials.values(), *crashes_s), default=float("-inf"))

    @property
    def count(self) -> int:
        """How many crashes count now."""
        return sum(crash.counted for crash in self.crashes.values())

    @property
    def quarantined(self) -> bool:
        """Whether the request runs in trials only."""
        return self.count >= QUARANTINE_CRASHES

    def allowed_from_s(self) -> float:
        """Return from when on the request may run."""
        if not self.quarantined:
            return float("-inf")
        delays_s = (*TRIAL_DELAYS_S, RETENTION_S)
        return self.last_s + delays_s[min(len(self.trials), len(TRIAL_DELAYS_S))]


def judge_engine(
    crash: Crash, entry: EngineEntry | None, list_read_s: float, silence_limit_s: float
) -> Verdict:
    """
    Return whether an engine has ended since its connection did.

    :param entry: the engine's present entry in the list of engines.
    :param list_read_s: when the list was last known to be current, in
        monotonic seconds.
    :param silence_limit_s: how long a silent engine stays in the list.
    """
    if list_read_s <= crash.at_s:
        return Verdict.PENDING
    if entry is None or entry.started_ms != crash.id.started_ms:
        return Verdict.ENDED
    if entry.draining or list_read_s - crash.at_s > silence_limit_s:
        return Verdict.ALIVE
    return Verdict.PENDING


class CrashLedger:
    """The crashes that this host knows of, by request fingerprint."""

    def __init__(self) -> None:
        self._suspects: dict[str, Suspect] = {}
        self._cleared_s: dict[str, float] = {}
        self._evicted: list[tuple[str, Suspect]] = []

    def __len__(self) -> int:
        return len(self._suspects)

    def crashes(self) -> Iterator[tuple[str, Crash]]:
        """Iterate over all crashes with the fingerprints of their requests."""
        for fingerprint, suspect in list(self._suspects.items()):
            for crash in list(suspect.crashes.values()):
                yield fingerprint, crash

    def is_suspect(self, fingerprint: str) -> bool:
        """Whether an engine may have crashed under the request."""
        return fingerprint in self._suspects

    def crash_count(self, fingerprint: str) -> int:
        """Return how many engines have crashed under the request."""
        suspect = self._suspects.get(fingerprint)
        return suspect.count if suspect else 0

    def allowed_from_s(self, fingerprint: str) -> float:
        """Return from when on a request may run; minus infinity for most."""
        suspect = self._suspects.get(fingerprint)
        return float("-inf") if suspect is None else suspect.allowed_from_s()

    def crash_id(
        self,
        fingerprint: str,
        engine_id: str,
        started_ms: int,
        now_s: float,
        *,
        list_current: bool,
    ) -> CrashId:
        """
        Return the id of a crash of an engine that this host sees now.

        :param list_current: whether the list of engines would show that the
            engine started again since an earlier crash.
        """
        suspect = self._suspects.get(fingerprint)
        earlier = [
            crash
            for crash in (suspect.crashes.values() if suspect else ())
            if crash.id[:2] == (engine_id, started_ms)
        ]
        if not earlier:
            return CrashId(engine_id, started_ms)
        last = max(earlier, key=lambda crash: crash.id.number)
        same = list_current or now_s - last.at_s < SAME_CRASH_WINDOW_S
        return last.id if same else last.id._replace(number=last.id.number + 1)

    def record(self, fingerprint: str, crash: Crash) -> Crash | None:
        """
        Add a crash, or what is new about one that is known.

        :return: the crash as it is kept, or None if the request has been
            cleared since the crash.
        """
        if crash.at_s <= self._cleared_s.get(fingerprint, float("-inf")):
            return None
        suspect = self._suspects.get(fingerprint)
        if suspect is None:
            if len(self._suspects) >= MAX_REQUESTS:
                self._drop_least_suspect()
            suspect = self._suspects[fingerprint] = Suspect()
        known = suspect.crashes.setdefault(crash.id, crash)
        known.silent = known.silent and crash.silent
        known.confirmed = known.confirmed or crash.confirmed
        known.stored = known.stored or crash.stored
        return known

    def is_quarantined(self, fingerprint: str) -> bool:
        """Whether the request runs in trials only."""
        suspect = self._suspects.get(fingerprint)
        return suspect is not None and suspect.quarantined

    def next_trial(self, fingerprint: str) -> int:
        """Return the number of the next trial of a request."""
        suspect = self._suspects.get(fingerprint)
        return suspect.last_trial + 1 if suspect else 1

    def record_trial(self, fingerprint: str, number: int, began_s: float) -> None:
        """Note that a trial of a suspect has begun at some host."""
        suspect = self._suspects.get(fingerprint)
        if suspect is not None:
            suspect.trials.setdefault(number, began_s)
            suspect.last_trial = max(suspect.last_trial, number)

    def remove_trial(self, fingerprint: str, number: int) -> None:
        """Forget a trial that no engine began."""
        suspect = self._suspects.get(fingerprint)
        if suspect is not None:
            suspect.trials.pop(number, None)

    def clear(self, fingerprint: str, now_s: float) -> Suspect | None:
        """Forget and return what is known of a request that has completed."""
        self._cleared_s[fingerprint] = now_s + CLEARING_SLACK_S
        return self._suspects.pop(fingerprint, None)

    def remove(self, fingerprint: str, crash_id: CrashId) -> None:
        """Forget one crash of a request."""
        suspect = self._suspects.get(fingerprint)
        if suspect is None:
            return
        suspect.crashes.pop(crash_id, None)
        if not suspect.crashes:
            del self._suspects[fingerprint]

    def expire(
        self, now_s: float, clearing_lifetime_s: float
    ) -> list[tuple[str, Suspect]]:
        """
        Forget requests whose last crash is too old, and old clearings.

        :return: what was forgotten since the last call, also to make room for
            others, with the fingerprints.
        """
        self._cleared_s = {
            fingerprint: at_s
            for fingerprint, at_s in self._cleared_s.items()
            if now_s - at_s <= clearing_lifetime_s
        }
        expired = [
            fingerprint
            for fingerprint, suspect in self._suspects.items()
            if now_s - suspect.last_s > RETENTION_S
        ]
        for fingerprint in expired:
            self._evict(fingerprint)
        forgotten, self._evicted = self._evicted, []
        return forgotten

    def _drop_least_suspect(self) -> None:
        """Drop the request with the fewest, oldest crashes to make room."""
        least = min(
            self._suspects,
            key=lambda name: (
                self._suspects[name].count,
                self._suspects[name].last_s,
            ),
        )
        self._evict(least)

    def _evict(self, fingerprint: str) -> None:
        self._evicted.append((fingerprint, self._suspects.pop(fingerprint)))
