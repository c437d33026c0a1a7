"""State of suspected requests on this host and the rules for running them."""

from __future__ import annotations

import asyncio
import logging
from collections import Counter
from typing import TYPE_CHECKING, Any

import attrs
from returns.result import Failure, Success

from aspenbridge.peers import SuspectNotice
from aspenbridge.quarantine import QUARANTINE_CRASHES
from aspenbridge.result_codes import Problem, ResultCode

from ._ledger import (
    SAME_CRASH_WINDOW_S,
    SuspectLedger,
    SuspectRecord,
    fingerprint,
)

if TYPE_CHECKING:
    from collections.abc import Callable, Coroutine

    from aspenbridge.membership import Identity
    from aspenbridge.ports import Clock
    from aspenbridge.store import Store
    from aspenbridge.work import Work

logger = logging.getLogger(__name__)
ISOLATED_RUN_POLL_S = 0.2
CRASH_RECORD_WAIT_S = 1.0
WRITE_RETRY_INTERVAL_S = 2.0
WRITE_RETRY_LIMIT_S = 3600.0
MIN_REFRESH_INTERVAL_S = 10.0
# Limit on the reads of all suspects by all hosts of the fleet together.
FLEET_REFRESHES_PER_S = 12.0


@attrs.define
class _SuspectState:
    """
    What this host knows of one suspect.

    ``engine`` and ``crashed_s``, on the monotonic clock, are those of the last
    crash that this host has counted. ``pending_writes`` is the number of
    crashes whose durable record is still being written.
    """

    crashes: int
    engine: str = ""
    crashed_s: float = float("-inf")
    pending_writes: int = 0

    def check_and_record_crash(self, engine: str, now_s: float) -> bool:
        """
        Record a crash as the last one unless it repeats the last one.

        :return: whether it does: the same engine crashed less than
            ``SAME_CRASH_WINDOW_S`` ago.
        """
        repeated = (
            self.engine == engine and now_s - self.crashed_s < SAME_CRASH_WINDOW_S
        )
        if not repeated:
            self.engine, self.crashed_s = engine, now_s
        return repeated


