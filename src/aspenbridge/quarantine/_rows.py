"""Writes and deletes the rows of crashes, many in one call, and retries."""

from __future__ import annotations

from itertools import islice
from typing import TYPE_CHECKING

from returns.result import Failure

from aspenbridge.store import Changes

from ._records import CrashRecord, TrialRecord, crash_key, trial_key
from ._subjects import is_part

if TYPE_CHECKING:
    from collections.abc import Iterable, Mapping
    from random import Random

    from returns.result import Result

    from aspenbridge.ports import Clock, Committed, Conflict, RowKey, Unavailable
    from aspenbridge.store import Store

    from ._ledger import Crash, Suspect

RETRY_DELAY_S = (0.5, 2.0)  # random, to spread the writes after an outage
COMMIT_LIMIT_S = 1.0
TRIAL_CLAIM_LIMIT_S = 0.3  # callers wait for it
MAX_COMMIT_ROWS = 90  # a transaction may hold 100 rows
MAX_CLAIMED_TRIALS = MAX_COMMIT_ROWS // 2  # a claim checks a row and puts it


class CrashRows:
    """The rows that this host writes."""

    def __init__(self, store: Store, clock: Clock, random: Random) -> None:
        self._store = store
        self._clock = clock
        self._random = random
        self._obsolete: dict[RowKey, float] = {}  # when to try to delete each

    async def write(self, crashes: Iterable[tuple[str, Crash]]) -> bool:
        """
        Write the crashes that are due, as many as fit into one call.

        Those of whole requests come first, since they have no other suspect.

        :param crashes: crashes with the keys of their suspects. Those that
            were written are marked as stored.
        :return: whether any were due.
        """
        now_s, wall_s = self._clock.now_s(), self._clock.wall_s()
        due = [
            (fingerprint, crash)
            for fingerprint, crash in crashes
            if not crash.stored and crash.write_at_s <= now_s
        ]
        due = sorted(due, key=lambda row: is_part(row[0]))[:MAX_COMMIT_ROWS]
        changes = Changes()
        for fingerprint, crash in due:
            at_wall_s = wall_s - (now_s - crash.at_s)
            record = CrashRecord(
                fingerprint,
                *crash.id,
                at_wall_s,
                position=crash.position,
                tag=crash.tag,
                confirmed=crash.confirmed,
            )
            changes.put(crash_key(fingerprint, crash.id), record)
            crash.write_at_s = self._next_try_s()
        if due and await self._commit(changes):
            for _, crash in due:
                crash.stored = True
        return bool(due)

    async def claim_trials(
        self, trials: Mapping[str, int]
    ) -> Result[Committed, Conflict | Unavailable]:
        """
        Claim trials together; fails with ``Conflict`` if others have some.

        Of more than fit into one call the first ones stand for all: other
        runs with these suspects have the first ones, too, as a rule.

        :param trials: the number of the trial, by the key of its suspect.
        """
        changes = Changes()
        for suspect, number in islice(trials.items(), MAX_CLAIMED_TRIALS):
            key = trial_key(suspect, number)
            record = TrialRecord(suspect, number, self._clock.wall_s())
            changes = changes.absent(key).put(key, record)
        deadline_s = self._clock.now_s() + TRIAL_CLAIM_LIMIT_S
        return await self._store.commit(changes, deadline_s=deadline_s)

    def discard(self, fingerprint: str, suspect: Suspect) -> None:
        """Delete the rows of a request soon."""
        for crash in suspect.crashes.values():
            if crash.stored:
                self.discard_row(crash_key(fingerprint, crash.id))
        for number in suspect.trials:
            self.discard_row(trial_key(fingerprint, number))

    def discard_row(self, key: RowKey) -> None:
        """Delete one row soon."""
        self._obsolete.setdefault(key, self._clock.now_s())

    async def delete(self) -> None:
        """Delete the discarded rows that are due, in one call."""
        now_s = self._clock.now_s()
        due = [key for key, at_s in self._obsolete.items() if at_s <= now_s]
        due = due[:MAX_COMMIT_ROWS]
        changes = Changes()
        for key in due:
            changes.delete(key)
            self._obsolete[key] = self._next_try_s()
        if due and await self._commit(changes):
            for key in due:
                del self._obsolete[key]

    def _next_try_s(self) -> float:
        return self._clock.now_s() + self._random.uniform(*RETRY_DELAY_S)

    async def _commit(self, changes: Changes) -> bool:
        committed = await self._store.commit(
            changes, deadline_s=self._clock.now_s() + COMMIT_LIMIT_S
        )
        return not isinstance(committed, Failure)
