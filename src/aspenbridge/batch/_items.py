"""Runs one batch item to its one answer."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

from aspenbridge.online import PASSING_CODES, REPEATED_CODES, Generation
from aspenbridge.result_codes import Problem, ResultCode
from aspenbridge.work import Work, new_id

from ._records import Outcome

if TYPE_CHECKING:
    from random import Random

    from aspenbridge.online import Generator
    from aspenbridge.ports import Clock
    from aspenbridge.settings import BatchSettings

    from ._records import Item, JobRecord

FIRST_BACKOFF_S = 0.5
LONGEST_BACKOFF_S = 10.0
LATE_LIMIT_S = 86_400.0
SHORTEST_ATTEMPT_S = 600.0


class ItemRunner:
    """Retries an item while that may help, and bounds its attempts."""

    def __init__(
        self,
        generator: Generator,
        clock: Clock,
        random: Random,
        settings: BatchSettings,
    ) -> None:
        self._generator = generator
        self._clock = clock
        self._random = random
        self._settings = settings

    async def run(self, job: JobRecord, item: Item) -> Outcome:
        """Return the answer, or the reason why there is none."""
        due_s = self._clock.now_s() + job.due_wall_s - self._clock.wall_s()
        generation = Generation(self._work(job, item, due_s))
        failures = 0
        backoff_s = FIRST_BACKOFF_S
        while True:
            problem = await self._generator.finish(generation)
            if problem is None:
                return _done(item, generation)
            failures += problem.code not in PASSING_CODES
            if self._is_last(problem, failures, due_s):
                return Outcome(item.custom_id, int(problem.code), detail=problem.detail)
            pause_s = backoff_s * self._random.uniform(0.5, 1.0)
            await self._clock.sleep_until(self._clock.now_s() + pause_s)
            backoff_s = min(backoff_s * 2, LONGEST_BACKOFF_S)
            generation.work = attrs.evolve(
                generation.work, deadline_s=self._deadline_s(due_s)
            )

    def _is_last(self, problem: Problem, failures: int, due_s: float) -> bool:
        if problem.code in PASSING_CODES:
            return self._clock.now_s() >= due_s + LATE_LIMIT_S
        if problem.code in REPEATED_CODES:
            return failures >= self._settings.item_attempts
        return True

    def _deadline_s(self, due_s: float) -> float:
        """Return the due time, or a moment from now for a late item."""
        return max(due_s, self._clock.now_s() + SHORTEST_ATTEMPT_S)

    def _work(self, job: JobRecord, item: Item, due_s: float) -> Work:
        return Work(
            work_id=new_id("item", self._random),
            customer=job.customer,
            model=item.model,
            prompt=item.prompt,
            max_tokens=item.max_tokens,
            online=False,
            deadline_s=self._deadline_s(due_s),
            adapter=item.adapter,
            labels=job.labels,
        )


def _done(item: Item, generation: Generation) -> Outcome:
    return Outcome(
        custom_id=item.custom_id,
        code=int(ResultCode.OK),
        text=generation.text,
        tokens=generation.tokens,
        served_by=tuple(generation.served_by),
    )
