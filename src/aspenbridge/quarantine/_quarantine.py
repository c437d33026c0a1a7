"""
Holds back requests and parts of prompts that crash engines, at all hosts.

A host tells the others of a crash with its next load report, and writes a row,
since all hosts may be lost before the list of engines confirms the crash. The
rows outlive the hosts; the reports are faster and need no store. A trial needs
a row that one host can create, so there is none while the store is away.

A crash under a request is written at once. One under a part of its prompt
waits until sound parts have cleared themselves, and for a second crash: each
crash has as many suspects as its prompts have parts, most of which are sound.
What turns out to be no crash has its row deleted, also by hosts that started
later.
"""

from __future__ import annotations

import asyncio
import logging
from collections import Counter
from contextlib import suppress
from typing import TYPE_CHECKING

import attrs
from returns.result import Failure

from aspenbridge.fleet import FRESH_LIMIT_S, CrashNotices, rank
from aspenbridge.observability import log_decision, metrics
from aspenbridge.ports import Conflict, Unavailable
from aspenbridge.store import readable_record

from ._ledger import (
    Crash,
    CrashId,
    CrashLedger,
    Verdict,
    judge_engine,
)
from ._notices import choose_notices
from ._records import CrashRecord, TrialRecord, crash_key, parse_key, trial_key
from ._rows import CrashRows
from ._short_answers import ShortAnswers
from ._subjects import is_part

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable
    from random import Random

    from aspenbridge.fleet import EngineDirectory, EngineEntry, Follower, HostTable
    from aspenbridge.ports import Clock, Row, RowChange, RowKey
    from aspenbridge.store import Store

    from ._arrivals import EventArrivals
    from ._subjects import RunSubjects

logger = logging.getLogger(__name__)
UPDATE_INTERVAL_S = 0.5
# How long a host repeats a notice; load reports go out each second.
NOTICE_LIFETIME_S = 5.0
# The same for what was cleared, so that hosts hear of it that were cut off.
CLEARED_NOTICE_LIFETIME_S = 20.0
# How long a host remembers which suspects proved sound.
CLEARING_LIFETIME_S = 60.0
# How often a host also tells what others saw and a host that has just started
# or was cut off may not know; one of them may be the one that saw it.
PASS_ON_INTERVAL_S = 1.0
# A silent engine is removed from the list after this many heartbeats.
SILENT_HEARTBEATS = 3
LIST_LAG_S = 4.0  # slow news of the engine list, and the feed's wait
# Each host may see a crash at one moment. A part of the store takes 200 writes
# a second and lets those of one more second wait, so that their writes are
# spread over a time that grows with their number.
MOMENT_WRITES_PER_S = 400.0
# A part is stored from this crash on, once sound parts have been cleared by
# other requests.
FIRST_STORED_CRASHES = 2
PART_WRITE_DELAY_S = 1.0
# A host that did not see a crash itself writes its row only if the one that
# did has not done so by then. Random delays spread the writes of many hosts.
OTHERS_WRITE_DELAY_S = (3.0, 6.0)
CLAIM_RETRY_S = 2.0  # between two claims while the store is away
# How much later a trial may be made by a run that has another suspect: its
# crash would not tell which of them is to blame.
MIXED_TRIAL_DELAY_S = 3.0
MAX_LOGGED_CRASHES = 8  # of one suspect in a line
# One prompt may have a thousand parts, and a host writes 200 lines a second.
MAX_LOGGED_VERDICTS = 50


