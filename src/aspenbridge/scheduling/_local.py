"""Baseline admission: each host for itself, with no shared limit."""

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
    """Counts what this host runs on each engine and waits when it is full."""

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
        self._turn = itertools.count()
        self._running: Counter[str] = Counter()
        self._reported: dict[str, int] = {}
        self._known: dict[str, Engine] = {}
        self._freed = asyncio.Condition()

    async def acquire(
        self, work: Work, engines: Sequence[Engine], *, avoid: frozenset[str]
    ) -> Grant:
        """
        Wait for a place on one of the engines.

        :raises ProblemError: when there is no place before the deadline.
        """
        preferred = [engine for engine in engines if engine.name not in avoid]
        choices = preferred or list(engines)
        if not choices:
            detail = f"no engine may run model {work.model!r}"
            raise Problem(ResultCode.NO_ENGINE_ALLOWED, detail).error()
        while True:
            engine = self._pick(choices)
            if self._running[engine.name] < engine.max_sequences:
                self._running[engine.name] += 1
                return Grant(new_id("grant", self._random), engine)
            await self._wait(work)

    def release(
        self, grant: Grant, *, tokens: int, failed: bool, cached_tokens: int = 0
    ) -> None:
        """Give a place back."""
        self._running[grant.engine.name] -= 1
        asyncio.ensure_future(self._wake())

    async def run(self) -> None:
        """Read load reports again and again, if the policy goes by them."""
        while True:
            if self._policy == "least_reported":
                await self._read_reports()
            await self._clock.sleep_until(self._clock.now_s() + REPORT_INTERVAL_S)

    def _pick(self, choices: Sequence[Engine]) -> Engine:
        for engine in choices:
            self._known[engine.name] = engine
        open_ = [x for x in choices if self._running[x.name] < x.max_sequences]
        if self._policy == "least_reported":
            return min(
                open_ or choices, key=lambda item: self._reported.get(item.name, 0)
            )
        usable = open_ or choices
        return usable[next(self._turn) % len(usable)]

    async def _read_reports(self) -> None:
        if self._engines is None:
            return
        for engine in list(self._known.values()):
            try:
                load = await self._engines.load(engine)
            except EngineFailure:
                continue
            self._reported[engine.name] = load.running + load.waiting

    async def _wait(self, work: Work) -> None:
        left_s = work.deadline_s - self._clock.now_s()
        try:
            async with asyncio.timeout(max(0.0, left_s)), self._freed:
                await self._freed.wait()
        except TimeoutError:
            detail = f"no engine of model {work.model!r} had room in time"
            raise Problem(ResultCode.DEADLINE_EXCEEDED, detail).error() from None

    async def _wake(self) -> None:
        async with self._freed:
            self._freed.notify_all()
