"""Baseline admission: each host on its own, without shared limits."""

from __future__ import annotations

import asyncio
import itertools
from collections import Counter
from typing import TYPE_CHECKING

from aspenbridge.ports import EngineFailure
from aspenbridge.result_codes import Problem, ResultCode
from aspenbridge.work import Grant, new_id

if TYPE_CHECKING:
    from collections.abc import Sequence
    from random import Random

    from aspenbridge.ports import Clock, Engine, EngineClient
    from aspenbridge.work import Work

REPORT_INTERVAL_S = 1.0


class LocalAdmission:
    """
    Limits what this host runs on each engine, whatever the other hosts run.

    :param engines: the source of load reports; None if the policy needs none.
    :param policy: ``round_robin`` to use the engines in turn, or
        ``least_reported`` to use the engine with the lowest reported load.
    """

    def __init__(
        self,
        clock: Clock,
        random: Random,
        engines: EngineClient | None = None,
        *,
        policy: str = "round_robin",
    ) -> None:
        self._clock = clock
        self._random = random
        self._engines = engines
        self._policy = policy
        self._next_index = itertools.count()
        self._running: Counter[str] = Counter()
        self._reported: dict[str, int] = {}
        self._seen_engines: dict[str, Engine] = {}
        self._slot_released = asyncio.Condition()

    async def acquire(
        self, work: Work, engines: Sequence[Engine], *, avoid: frozenset[str]
    ) -> Grant:
        """
        Wait for a slot on one of the engines.

        :raises ProblemError: if no engine is allowed, or no slot becomes free
            before the deadline.
        """
        preferred = [engine for engine in engines if engine.name not in avoid]
        choices = preferred or list(engines)
        if not choices:
            detail = f"no engine may run model {work.model!r}"
            raise Problem(ResultCode.NO_ENGINE_ALLOWED, detail).error()
        while True:
            engine = self._choose_engine(choices)
            if self._running[engine.name] < engine.max_sequences:
                self._running[engine.name] += 1
                return Grant(new_id("grant", self._random), engine)
            await self._wait_for_slot(work)

    def release(
        self, grant: Grant, *, tokens: int, failed: bool, cached_tokens: int = 0
    ) -> None:
        """Free a slot and wake the requests that wait for one."""
        self._running[grant.engine.name] -= 1
        asyncio.ensure_future(self._notify_waiters())

    async def run(self) -> None:
        """
        Read load reports if the policy uses them; never ends.

        ``REPORT_INTERVAL_S`` passes between two rounds of reads.
        """
        while True:
            if self._policy == "least_reported":
                await self._read_reports()
            await self._clock.sleep_until(self._clock.now_s() + REPORT_INTERVAL_S)

    def _choose_engine(self, choices: Sequence[Engine]) -> Engine:
        for engine in choices:
            self._seen_engines[engine.name] = engine
        with_free_slot = [
            engine
            for engine in choices
            if self._running[engine.name] < engine.max_sequences
        ]
        if self._policy == "least_reported":
            return min(
                with_free_slot or choices,
                key=lambda engine: self._reported.get(engine.name, 0),
            )
        candidates = with_free_slot or choices
        return candidates[next(self._next_index) % len(candidates)]

    async def _read_reports(self) -> None:
        if self._engines is None:
            return
        for engine in list(self._seen_engines.values()):
            try:
                load = await self._engines.load(engine)
            except EngineFailure:
                continue
            self._reported[engine.name] = load.running + load.waiting

    async def _wait_for_slot(self, work: Work) -> None:
        remaining_s = work.deadline_s - self._clock.now_s()
        try:
            async with asyncio.timeout(max(0.0, remaining_s)), self._slot_released:
                await self._slot_released.wait()
        except TimeoutError:
            detail = (
                f"no engine of model {work.model!r} had a free slot before the deadline"
            )
            raise Problem(ResultCode.DEADLINE_EXCEEDED, detail).error() from None

    async def _notify_waiters(self) -> None:
        async with self._slot_released:
            self._slot_released.notify_all()
