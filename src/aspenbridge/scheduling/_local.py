"""Baseline admission: each host for itself, least own work first."""

from __future__ import annotations

import asyncio
from collections import Counter
from typing import TYPE_CHECKING

from aspenbridge.result_codes import Problem, ResultCode
from aspenbridge.work import Grant, new_id

if TYPE_CHECKING:
    from collections.abc import Sequence
    from random import Random

    from aspenbridge.ports import Clock, Engine
    from aspenbridge.work import Work


class LocalAdmission:
    """Counts what this host runs on each engine and waits when it is full."""

    def __init__(self, clock: Clock, random: Random) -> None:
        self._clock = clock
        self._random = random
        self._running: Counter[str] = Counter()
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
            engine = min(choices, key=lambda item: self._running[item.name])
            if self._running[engine.name] < engine.max_sequences:
                self._running[engine.name] += 1
                return Grant(new_id("grant", self._random), engine)
            await self._wait(work)

    async def _wait(self, work: Work) -> None:
        left_s = work.deadline_s - self._clock.now_s()
        try:
            async with asyncio.timeout(max(0.0, left_s)), self._freed:
                await self._freed.wait()
        except TimeoutError:
            detail = f"no engine of model {work.model!r} had room in time"
            raise Problem(ResultCode.DEADLINE_EXCEEDED, detail).error() from None

    def release(self, grant: Grant, *, tokens: int, failed: bool) -> None:
        """Give a place back."""
        self._running[grant.engine.name] -= 1
        asyncio.ensure_future(self._wake())

    async def _wake(self) -> None:
        async with self._freed:
            self._freed.notify_all()
