"""Runs one batch item until it has an answer or has failed."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

from aspenbridge.online import LIMITED_RETRY_CODES, TRANSIENT_CODES, Generation
from aspenbridge.result_codes import Problem, ResultCode
from aspenbridge.work import Work, new_id

from ._records import Outcome

if TYPE_CHECKING:
    from random import Random

    from aspenbridge.online import Generator
    from aspenbridge.ports import Clock
    from aspenbridge.settings import BatchSettings

    from ._records import Item, JobRecord

INITIAL_BACKOFF_S = 0.5
MAX_BACKOFF_S = 10.0
# How long after its due time an item is retried after a transient problem.
MAX_LATENESS_S = 86_400.0
MIN_ATTEMPT_S = 600.0


class ItemRunner:
    """
    Runs items and retries them after problems that a retry may solve.

    Transient problems are retried until a time limit, failures of engines for
    a limited number of attempts.
    """

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
        """Run an item; return its answer, or the problem that ended it."""
        due_s = self._clock.now_s() + job.due_wall_s - self._clock.wall_s()
        generation = Generation(self._make_work(job, item, due_s))
        failures = 0
        backoff_s = INITIAL_BACKOFF_S
        while True:
            problem = await self._generator.finish(generation)
            if problem is None:
                return _ok_outcome(item, generation)
            failures += problem.code not in TRANSIENT_CODES
            if self._is_final(problem, failures, due_s):
                return Outcome(item.custom_id, int(problem.code), detail=problem.detail)
            pause_s = backoff_s * self._random.uniform(0.5, 1.0)
            await self._clock.sleep_until(self._clock.now_s() + pause_s)
            backoff_s = min(backoff_s * 2, MAX_BACKOFF_S)
            generation.work = attrs.evolve(
                generation.work, deadline_s=self._deadline_s(due_s)
            )

    def _is_final(self, problem: Problem, failures: int, due_s: float) -> bool:
        if problem.code in TRANSIENT_CODES:
            return self._clock.now_s() >= due_s + MAX_LATENESS_S
        if problem.code in LIMITED_RETRY_CODES:
            return failures >= self._settings.item_attempts
        return True

    def _deadline_s(self, due_s: float) -> float:
        """
        Return the deadline of the next attempt.

        It is the due time, but at least ``MIN_ATTEMPT_S`` from now.
        """
        return max(due_s, self._clock.now_s() + MIN_ATTEMPT_S)

    def _make_work(self, job: JobRecord, item: Item, due_s: float) -> Work:
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


def _ok_outcome(item: Item, generation: Generation) -> Outcome:
    return Outcome(
        custom_id=item.custom_id,
        code=int(ResultCode.OK),
        text=generation.text,
        tokens=generation.tokens,
        served_by=tuple(generation.served_by),
    )