class Quarantine:
    """
    Decides which requests may run, by what is known of their crashes.

    Is this host's copy of the table of crashes, which a follower updates. Who
    sends a run reports it: ``begin_run`` before it is sent, then
    ``record_completed``, ``record_broken_run`` or ``record_not_run``, and
    ``record_events`` while it goes on. Batch items are held back for the parts
    of their prompts only: they are still owed after any number of crashes.
    """

    def __init__(
        self,
        host: str,
        engines: EngineDirectory,
        engine_follower: Follower,
        hosts: HostTable,
        store: Store,
        clock: Clock,
        random: Random,
        engine_heartbeat_s: float,
    ) -> None:
        self._host = host
        self._engines = engines
        self._engine_follower = engine_follower
        self._hosts = hosts
        self._rows = CrashRows(store, clock, random)
        self._clock = clock
        self._random = random
        self._silence_limit_s = SILENT_HEARTBEATS * engine_heartbeat_s + LIST_LAG_S
        self._ledger = CrashLedger()
        self._known_held: frozenset[str] = frozenset()
        self._short_answers = ShortAnswers()
        # What this host saw itself and tells the others, newest last.
        self._seen: dict[tuple[str, CrashId], Crash] = {}
        self._cleared_s: dict[str, float] = {}
        self._passed_on_s = float("-inf")  # when it last told what others saw
        self._claims_from_s = float("-inf")  # when to claim the next trial
        self._own_trials: dict[str, int] = {}  # that have not ended, by suspect
        self._rows_due = asyncio.Event()  # rows are to be written at once
        self._next_write_s = float("-inf")  # of rows that can wait for it
        self.on_news: Callable[[], None] = lambda: None

    def held_key(self, subjects: RunSubjects) -> str | None:
        """Return the request or the part for which a run is held, if any."""
        return next(iter(self._held_keys(subjects)), None)

    def _held_keys(self, subjects: RunSubjects) -> list[str]:
        held = self._ledger.held()
        return [key for key in subjects.keys if key in held] if held else []

    def wait_s(self, subjects: RunSubjects) -> float:
        """Return how long a run has to wait for a trial; 0 for most."""
        held = self._held_keys(subjects)
        if not held:
            return 0.0
        from_s = max(map(self._ledger.allowed_from_s, held))
        suspects = filter(self._ledger.may_be_held, subjects.keys)
        if any(key != held[0] for key in suspects):
            from_s += MIXED_TRIAL_DELAY_S
        return max(0.0, max(from_s, self._claims_from_s) - self._clock.now_s())

    def retry_after_s(self, key: str) -> float:
        """Return how long a request or a part has to wait; 0 for most."""
        if not self.is_quarantined(key):
            return 0.0
        from_s = max(self._ledger.allowed_from_s(key), self._claims_from_s)
        return max(0.0, from_s - self._clock.now_s())

    def is_quarantined(self, key: str) -> bool:
        """Whether a request or a part runs in trials only."""
        return key in self._ledger.held()

    async def begin_run(self, subjects: RunSubjects) -> bool:
        """
        Return whether a run may be sent at once.

        One that is held may if this host gets the claim for a trial of each
        subject for which it is.
        """
        held = self._held_keys(subjects)
        if not held:
            return True
        return self.wait_s(subjects) <= 0 and await self._claim_trials(held)

    async def _claim_trials(self, keys: list[str]) -> bool:
        """Claim the next trial of each of some suspects, or of none."""
        trials = {key: self._ledger.next_trial(key) for key in keys}
        # Noted before the claim, so that this host claims them only once.
        # After a conflict the notes stand for the trials of other hosts.
        for key, number in trials.items():
            self._ledger.record_trial(key, number, self._clock.now_s())
        claimed = await self._rows.claim_trials(trials)
        error = claimed.failure() if isinstance(claimed, Failure) else None
        if error is None:
            metrics.QUARANTINE.labels("trial").inc()
            self._own_trials |= trials
        elif isinstance(error, Unavailable):
            self._claims_from_s = self._clock.now_s() + CLAIM_RETRY_S
        for key, number in trials.items():
            taken = isinstance(error, Conflict) and trial_key(key, number) in error.rows
            if error is not None and not taken:
                self._ledger.withdraw_trial(key, number)
            self._log("quarantine trial", key, number=number, claimed=error is None)
        return error is None

    def record_not_run(self, subjects: RunSubjects, *, reached: bool) -> None:
        """
        Record that no engine began a run.

        :param reached: whether an engine got it and turned it away. A part may
            reach engines only so often, so that this uses up its trial.
        """
        if not self._own_trials:
            return
        for key in subjects.keys:
            number = self._own_trials.pop(key, None)
            if number is not None and not (reached and is_part(key)):
                self._ledger.remove_trial(key, number)
                self._rows.discard_row(trial_key(key, number))

    def record_unreachable(self, engine: EngineEntry) -> None:
        """Record that an engine accepts no connection, as one that crashed."""
        now_s = self._clock.now_s()
        for answer in self._short_answers.take_unreachable(engine, now_s):
            self._blame(answer.subjects, answer.subjects.parts, engine, answer.at_s)
        self._update_held()

    def record_broken_run(
        self,
        subjects: RunSubjects,
        engine: EngineEntry,
        *,
        connection_lost: bool,
        arrivals: EventArrivals,
    ) -> None:
        """
        Record that a request may have run without a whole answer.

        An engine that is leaving ends its runs as planned.

        :param arrivals: the events of this run. If they show that its start
            was sound, the engine did not crash for a part of the prompt.
        """
        self._forget_trials(subjects)
        if arrivals.show_sound_start:
            self._clear(subjects.parts, arrivals.last_s)
        entry = self._engines.get(engine.id)
        if entry is None or entry.draining:
            return
        now_s = self._clock.now_s()
        blamed = subjects.keys
        if arrivals.show_sound_start:
            blamed = tuple(key for key in blamed if not is_part(key))
        self._blame(subjects, blamed, engine, now_s, silent=not connection_lost)
        if connection_lost:
            for answer in self._short_answers.take_lost(engine, now_s):
                self._blame(answer.subjects, answer.subjects.parts, engine, answer.at_s)
        self._update_held()

    def record_completed(
        self,
        subjects: RunSubjects,
        engine: EngineEntry,
        *,
        succeeded: bool,
        end_marked: bool,
        arrivals: EventArrivals,
    ) -> None:
        """
        Clear the subjects of a run to which an engine gave a whole answer.

        The parts are cleared once the engine is known to have outlived it.

        :param succeeded: whether the engine wrote the answer that was asked,
            not a failure.
        :param end_marked: whether more than the end of its connection tells
            that the answer is whole. Otherwise a short one may have been cut
            off by a crash, which counts if the engine turns out to have ended.
        """
        if self._own_trials:
            self._forget_trials(subjects)
        now_s = self._clock.now_s()
        if subjects.request and self._ledger.is_suspect(subjects.request):
            self._clear((subjects.request,), now_s)
        if not (succeeded and subjects.parts):
            return
        if arrivals.show_sound_start:
            self.record_sound(subjects)
            return
        self._short_answers.add(subjects, engine, now_s)
        if not end_marked:
            self._blame(subjects, subjects.parts, engine, now_s, silent=True)

    def record_sound(self, subjects: RunSubjects) -> None:
        """Clear the parts of a prompt on which an engine has written."""
        if self._ledger:
            self._clear(
                [key for key in subjects.parts if self._ledger.is_suspect(key)],
                self._clock.now_s(),
            )

    def record_events(self, subjects: RunSubjects, arrivals: EventArrivals) -> None:
        """Clear the parts of a prompt if its run has outlived its start."""
        if self._ledger and arrivals.show_sound_start:
            self.record_sound(subjects)

    def record_alive(self, engine: EngineEntry) -> None:
        """Record that an engine has just answered."""
        if self._ledger:
            now_s = self._clock.now_s()
            for answer in self._short_answers.take_alive(engine, now_s):
                self.record_sound(answer.subjects)
            self._ledger.refute(engine.id, engine.started_ms, now_s)
            self._update_held()

    def notices(self) -> CrashNotices:
        """Return what other hosts may not know yet, for a load report."""
        if not (self._ledger or self._cleared_s):
            return CrashNotices()
        now_s = self._clock.now_s()
        others: list[tuple[str, Crash]] = []
        if now_s - self._passed_on_s >= PASS_ON_INTERVAL_S:
            self._passed_on_s = now_s
            held = self._ledger.held()
            others = [
                (key, crash)
                for key, crash in self._ledger.crashes()
                if (not crash.stored or key in held)
                and (key, crash.id) not in self._seen
            ]
        own = [(key[0], crash) for key, crash in self._seen.items()]
        return choose_notices(
            own, others, self._cleared_s, self._ledger.crash_count, now_s
        )

    def apply_notices(self, notices: CrashNotices) -> None:
        """Apply what another host saw."""
        now_s = self._clock.now_s()
        for key, age_s in notices.cleared:
            self._ledger.clear(key, now_s - age_s)
        for key, crash_id, age_s, confirmed, (position, tag) in notices.all_crashes():
            crash = Crash(
                CrashId(*crash_id),
                now_s - age_s,
                confirmed=confirmed,
                position=position,
                tag=tag,
            )
            self._record(key, crash)
        if notices.cleared or notices.crashes:
            self._update_held()

    def replace(self, rows: tuple[Row, ...]) -> None:
        """Apply the whole table of crashes."""
        listed = {row.key.key for row in rows}
        for key, crash in self._ledger.crashes():
            if crash.stored and crash_key(key, crash.id).key not in listed:
                self._ledger.remove(key, crash.id)
        for row in rows:
            self._apply_row(row.key, row.value)
        self._update_held()

    def apply_change(self, change: RowChange) -> None:
        """Apply one change of the table of crashes."""
        if change.value is not None:
            self._apply_row(change.key, change.value)
        else:
            self._remove_row(change.key.key)
        self._update_held()

    async def run(self) -> None:
        """Judge crashes and write or delete their rows until cancelled."""
        while True:
            await self._wait_for_update()
            self._judge_crashes()
            self._judge_short_answers()
            self._expire()
            self._update_held()
            if await self._rows.write(self._ledger.crashes()):
                self._next_write_s = self._clock.now_s() + UPDATE_INTERVAL_S
            await self._rows.delete()

    async def _wait_for_update(self) -> None:
        """Wait for the next update, or until rows are due at once."""
        with suppress(TimeoutError):
            async with asyncio.timeout(UPDATE_INTERVAL_S):
                await self._rows_due.wait()
                spread_s = self._hosts.listed_count() / MOMENT_WRITES_PER_S
                await asyncio.sleep(self._random.uniform(0.0, spread_s))
        self._rows_due.clear()

    def _blame(
        self,
        subjects: RunSubjects,
        keys: Iterable[str],
        engine: EngineEntry,
        at_s: float,
        *,
        silent: bool = False,
    ) -> None:
        """Record a crash that this host saw under some subjects of a run."""
        crash_id = self._ledger.crash_id(
            engine.id,
            engine.started_ms,
            at_s,
            list_current=self._engine_follower.age_s < FRESH_LIMIT_S,
        )
        place = 0
        for key in keys:
            crash = Crash(
                crash_id, at_s, silent=silent, position=place, tag=subjects.tag
            )
            place += is_part(key)
            known = self._record(key, crash)
            if known is not None:
                seen_now = (key, crash_id) not in self._seen
                self._seen[key, crash_id] = known
                self._schedule_rows(key, known, seen_now=seen_now)
                if known.counted:
                    self.on_news()

    def _clear(self, keys: Iterable[str], at_s: float) -> None:
        """Forget suspects that proved sound; tell others if it matters."""
        for key in keys:
            count = self._ledger.crash_count(key)
            if count:
                self._cleared_s[key] = at_s
            # A sound part that few crashes incriminate is cleared by the other
            # hosts' own requests, or with the next report.
            if count and (not is_part(key) or count > 1):
                self.on_news()
            if count > 1 or (count and not is_part(key)):
                self._log("crash suspicion cleared", key)
            suspect = self._ledger.clear(key, at_s)
            if suspect is not None:
                self._rows.discard(key, suspect)
        self._update_held()

    def _forget_trials(self, subjects: RunSubjects) -> None:
        for key in subjects.keys:
            self._own_trials.pop(key, None)

    def _record(self, key: str, crash: Crash) -> Crash | None:
        known = self._ledger.record(key, crash)
        if known is not None:
            self._schedule_rows(key, known)
        return known

    def _schedule_rows(self, key: str, known: Crash, *, seen_now: bool = False) -> None:
        """
        Have a crash stored, and those before it, if all hosts may be lost.

        :param seen_now: whether this host has just seen it, of which others
            may have told before.
        """
        suspect = self._ledger.get(key)
        if suspect is None:
            return
        again = not is_part(key) or suspect.count >= FIRST_STORED_CRASHES
        if known.confirmed or again:
            self._schedule_row(key, known, seen_now=seen_now)
        if is_part(key) and again and len(suspect.crashes) == FIRST_STORED_CRASHES:
            for crash in suspect.crashes.values():
                self._schedule_row(key, crash)

    def _schedule_row(self, key: str, crash: Crash, *, seen_now: bool = False) -> None:
        if crash.stored or not crash.counted:
            return
        if crash.write_at_s < float("inf") and not seen_now:
            return  # a write that failed is tried again at its own time
        now_s = self._clock.now_s()
        delay_s = 0.0
        if (key, crash.id) not in self._seen:
            delay_s = self._random.uniform(*OTHERS_WRITE_DELAY_S)
        elif is_part(key):
            delay_s = PART_WRITE_DELAY_S
        crash.write_at_s = min(crash.write_at_s, now_s + delay_s)
        if not delay_s and now_s >= self._next_write_s:
            self._rows_due.set()

    def _update_held(self) -> None:
        """Log who is held or free since the last time, and have it stored."""
        held = self._ledger.held()
        if held == self._known_held:
            return
        before, self._known_held = self._known_held, held
        for key in sorted(held - before):
            metrics.QUARANTINE.labels(
                "part held" if is_part(key) else "quarantined"
            ).inc()
            self._log_evidence(
                "prompt part held" if is_part(key) else "request quarantined", key
            )
            self._write_soon(key)
        for key in sorted(before - held):
            if is_part(key):
                metrics.QUARANTINE.labels("part freed").inc()
                self._log("prompt part freed", key)
        metrics.PARTS_HELD.set(sum(map(is_part, held)))

    def _write_soon(self, key: str) -> None:
        """Have the crashes of a suspect that is held stored by who saw one."""
        suspect = self._ledger.get(key)
        if suspect is None or not any((key, i) in self._seen for i in suspect.crashes):
            return
        for crash in suspect.crashes.values():
            if crash.counted and not crash.stored:
                crash.write_at_s = min(crash.write_at_s, self._clock.now_s())
        self._rows_due.set()

    def _remove_row(self, key: str) -> None:
        suspect, removed = parse_key(key)
        if isinstance(removed, CrashId):
            self._ledger.remove(suspect, removed)
        elif removed is not None:
            self._ledger.remove_trial(suspect, removed)

    def _apply_row(self, row_key: RowKey, value: bytes) -> None:
        suspect, subject = parse_key(row_key.key)
        if subject is None:
            logger.warning("row %r is of no crash or trial", row_key.key)
            return
        if not isinstance(subject, CrashId):
            trial = readable_record(row_key, value, TrialRecord)
            if trial is not None:
                began_s = self._monotonic_s(trial.at_wall_s)
                self._ledger.record_trial(suspect, subject, began_s)
            return
        record = readable_record(row_key, value, CrashRecord)
        if record is None:
            return
        crash = Crash(
            subject,
            self._monotonic_s(record.at_wall_s),
            confirmed=record.confirmed,
            stored=True,
            position=record.position,
            tag=record.tag,
        )
        if self._record(suspect, crash) is None and suspect in self._cleared_s:
            # Another host wrote it before it heard of the clearing.
            self._rows.discard_row(crash_key(suspect, subject))

    def _monotonic_s(self, wall_s: float) -> float:
        return self._clock.now_s() - max(0.0, self._clock.wall_s() - wall_s)

    def _judge_crashes(self) -> None:
        """Confirm or drop crashes, as the list of engines tells."""
        held = self._ledger.held()
        judged: list[tuple[str, Crash, Verdict]] = []
        for key, crash in self._ledger.crashes():
            if crash.confirmed:
                continue
            verdict = judge_engine(
                crash,
                self._engines.get(crash.id.engine_id),
                self._engine_follower.confirmed_s,
                self._engine_follower.followed_since_s,
                self._silence_limit_s,
            )
            if verdict is Verdict.ALIVE and is_part(key) and key in held:
                # A feed that hears nothing may leave engines listed that have
                # ended; a trial soon tells for certain.
                continue
            if verdict is not Verdict.PENDING:
                judged.append((key, crash, verdict))
        own = [(key, crash.id) in self._seen for key, crash, _ in judged]
        for (key, crash, verdict), is_own in zip(judged, own, strict=True):
            self._apply_verdict(key, crash, verdict, own=is_own)
        # Logged last, since each line needs who is held, and each verdict has
        # that decided anew.
        seen = [entry for entry, is_own in zip(judged, own, strict=True) if is_own]
        seen.sort(key=lambda entry: is_part(entry[0]))
        for verdict, count in Counter(verdict for *_, verdict in seen).items():
            metrics.QUARANTINE.labels(f"engine {verdict.value}").inc(count)
        for key, crash, verdict in seen[:MAX_LOGGED_VERDICTS]:
            event = f"engine {verdict.value} after a broken run"
            self._log(event, key, engine=crash.id.engine_id)

    def _judge_short_answers(self) -> None:
        """Clear the parts of answers whose engine the list still shows."""
        followed = self._engine_follower
        until_s = followed.confirmed_s - self._silence_limit_s
        for answer in self._short_answers.take_before(until_s):
            entry = self._engines.get(answer.engine.id)
            same = entry is not None and entry.started_ms == answer.engine.started_ms
            if same and followed.followed_since_s < answer.at_s:
                self.record_sound(answer.subjects)

    def _apply_verdict(
        self, key: str, crash: Crash, verdict: Verdict, *, own: bool
    ) -> None:
        if verdict is Verdict.ENDED:
            if own:
                crash.write_at_s = self._clock.now_s()
            self._record(key, attrs.evolve(crash, confirmed=True))
            if crash.silent:
                self.on_news()
            return
        self._seen.pop((key, crash.id), None)
        self._ledger.remove(key, crash.id)
        if crash.stored and (own or self._is_assigned_here(key)):
            self._rows.discard_row(crash_key(key, crash.id))

    def _expire(self) -> None:
        now_s = self._clock.now_s()
        oldest_s = now_s - NOTICE_LIFETIME_S
        self._seen = {
            key: crash
            for key, crash in self._seen.items()
            if (crash.at_s >= oldest_s or not crash.confirmed)
            and self._ledger.is_suspect(key[0])
        }
        self._cleared_s = {
            key: at_s
            for key, at_s in self._cleared_s.items()
            if at_s >= now_s - CLEARED_NOTICE_LIFETIME_S
        }
        for key, suspect in self._ledger.expire(now_s, CLEARING_LIFETIME_S):
            if suspect.has_rows and self._is_assigned_here(key):
                self._rows.discard(key, suspect)

    def _is_assigned_here(self, key: str) -> bool:
        live = {self._host, *(record.host for record in self._hosts.live())}
        return min(live, key=lambda host: rank(host, key)) == self._host

    def _log_evidence(self, event: str, key: str) -> None:
        """Log the crashes for which a suspect is held, and their ages."""
        suspect = self._ledger.get(key)
        if suspect is None:
            return
        now_s = self._clock.now_s()
        newest = sorted(suspect.crashes.values(), key=lambda crash: -crash.at_s)
        evidence = [
            {
                "engine": crash.id.engine_id,
                "age_s": round(now_s - crash.at_s, 3),
                "confirmed": crash.confirmed,
            }
            for crash in newest
            if crash.counted
        ]
        self._log(
            event,
            key,
            position=suspect.position,
            evidence=evidence[:MAX_LOGGED_CRASHES],
        )

    def _log(self, event: str, key: str, **details: object) -> None:
        log_decision(
            event,
            fingerprint=key,
            **details,
            crashes=self._ledger.crash_count(key),
            retry_after_s=round(self.retry_after_s(key), 1),
        )
