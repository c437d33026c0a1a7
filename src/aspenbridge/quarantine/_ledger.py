"""
Counts the engine crashes under requests and under the parts of their prompts.

A connection that ends in the middle of a request is a crash until the list of
engines shows that the engine lives. A run that breaks off in another way is a
crash once the list shows that the engine has ended. Crashes are counted by
starts of engines, so hosts that saw the same crash count it once. The module
``_verdicts`` decides who is held for them; trials let an innocent suspect
clear itself.

For load on which engines crash, of themselves or under requests that come
again at any host, or that share a part of their prompts, of which each may
have a thousand.
"""

from __future__ import annotations

from bisect import insort
from enum import Enum
from itertools import pairwise
from typing import TYPE_CHECKING, NamedTuple

import attrs
import xxhash

from ._subjects import is_part
from ._verdicts import held_keys, may_be_held

if TYPE_CHECKING:
    from collections.abc import Iterable, Iterator

    from aspenbridge.fleet import EngineEntry

# How long a quarantined request waits for each of its trials.
TRIAL_DELAYS_S = (15.0, 30.0)
# The same for a part. The first comes soon, since a sound part that is held
# keeps many requests back; the last is for one whose trials met other crashes.
PART_TRIAL_DELAYS_S = (3.0, 5.0, 12.0)
# Crashes of a part that come so long after its fifth take the place of trials:
# they are of runs sent by hosts that did not know better. Two such runs may
# have met the same crash.
COUNTED_CRASHES = 5
KNOWN_TO_ALL_S = 4.0
RUNS_PER_LATE_CRASH = 2
# Trials of parts that are held for the same crashes are apart by up to this,
# so that one does not bring down the engine of another.
TRIAL_SPREAD_S = 2.0
# From the last crash or trial of a request or a part until it is forgotten.
RETENTION_S = 3600.0
PART_RETENTION_S = 24 * 3600.0
# An engine is down for longer than this after a crash, and all hosts see the
# crash within it.
SAME_CRASH_WINDOW_S = 1.0
MAX_SUSPECTS = 2000  # up to 4 MB of memory with five crashes each
# Connections that one host loses within this time may have been cut together,
# so that they are one crash of a part until engines are known to have ended.
MOMENT_S = 0.01
SEVERAL_RUNS = -1  # in place of the tag of a run
# An engine that answers so long after one of its connections ended lives on:
# later than what was on its way, and before it could have started again.
ALIVE_S = (0.2, 1.0)
SAME_REPORT_S = 0.3  # by which hosts tell the time of one crash differently
MAX_STARTS = 4096  # of engines whose last crash is remembered
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
    A crash of an engine under a request or a part of its prompt.

    ``at_s`` is the monotonic time at which the run broke off. ``silent``: the
    connection did not end, but no data came in time or the caller left.
    ``confirmed`` tells whether the engine has ended for certain, ``stored``
    whether the store holds a row of the crash. ``write_at_s`` is when this
    host writes the row, unless another host has by then. ``position`` is the
    place of the part in the prompt, from 0; ``tag`` that of the run, or
    ``SEVERAL_RUNS``.
    """

    id: CrashId
    at_s: float
    silent: bool = False
    confirmed: bool = False
    stored: bool = False
    write_at_s: float = float("inf")
    position: int = 0
    tag: int = 0

    @property
    def counted(self) -> bool:
        """Whether it counts as a crash now."""
        return self.confirmed or not self.silent


@attrs.define
class Suspect:
    """The crashes under a request or a part of prompts, and its trials."""

    is_part: bool = False
    cleared: bool = False  # whether it proved sound shortly before its crashes
    crashes: dict[CrashId, Crash] = attrs.field(factory=dict)
    # When each trial began, by its number; the first one has number 1.
    trials: dict[int, float] = attrs.field(factory=dict)
    last_trial: int = 0  # its number, also if it was removed
    # How many crashes count, if they have not changed since it was asked.
    _count: int | None = attrs.field(default=None, init=False)

    @property
    def last_s(self) -> float:
        """When the last crash happened or the last trial began."""
        crashes_s = [crash.at_s for crash in self.crashes.values()]
        return max((*self.trials.values(), *crashes_s), default=float("-inf"))

    @property
    def count(self) -> int:
        """How many crashes count now."""
        if self._count is None:
            self._count = self._count_crashes()
        return self._count

    def crashes_changed(self) -> None:
        """Have the crashes counted anew when they are asked for."""
        self._count = None

    def _count_crashes(self) -> int:
        counted = [crash for crash in self.crashes.values() if crash.counted]
        if not self.is_part:
            return len(counted)
        confirmed = sum(crash.confirmed for crash in counted)
        return confirmed + _moments(c.at_s for c in counted if not c.confirmed)

    @property
    def crash_ids(self) -> frozenset[CrashId]:
        """The crashes that count now."""
        return frozenset(c.id for c in self.crashes.values() if c.counted)

    @property
    def several_runs(self) -> bool:
        """Whether crashes count under more than one request or item."""
        tags = {c.tag for c in self.crashes.values() if c.counted}
        return len(tags) > 1 or SEVERAL_RUNS in tags

    @property
    def has_rows(self) -> bool:
        """Whether the store may hold rows of it."""
        return bool(self.trials) or any(c.stored for c in self.crashes.values())

    @property
    def position(self) -> int:
        """The last place of a part in the prompts of its crashes."""
        return max((crash.position for crash in self.crashes.values()), default=0)

    @property
    def retention_s(self) -> float:
        """How long to remember it after its last crash or trial."""
        return PART_RETENTION_S if self.is_part else RETENTION_S

    @property
    def trials_left(self) -> bool:
        """Whether another trial may be claimed."""
        if not self.is_part:
            return len(self.trials) < len(TRIAL_DELAYS_S)
        used = len(self.trials) + RUNS_PER_LATE_CRASH * self._late_crashes
        return used < len(PART_TRIAL_DELAYS_S)

    @property
    def _late_crashes(self) -> int:
        """How many crashes no trial made, later than all hosts knew enough."""
        times_s = sorted(c.at_s for c in self.crashes.values() if c.counted)
        if len(times_s) < COUNTED_CRASHES:
            return 0
        known_s = times_s[COUNTED_CRASHES - 1] + KNOWN_TO_ALL_S
        late = sum(at_s > known_s for at_s in times_s)
        trials = sum(began_s > known_s for began_s in self.trials.values())
        return max(0, late - trials)

    def allowed_from_s(self) -> float:
        """Return from when on a trial may run, if it is held."""
        delays_s = PART_TRIAL_DELAYS_S if self.is_part else TRIAL_DELAYS_S
        if not self.trials_left:
            return self.last_s + self.retention_s
        return self.last_s + delays_s[len(self.trials)]


def _trial_spread_s(key: str, number: int) -> float:
    """Return how much later a trial begins than others of its moment."""
    digest = xxhash.xxh32_intdigest(f"{key}/{number}".encode())
    return TRIAL_SPREAD_S * digest / 2**32


def _moments(times_s: Iterable[float]) -> int:
    """Return how many moments some crashes have that may have one cause."""
    ordered: list[float] = []
    for at_s in times_s:
        insort(ordered, at_s)
    gaps = pairwise(ordered)
    return bool(ordered) + sum(after - at > MOMENT_S for at, after in gaps)


def judge_engine(
    crash: Crash,
    entry: EngineEntry | None,
    list_read_s: float,
    followed_since_s: float,
    silence_limit_s: float,
) -> Verdict:
    """
    Return whether an engine has ended since its connection did.

    :param entry: the engine's present entry in the list of engines.
    :param list_read_s: when the list was last known to be current, in
        monotonic seconds.
    :param followed_since_s: since when the list has been current all the time,
        in monotonic seconds. In an outage of the store it keeps engines that
        have ended.
    :param silence_limit_s: how long a silent engine stays in the list.
    """
    if list_read_s <= crash.at_s:
        return Verdict.PENDING
    if entry is None or entry.started_ms != crash.id.started_ms:
        return Verdict.ENDED
    seen_from_s = max(crash.at_s, followed_since_s)
    if entry.draining or list_read_s - seen_from_s > silence_limit_s:
        return Verdict.ALIVE
    return Verdict.PENDING


class CrashLedger:
    """The crashes that this host knows of, by request or part of a prompt."""

    def __init__(self) -> None:
        self._suspects: dict[str, Suspect] = {}
        # Suspects of one crash, the least recently seen one first.
        self._single_crash: dict[str, None] = {}
        self._cleared_s: dict[str, float] = {}
        self._evicted: list[tuple[str, Suspect]] = []
        self._candidates: dict[str, Suspect] = {}  # that may be held
        self._held: frozenset[str] = frozenset()
        self._undecided = False  # whether evidence came since that was decided
        # When crashes seemed to happen whose engine then turned out to live.
        self._refuted_s: dict[CrashId, float] = {}
        # Number and time of the last crash of each start of an engine.
        self._last_crashes: dict[tuple[str, int], tuple[int, float]] = {}

    def __len__(self) -> int:
        return len(self._suspects)

    def crashes(self) -> Iterator[tuple[str, Crash]]:
        """Iterate over all crashes with the keys of their suspects."""
        for key, suspect in list(self._suspects.items()):
            for crash in list(suspect.crashes.values()):
                yield key, crash

    def held(self) -> frozenset[str]:
        """Return the keys of the suspects that run in trials only."""
        if self._undecided:
            self._undecided = False
            before = self._held & self._candidates.keys()
            self._held = held_keys(self._candidates, before)
        return self._held

    def get(self, key: str) -> Suspect | None:
        """Return what is known of a request or a part, if anything."""
        return self._suspects.get(key)

    def is_suspect(self, key: str) -> bool:
        """Whether an engine may have crashed under a request or a part."""
        return key in self._suspects

    def crash_count(self, key: str) -> int:
        """Return how many engines have crashed under a request or a part."""
        suspect = self._suspects.get(key)
        return suspect.count if suspect else 0

    def may_be_held(self, key: str) -> bool:
        """Whether a suspect has the crashes to be held, explained or not."""
        return key in self._candidates

    def allowed_from_s(self, key: str) -> float:
        """Return from when on a suspect may run; minus infinity for most."""
        if key not in self.held():
            return float("-inf")
        suspect = self._suspects[key]
        spread_s = _trial_spread_s(key, len(suspect.trials)) if suspect.is_part else 0.0
        return suspect.allowed_from_s() + spread_s

    def crash_id(
        self, engine_id: str, started_ms: int, now_s: float, *, list_current: bool
    ) -> CrashId:
        """
        Return the id of a crash of an engine that this host sees now.

        :param list_current: whether the list of engines would show that the
            engine started again since an earlier crash.
        """
        last = self._last_crashes.get((engine_id, started_ms))
        if last is None:
            return CrashId(engine_id, started_ms)
        number, at_s = last
        same = list_current or now_s - at_s < SAME_CRASH_WINDOW_S
        return CrashId(engine_id, started_ms, number if same else number + 1)

    def record(self, key: str, crash: Crash) -> Crash | None:
        """
        Add a crash, or what is new about one that is known.

        :return: the crash as it is kept, or None if the suspect has been
            cleared since the crash.
        """
        if crash.at_s <= self._cleared_s.get(key, float("-inf")):
            return None
        refuted_s = self._refuted_s.get(crash.id, float("-inf"))
        if is_part(key) and not crash.confirmed and crash.at_s <= refuted_s:
            return None
        suspect = self._suspects.get(key)
        if suspect is None:
            if len(self._suspects) >= MAX_SUSPECTS:
                self._drop_least_suspect()
            suspect = Suspect(is_part(key), cleared=key in self._cleared_s)
            self._suspects[key] = suspect
        known = suspect.crashes.setdefault(crash.id, crash)
        self._track_single_crash(key, suspect)
        before = known.silent, known.confirmed, known.position, known.tag
        known.silent = known.silent and crash.silent
        known.confirmed = known.confirmed or crash.confirmed
        known.stored = known.stored or crash.stored
        known.position = max(known.position, crash.position)
        if crash.tag != known.tag:
            known.tag = SEVERAL_RUNS
        after = known.silent, known.confirmed, known.position, known.tag
        if known is crash or before != after:
            self._note_crash(crash)
            self._weigh(key, suspect)
        return known

    def refute(self, engine_id: str, started_ms: int, now_s: float) -> None:
        """
        Forget the crashes of parts at an engine that answers now.

        Those that the list of engines confirmed stay, as do those under whole
        requests, which wait for the list.
        """
        from_s, until_s = ALIVE_S
        for key, crash in self.crashes():
            if (
                crash.id[:2] == (engine_id, started_ms)
                and not crash.confirmed
                and is_part(key)
                and from_s <= now_s - crash.at_s <= until_s
            ):
                self._refuted_s[crash.id] = crash.at_s + SAME_REPORT_S
                self.remove(key, crash.id)

    def next_trial(self, key: str) -> int:
        """Return the number of the next trial of a suspect."""
        suspect = self._suspects.get(key)
        return suspect.last_trial + 1 if suspect else 1

    def record_trial(self, key: str, number: int, began_s: float) -> None:
        """Note that a trial of a suspect has begun at some host."""
        suspect = self._suspects.get(key)
        if suspect is not None:
            suspect.trials.setdefault(number, began_s)
            suspect.last_trial = max(suspect.last_trial, number)

    def remove_trial(self, key: str, number: int) -> None:
        """Forget a trial that no engine began."""
        suspect = self._suspects.get(key)
        if suspect is not None:
            suspect.trials.pop(number, None)

    def withdraw_trial(self, key: str, number: int) -> None:
        """Forget a trial that was not claimed, so that its number is free."""
        self.remove_trial(key, number)
        suspect = self._suspects.get(key)
        if suspect is not None and suspect.last_trial == number:
            suspect.last_trial = number - 1

    def clear(self, key: str, at_s: float) -> Suspect | None:
        """
        Forget and return what is known of a suspect up to when it was sound.

        Crashes since then stay with the ledger.
        """
        sound_s = max(self._cleared_s.get(key, at_s), at_s + CLEARING_SLACK_S)
        self._cleared_s[key] = sound_s
        suspect = self._drop(key)
        if suspect is None:
            return None
        since = [c for c in suspect.crashes.values() if c.at_s > sound_s]
        for crash in since:
            del suspect.crashes[crash.id]
            self.record(key, crash)
        return suspect

    def remove(self, key: str, crash_id: CrashId) -> None:
        """Forget one crash of a suspect."""
        suspect = self._suspects.get(key)
        if suspect is None:
            return
        suspect.crashes.pop(crash_id, None)
        if suspect.crashes:
            self._track_single_crash(key, suspect)
            self._weigh(key, suspect)
        else:
            self._drop(key)

    def expire(
        self, now_s: float, clearing_lifetime_s: float
    ) -> list[tuple[str, Suspect]]:
        """
        Forget suspects whose last crash is too old, and old clearings.

        :return: what was forgotten since the last call, also to make room for
            others, with the keys.
        """
        self._cleared_s = {
            key: at_s
            for key, at_s in self._cleared_s.items()
            if now_s - at_s <= clearing_lifetime_s
        }
        self._refuted_s = {
            crash_id: at_s
            for crash_id, at_s in self._refuted_s.items()
            if now_s - at_s <= clearing_lifetime_s
        }
        expired = [
            key
            for key, suspect in self._suspects.items()
            if now_s - suspect.last_s > suspect.retention_s
        ]
        for key in expired:
            self._evict(key)
        forgotten, self._evicted = self._evicted, []
        return forgotten

    def _note_crash(self, crash: Crash) -> None:
        """Remember the last crash of a start of an engine."""
        start = crash.id.engine_id, crash.id.started_ms
        last = self._last_crashes.pop(start, (-1, float("-inf")))
        self._last_crashes[start] = max(last, (crash.id.number, crash.at_s))
        if len(self._last_crashes) > MAX_STARTS:
            del self._last_crashes[next(iter(self._last_crashes))]

    def _weigh(self, key: str, suspect: Suspect) -> None:
        """Have it decided anew who is held, if this suspect matters for it."""
        suspect.crashes_changed()
        if may_be_held(suspect):
            self._candidates[key] = suspect
            self._undecided = True
        elif self._candidates.pop(key, None) is not None:
            self._undecided = True

    def _drop(self, key: str) -> Suspect | None:
        if self._candidates.pop(key, None) is not None:
            self._undecided = True
        self._single_crash.pop(key, None)
        return self._suspects.pop(key, None)

    def _track_single_crash(self, key: str, suspect: Suspect) -> None:
        """Note whether a suspect that was just seen has one crash only."""
        self._single_crash.pop(key, None)
        if len(suspect.crashes) == 1:
            self._single_crash[key] = None

    def _drop_least_suspect(self) -> None:
        """
        Drop the suspect with the fewest, oldest crashes to make room.

        It is searched for only if all have several crashes: one crash may
        bring thousands of suspects, each of which takes the place of another.
        """
        least = next(iter(self._single_crash), None)
        if least is None:
            least = min(
                self._suspects,
                key=lambda key: (self._suspects[key].count, self._suspects[key].last_s),
            )
        self._evict(least)

    def _evict(self, key: str) -> None:
        suspect = self._drop(key)
        if suspect is not None:
            self._evicted.append((key, suspect))
