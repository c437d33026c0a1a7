"""
Holds back requests that crash engines, at all hosts together.

A host tells the others of a crash with its next load report, and writes a row
once the engine has ended for certain. The rows outlive the hosts; the reports
are faster and need no store. A trial needs a row that one host can create, so
there is none while the store is away.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs
from returns.result import Failure

from aspenbridge.fleet import FRESH_LIMIT_S, CrashNotices, rank
from aspenbridge.observability import log_decision, metrics
from aspenbridge.ports import Unavailable
from aspenbridge.store import decode_record

from ._ledger import (
    Crash,
    CrashId,
    CrashLedger,
    Verdict,
    judge_engine,
)
from ._records import CrashRecord, TrialRecord, crash_key, parse_key, trial_key
from ._rows import CrashRows

if TYPE_CHECKING:
    from collections.abc import Callable
    from random import Random

    from aspenbridge.fleet import EngineDirectory, EngineEntry, Follower, HostTable
    from aspenbridge.ports import Clock, Row, RowChange
    from aspenbridge.store import Store

UPDATE_INTERVAL_S = 0.5
# How long a host repeats a notice; load reports go out each second.
NOTICE_LIFETIME_S = 5.0
MAX_NOTICES = 16  # of each kind in one report; together 1.3 kB
# How often a host also tells what others saw and the store does not hold yet,
# for hosts that have just started; one of them may be the one that saw it.
PASS_ON_INTERVAL_S = 1.0
# A silent engine is removed from the list after this many heartbeats.
SILENT_HEARTBEATS = 3
LIST_LAG_S = 4.0  # slow news of the engine list, and the feed's wait
# A host that did not see a crash itself writes its row only if the one that
# did has not done so by then. Random delays spread the writes of many hosts.
OTHERS_WRITE_DELAY_S = (3.0, 6.0)
CLAIM_RETRY_S = 2.0  # between two claims while the store is away


class Quarantine:
    """
    Decides which requests may run, by what is known of their crashes.

    Is this host's copy of the table of crashes, which a follower updates. The
    relay reports each run: ``begin_run`` before it is sent, then
    ``record_completed``, ``record_broken_run`` or ``record_not_run``. Batch
    items are not held back: they are still owed after any number of crashes.
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
        # What this host saw itself and tells the others, newest last.
        self._seen: dict[tuple[str, CrashId], Crash] = {}
        self._cleared_s: dict[str, float] = {}
        self._passed_on_s = float("-inf")  # when it last told what others saw
        self._claims_from_s = float("-inf")  # when to claim the next trial
        self._own_trials: dict[str, int] = {}  # that have not ended, by request
        self.on_news: Callable[[], None] = lambda: None

    def admits(self, fingerprint: str) -> bool:
        """Whether a request may be sent to an engine now."""
        return self.retry_after_s(fingerprint) <= 0

    def retry_after_s(self, fingerprint: str) -> float:
        """Return how long a request has to wait; 0 for most."""
        if not self._ledger.is_quarantined(fingerprint):
            return 0.0
        from_s = max(self._ledger.allowed_from_s(fingerprint), self._claims_from_s)
        return max(0.0, from_s - self._clock.now_s())

    def is_quarantined(self, fingerprint: str) -> bool:
        """Whether a request runs in trials only."""
        return self._ledger.is_quarantined(fingerprint)

    async def begin_run(self, fingerprint: str) -> bool:
        """
        Return whether a request may be sent at once.

        A quarantined request may if this host gets the claim for a trial.
        """
        if not self._ledger.is_quarantined(fingerprint):
            return True
        if not self.admits(fingerprint):
            return False
        number = self._ledger.next_trial(fingerprint)
        # Noted before the claim, so that this host claims it only once. After
        # a conflict the note stands for the trial of the other host.
        self._ledger.record_trial(fingerprint, number, self._clock.now_s())
        claimed = await self._rows.claim_trial(fingerprint, number)
        if not isinstance(claimed, Failure):
            metrics.QUARANTINE.labels("trial").inc()
            self._own_trials[fingerprint] = number
        elif isinstance(claimed.failure(), Unavailable):
            self._ledger.remove_trial(fingerprint, number)
            self._claims_from_s = self._clock.now_s() + CLAIM_RETRY_S
        own = fingerprint in self._own_trials
        self._log("quarantine trial", fingerprint, number=number, claimed=own)
        return own

    def record_not_run(self, fingerprint: str) -> None:
        """Record that no engine began a request that was sent."""
        number = self._own_trials.pop(fingerprint, None)
        if number is not None:
            self._ledger.remove_trial(fingerprint, number)
            self._rows.discard_row(trial_key(fingerprint, number))

    def record_broken_run(
        self,
        fingerprint: str,
        engine: EngineEntry,
        *,
        connection_lost: bool,
    ) -> None:
        """
        Record that a request may have run without a whole answer.

        An engine that is leaving ends its runs as planned.
        """
        self._own_trials.pop(fingerprint, None)
        entry = self._engines.get(engine.id)
        if entry is None or entry.draining:
            return
        now_s = self._clock.now_s()
        crash_id = self._ledger.crash_id(
            fingerprint,
            engine.id,
            engine.started_ms,
            now_s,
            list_current=self._engine_follower.age_s < FRESH_LIMIT_S,
        )
        crash = self._record(
            fingerprint, Crash(crash_id, now_s, silent=not connection_lost)
        )
        if crash is not None:
            self._seen[fingerprint, crash_id] = crash
            if crash.counted:
                self.on_news()

    def record_completed(self, fingerprint: str) -> None:
        """Clear a request to which an engine gave a whole answer."""
        if not self._ledger.is_suspect(fingerprint):
            return
        self._own_trials.pop(fingerprint, None)
        now_s = self._clock.now_s()
        if self._ledger.crash_count(fingerprint):
            self._log("crash suspicion cleared", fingerprint)
            self._cleared_s[fingerprint] = now_s
            self.on_news()
        suspect = self._ledger.clear(fingerprint, now_s)
        if suspect is not None:
            self._rows.discard(fingerprint, suspect)

    def notices(self) -> CrashNotices:
        """Return what other hosts may not know yet, for a load report."""
        if not (self._ledger or self._cleared_s):
            return CrashNotices()
        now_s = self._clock.now_s()
        known = [(key[0], crash) for key, crash in self._seen.items()]
        if now_s - self._passed_on_s >= PASS_ON_INTERVAL_S:
            self._passed_on_s = now_s
            known += [
                (fingerprint, crash)
                for fingerprint, crash in self._ledger.crashes()
                if not crash.stored and (fingerprint, crash.id) not in self._seen
            ]
        crashes = [
            (fingerprint, crash.id, now_s - crash.at_s, False, crash.confirmed)
            for fingerprint, crash in sorted(known, key=lambda item: item[1].at_s)
            if crash.counted
        ]
        cleared = [
            (fingerprint, now_s - at_s) for fingerprint, at_s in self._cleared_s.items()
        ]
        return CrashNotices(
            tuple(crashes[-MAX_NOTICES:]), tuple(cleared[-MAX_NOTICES:])
        )

    def apply_notices(self, notices: CrashNotices) -> None:
        """Apply what another host saw."""
        now_s = self._clock.now_s()
        for fingerprint, age_s in notices.cleared:
            self._ledger.clear(fingerprint, now_s - age_s)
        for fingerprint, crash_id, age_s, _, confirmed in notices.crashes:
            crash = Crash(CrashId(*crash_id), now_s - age_s, confirmed=confirmed)
            self._record(fingerprint, crash)

    def replace(self, rows: tuple[Row, ...]) -> None:
        """Apply the whole table of crashes."""
        listed = {row.key.key for row in rows}
        for fingerprint, crash in self._ledger.crashes():
            if crash.stored and crash_key(fingerprint, crash.id).key not in listed:
                self._ledger.remove(fingerprint, crash.id)
        for row in rows:
            self._apply_row(row.key.key, row.value)

    def apply_change(self, change: RowChange) -> None:
        """Apply one change of the table of crashes."""
        key = change.key.key
        if change.value is not None:
            self._apply_row(key, change.value)
            return
        fingerprint, removed = parse_key(key)
        if isinstance(removed, CrashId):
            self._ledger.remove(fingerprint, removed)
        else:
            self._ledger.remove_trial(fingerprint, removed)

    async def run(self) -> None:
        """Judge crashes and write or delete their rows until cancelled."""
        while True:
            await self._clock.sleep_until(self._clock.now_s() + UPDATE_INTERVAL_S)
            self._judge_crashes()
            self._expire()
            await self._rows.write(self._ledger.crashes())
            await self._rows.delete()

    def _record(self, fingerprint: str, crash: Crash) -> Crash | None:
        quarantined_before = self._ledger.is_quarantined(fingerprint)
        known = self._ledger.record(fingerprint, crash)
        if known is None:
            return None
        if known.confirmed and not known.stored and known.write_at_s == float("inf"):
            delay_s = self._random.uniform(*OTHERS_WRITE_DELAY_S)
            known.write_at_s = self._clock.now_s() + delay_s
        if self._ledger.is_quarantined(fingerprint) and not quarantined_before:
            metrics.QUARANTINE.labels("quarantined").inc()
            self._log("request quarantined", fingerprint, engine=crash.id.engine_id)
        return known

    def _apply_row(self, key: str, value: bytes) -> None:
        fingerprint, subject = parse_key(key)
        if not isinstance(subject, CrashId):
            trial = decode_record(value, TrialRecord)
            began_s = self._monotonic_s(trial.at_wall_s)
            self._ledger.record_trial(fingerprint, subject, began_s)
            return
        record = decode_record(value, CrashRecord)
        at_s = self._monotonic_s(record.at_wall_s)
        crash = Crash(subject, at_s, confirmed=True, stored=True)
        if self._record(fingerprint, crash) is None and fingerprint in self._cleared_s:
            # Another host wrote it before it heard of the clearing.
            self._rows.discard_row(crash_key(fingerprint, subject))

    def _monotonic_s(self, wall_s: float) -> float:
        return self._clock.now_s() - max(0.0, self._clock.wall_s() - wall_s)

    def _judge_crashes(self) -> None:
        """Confirm or drop crashes, as the list of engines tells."""
        for fingerprint, crash in self._ledger.crashes():
            if crash.confirmed:
                continue
            verdict = judge_engine(
                crash,
                self._engines.get(crash.id.engine_id),
                self._engine_follower.confirmed_s,
                self._silence_limit_s,
            )
            if verdict is Verdict.PENDING:
                continue
            metrics.QUARANTINE.labels(f"engine {verdict.value}").inc()
            own = (fingerprint, crash.id) in self._seen
            if own:
                self._log(
                    f"engine {verdict.value} after a broken run",
                    fingerprint,
                    engine=crash.id.engine_id,
                )
            if verdict is Verdict.ALIVE:
                self._seen.pop((fingerprint, crash.id), None)
                self._ledger.remove(fingerprint, crash.id)
                continue
            if own:
                crash.write_at_s = self._clock.now_s()
            self._record(fingerprint, attrs.evolve(crash, confirmed=True))
            if crash.silent:
                self.on_news()

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
            fingerprint: at_s
            for fingerprint, at_s in self._cleared_s.items()
            if at_s >= oldest_s
        }
        for fingerprint, suspect in self._ledger.expire(now_s, 2 * NOTICE_LIFETIME_S):
            if self._is_assigned_here(fingerprint):
                self._rows.discard(fingerprint, suspect)

    def _is_assigned_here(self, fingerprint: str) -> bool:
        live = {self._host, *(record.host for record in self._hosts.live())}
        return min(live, key=lambda host: rank(host, fingerprint)) == self._host

    def _log(self, event: str, fingerprint: str, **details: object) -> None:
        log_decision(
            event,
            fingerprint=fingerprint,
            **details,
            crashes=self._ledger.crash_count(fingerprint),
            retry_after_s=round(self.retry_after_s(fingerprint), 1),
        )