class Suspects:
    """
    Runs each suspect isolated, and refuses quarantined requests.

    Suspects run one at a time on each engine. While the store is unavailable,
    one suspect at a time runs on this host.
    """

    def __init__(
        self,
        identity: Callable[[], Identity],
        store: Store,
        clock: Clock,
        broadcast: Callable[[SuspectNotice], None],
        host_count: Callable[[], int],
    ) -> None:
        self._ledger = SuspectLedger(identity, store, clock)
        self._clock = clock
        self._broadcast = broadcast
        self._host_count = host_count
        self._suspects: dict[str, _SuspectState] = {}
        # Fingerprint and engine of each isolated run on this host, by work id.
        self._isolated_runs: dict[str, tuple[str, str]] = {}
        self._tasks: set[asyncio.Task[Any]] = set()
        self.counters: Counter[str] = Counter()

    @property
    def refresh_interval_s(self) -> float:
        """Time between reads of all suspects; it grows with the fleet."""
        return max(MIN_REFRESH_INTERVAL_S, self._host_count() / FLEET_REFRESHES_PER_S)

    async def refresh(self) -> None:
        """
        Read all suspects, to find changes that no notice has reported.

        Suspects with pending writes keep the state that this host has.
        """
        read = await self._ledger.all()
        if isinstance(read, Failure):
            return
        crashes_by_digest = {
            record.fingerprint: record.crashes for record in read.unwrap()
        }
        kept = {
            digest: suspect
            for digest, suspect in self._suspects.items()
            if suspect.pending_writes
        }
        self._suspects = kept
        for digest, crashes in crashes_by_digest.items():
            self._suspects.setdefault(digest, _SuspectState(crashes))

    def apply_notice(self, notice: SuspectNotice) -> None:
        """Apply the notice of another host; zero crashes clear the suspect."""
        if notice.crashes == 0:
            self._suspects.pop(notice.fingerprint, None)
            return
        suspect = self._suspects.setdefault(notice.fingerprint, _SuspectState(0))
        suspect.crashes = max(suspect.crashes, notice.crashes)

    async def wait_until_allowed(self, work: Work, engine: str) -> None:
        """
        Wait until work may run on an engine; return at once if not suspected.

        A suspect runs on an engine without other suspects, and only one copy
        of it runs at a time. Its isolated run has begun on return, unless the
        suspicion was cleared meanwhile; the caller ends the run with
        ``end_isolated_run``.

        :raises ProblemError: when the work is quarantined, or when its
            isolated run can't start before its deadline.
        """
        if not self._suspects:
            return
        digest = fingerprint(work)
        while digest in self._suspects:
            self._raise_if_quarantined(work, digest)
            if await self._begin_isolated_run(work, digest, engine):
                return
            wake_s = self._clock.now_s() + ISOLATED_RUN_POLL_S
            if wake_s >= work.deadline_s:
                detail = "the request ran when an engine crashed and waits to run alone"
                raise Problem(ResultCode.DEADLINE_EXCEEDED, detail).error()
            await self._clock.sleep_until(wake_s)

    async def record_crash(self, work: Work, engine: str) -> None:
        """
        Record that an engine crashed while it was running work.

        Waits up to ``CRASH_RECORD_WAIT_S`` for the durable record.

        :raises ProblemError: when the work is quarantined.
        """
        digest = fingerprint(work)
        suspect = self._suspects.setdefault(digest, _SuspectState(0))
        self.end_isolated_run(work)
        if not suspect.check_and_record_crash(engine, self._clock.now_s()):
            task = self._start(self._record(work, engine, suspect))
            suspect.crashes += 1
            self.counters["suspects.crashes"] += 1
            self._broadcast(self._notice(digest, suspect.crashes))
            await asyncio.wait([task], timeout=CRASH_RECORD_WAIT_S)
        self._raise_if_quarantined(work, digest)

    def clear(self, work: Work) -> None:
        """Clear the suspicion of work that has completed."""
        if not self._suspects:
            return
        digest = fingerprint(work)
        if self._suspects.pop(digest, None) is None:
            return
        self.counters["suspects.cleared"] += 1
        self._broadcast(SuspectNotice(digest, 0, convicted=False))
        self._start(self._retry(lambda: self._ledger.clear(digest)))

    def end_isolated_run(self, work: Work) -> None:
        """End the isolated run of work, if any, whatever its result."""
        isolated_run = self._isolated_runs.pop(work.work_id, None)
        if isolated_run is not None:
            self._start(
                self._retry(lambda: self._ledger.end_isolated_run(*isolated_run))
            )

    async def release(self, digest: str) -> bool:
        """
        Let a quarantined request run again, for an operator.

        :return: whether its row is gone; False if the store was unavailable.
        """
        self._suspects.pop(digest, None)
        self._broadcast(SuspectNotice(digest, 0, convicted=False))
        return await self._ledger.release(digest)

    async def aclose(self) -> None:
        """Cancel the writes that are still pending."""
        tasks = list(self._tasks)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    def _raise_if_quarantined(self, work: Work, digest: str) -> None:
        suspect = self._suspects.get(digest)
        if suspect is None or suspect.crashes < QUARANTINE_CRASHES:
            return
        self.counters["suspects.refused"] += 1
        detail = f"request {work.work_id!r} crashed engines {suspect.crashes} times"
        raise Problem(ResultCode.REQUEST_CRASHES_ENGINES, detail).error()

    async def _begin_isolated_run(self, work: Work, digest: str, engine: str) -> bool:
        result = await self._ledger.begin_isolated_run(digest, engine)
        if isinstance(result, Success):
            self._isolated_runs[work.work_id] = (digest, engine)
            self.counters["suspects.trials"] += 1
            return True
        if result.failure().maybe_applied:
            return False
        return self._begin_local_isolated_run(work, digest, engine)

    def _begin_local_isolated_run(self, work: Work, digest: str, engine: str) -> bool:
        """Start the only isolated run of this host while the store is down."""
        if self._isolated_runs:
            return False
        self._isolated_runs[work.work_id] = (digest, engine)
        return True

    async def _record(self, work: Work, engine: str, suspect: _SuspectState) -> None:
        crashes_before = suspect.crashes

        async def write() -> bool:
            result = await self._ledger.record_crash(work, engine, crashes_before)
            if isinstance(result, Failure):
                return False
            self._apply_record(result.unwrap())
            return True

        suspect.pending_writes += 1
        try:
            await self._retry(write)
        finally:
            suspect.pending_writes -= 1

    def _apply_record(self, record: SuspectRecord) -> None:
        suspect = self._suspects.setdefault(record.fingerprint, _SuspectState(0))
        suspect.crashes = record.crashes
        self._broadcast(self._notice(record.fingerprint, record.crashes))
        if record.quarantined:
            logger.warning(
                "request %s is quarantined and will not run again", record.fingerprint
            )

    async def _retry(self, write: Callable[[], Coroutine[Any, Any, bool]]) -> None:
        """Repeat a write until it returns True or the time limit passes."""
        limit_s = self._clock.now_s() + WRITE_RETRY_LIMIT_S
        while not await write() and self._clock.now_s() < limit_s:
            await self._clock.sleep_until(self._clock.now_s() + WRITE_RETRY_INTERVAL_S)

    def _notice(self, digest: str, crashes: int) -> SuspectNotice:
        return SuspectNotice(digest, crashes, convicted=crashes >= QUARANTINE_CRASHES)

    def _start(self, coroutine: Coroutine[Any, Any, None]) -> asyncio.Task[None]:
        task = asyncio.ensure_future(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return task
