"""What this host knows of suspected requests, and how they may run."""

from __future__ import annotations

import asyncio
import logging
from collections import Counter
from typing import TYPE_CHECKING, Any

import attrs
from returns.result import Failure, Success

from aspenbridge.peers import SuspectNotice
from aspenbridge.result_codes import Problem, ResultCode

from ._ledger import (
    CONVICTING_CRASHES,
    SAME_CRASH_S,
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
TRIAL_POLL_S = 0.2
RECORD_WAIT_S = 1.0
RETRY_S = 2.0
RETRY_LIMIT_S = 3600.0
REFRESH_LEAST_S = 10.0
REFRESHES_PER_S = 12.0


@attrs.define
class _Known:
    crashes: int
    engine: str = ""
    at_s: float = float("-inf")
    writing: int = 0

    def saw(self, engine: str, now_s: float) -> bool:
        """Return whether a crash is the one that was seen last."""
        same = self.engine == engine and now_s - self.at_s < SAME_CRASH_S
        if not same:
            self.engine, self.at_s = engine, now_s
        return same


class Suspects:
    """Lets suspects run one at a time, and convicted requests not at all."""

    def __init__(
        self,
        identity: Callable[[], Identity],
        store: Store,
        clock: Clock,
        spread: Callable[[SuspectNotice], None],
        hosts: Callable[[], int],
    ) -> None:
        self._ledger = SuspectLedger(identity, store, clock)
        self._clock = clock
        self._spread = spread
        self._hosts = hosts
        self._known: dict[str, _Known] = {}
        self._trials: dict[str, tuple[str, str]] = {}
        self._tasks: set[asyncio.Task[Any]] = set()
        self.counters: Counter[str] = Counter()

    @property
    def refresh_interval_s(self) -> float:
        """Time between reads of all suspects; it grows with the fleet."""
        return max(REFRESH_LEAST_S, self._hosts() / REFRESHES_PER_S)

    async def refresh(self) -> None:
        """Read the suspects that no notice has told of, or that ended."""
        read = await self._ledger.all()
        if isinstance(read, Failure):
            return
        found = {record.fingerprint: record.crashes for record in read.unwrap()}
        kept = {mark: item for mark, item in self._known.items() if item.writing}
        self._known = kept
        for mark, crashes in found.items():
            self._known.setdefault(mark, _Known(crashes))

    def hear(self, notice: SuspectNotice) -> None:
        """Take in what another host saw."""
        if notice.crashes == 0:
            self._known.pop(notice.fingerprint, None)
            return
        known = self._known.setdefault(notice.fingerprint, _Known(0))
        known.crashes = max(known.crashes, notice.crashes)

    async def before(self, work: Work, engine: str) -> None:
        """
        Wait until work may run on an engine; costs nothing if unsuspected.

        A suspect runs alone among suspects on its engine, and in one copy.

        :raises ProblemError: when it is convicted, or can't run in time.
        """
        if not self._known:
            return
        mark = fingerprint(work)
        while mark in self._known:
            self._refuse_convicted(work, mark)
            if await self._begin_trial(work, mark, engine):
                return
            wake_s = self._clock.now_s() + TRIAL_POLL_S
            if wake_s >= work.deadline_s:
                detail = "the request ran when an engine crashed and waits to run alone"
                raise Problem(ResultCode.DEADLINE_EXCEEDED, detail).error()
            await self._clock.sleep_until(wake_s)

    async def crashed(self, work: Work, engine: str) -> None:
        """
        Record that an engine crashed while it ran work.

        :raises ProblemError: when the work is convicted by this crash.
        """
        mark = fingerprint(work)
        known = self._known.setdefault(mark, _Known(0))
        self.ended(work)
        if not known.saw(engine, self._clock.now_s()):
            task = self._start(self._record(work, engine, known))
            known.crashes += 1
            self.counters["suspects.crashes"] += 1
            self._spread(self._notice(mark, known.crashes))
            await asyncio.wait([task], timeout=RECORD_WAIT_S)
        self._refuse_convicted(work, mark)

    def finished(self, work: Work) -> None:
        """Clear work that has completed."""
        if not self._known:
            return
        mark = fingerprint(work)
        if self._known.pop(mark, None) is None:
            return
        self.counters["suspects.cleared"] += 1
        self._spread(SuspectNotice(mark, 0, convicted=False))
        self._start(self._repeat(lambda: self._ledger.clear(mark)))

    def ended(self, work: Work) -> None:
        """End the lone run of work, however it went."""
        trial = self._trials.pop(work.work_id, None)
        if trial is not None:
            self._start(self._repeat(lambda: self._ledger.end_trial(*trial)))

    async def pardon(self, mark: str) -> bool:
        """Let a convicted request run again, for an operator."""
        self._known.pop(mark, None)
        self._spread(SuspectNotice(mark, 0, convicted=False))
        return await self._ledger.pardon(mark)

    async def aclose(self) -> None:
        """Stop writes that are still to be made."""
        tasks = list(self._tasks)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    def _refuse_convicted(self, work: Work, mark: str) -> None:
        known = self._known.get(mark)
        if known is None or known.crashes < CONVICTING_CRASHES:
            return
        self.counters["suspects.refused"] += 1
        detail = f"request {work.work_id!r} crashed engines {known.crashes} times"
        raise Problem(ResultCode.REQUEST_CRASHES_ENGINES, detail).error()

    async def _begin_trial(self, work: Work, mark: str, engine: str) -> bool:
        begun = await self._ledger.begin_trial(mark, engine)
        if isinstance(begun, Success):
            self._trials[work.work_id] = (mark, engine)
            self.counters["suspects.trials"] += 1
            return True
        if begun.failure().maybe_applied:
            return False
        return self._begin_local_trial(work, mark, engine)

    def _begin_local_trial(self, work: Work, mark: str, engine: str) -> bool:
        """Without the store, run one suspect at a time on this host."""
        if self._trials:
            return False
        self._trials[work.work_id] = (mark, engine)
        return True

    async def _record(self, work: Work, engine: str, known: _Known) -> None:
        before = known.crashes

        async def write() -> bool:
            result = await self._ledger.crashed(work, engine, before)
            if isinstance(result, Failure):
                return False
            self._learn(result.unwrap())
            return True

        known.writing += 1
        try:
            await self._repeat(write)
        finally:
            known.writing -= 1

    def _learn(self, record: SuspectRecord) -> None:
        known = self._known.setdefault(record.fingerprint, _Known(0))
        known.crashes = record.crashes
        self._spread(self._notice(record.fingerprint, record.crashes))
        if record.convicted:
            logger.warning("request %s may not run again", record.fingerprint)

    async def _repeat(self, write: Callable[[], Coroutine[Any, Any, bool]]) -> None:
        limit_s = self._clock.now_s() + RETRY_LIMIT_S
        while not await write() and self._clock.now_s() < limit_s:
            await self._clock.sleep_until(self._clock.now_s() + RETRY_S)

    def _notice(self, mark: str, crashes: int) -> SuspectNotice:
        return SuspectNotice(mark, crashes, convicted=crashes >= CONVICTING_CRASHES)

    def _start(self, coroutine: Coroutine[Any, Any, None]) -> asyncio.Task[None]:
        task = asyncio.ensure_future(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return task
