"""Runs one generation to its end, over several engines if need be."""

from __future__ import annotations

import asyncio
from contextlib import aclosing
from typing import TYPE_CHECKING

import attrs

from aspenbridge.limits import RetryBudget
from aspenbridge.ports import CallOutcome, EngineFailure, Generate
from aspenbridge.recall import PlacedGrants
from aspenbridge.result_codes import Execution, Problem, ProblemError, ResultCode

from ._crash_guard import CrashGuard, NoGuard
from ._watch import AttemptWatch

if TYPE_CHECKING:
    from collections.abc import AsyncGenerator, Callable
    from random import Random

    from aspenbridge.configuration import View
    from aspenbridge.ports import Clock, EngineClient, GeneratedChunk
    from aspenbridge.work import Admission, Grant, Work

ENGINE_ATTEMPTS = 3
UNSURE_RETRY_S = 1.0
ENGINES_EXPLAINED = 10
REVOKE_NOTICE_S = 0.1


@attrs.define
class Generation:
    """What a generation has produced so far, and where."""

    work: Work
    text: str = ""
    tokens: int = 0
    cached_tokens: int = 0
    finish_reason: str | None = None
    served_by: list[str] = attrs.field(factory=list)
    failed_on: set[str] = attrs.field(factory=set)
    revocations: int = 0
    streamed: bool = False

    def restart(self) -> None:
        """Forget what was produced so far."""
        self.text = ""
        self.tokens = 0
        self.served_by.clear()

    def add(self, chunk: GeneratedChunk) -> None:
        """Take in the next chunk."""
        self.text += chunk.text
        self.tokens += chunk.tokens
        self.cached_tokens += chunk.cached_tokens
        self.finish_reason = chunk.finish_reason


class Generator:
    """Finds an engine for each generation and resumes it after a failure."""

    def __init__(
        self,
        view: View,
        admission: Admission,
        engines: EngineClient,
        clock: Clock,
        random: Random,
        budget: RetryBudget,
    ) -> None:
        self._view = view
        self._admission = admission
        self._engines = engines
        self._clock = clock
        self._random = random
        self._budget = budget
        self._placed = PlacedGrants(view)
        self.suspects: CrashGuard = NoGuard()
        self.may_start: Callable[[], bool] = lambda: True
        self.on_step: Callable[[str, str], None] = lambda request, step: None

    async def run(self, generation: Generation) -> AsyncGenerator[GeneratedChunk, None]:
        """
        Yield the chunks of a generation until it has finished.

        A place that is taken back is no failure: the generation waits for
        another one and goes on with what it has.

        :param generation: is filled as chunks come; a caller that goes on
            after a failure hands in the same one again.
        :raises ProblemError: when it can't be finished.
        """
        self._budget.count_request()
        failures = 0
        while generation.finish_reason is None:
            self._check_deadline(generation)
            grant = await self._place(generation)
            try:
                async with aclosing(self._attempt(generation, grant)) as chunks:
                    with self._placed.hold(generation.work, grant):
                        async for chunk in chunks:
                            yield chunk
            except EngineFailure as failure:
                self.on_step(generation.work.work_id, _ended(failure, grant))
                if grant.revoked.is_set():
                    generation.revocations += 1
                    continue
                self._check_deadline(generation)
                failures += 1
                generation.failed_on.add(failure.engine)
                if failures >= ENGINE_ATTEMPTS or not self._budget.take():
                    raise _problem(failure, generation).error() from failure

    async def finish(self, generation: Generation) -> Problem | None:
        """Run a generation to its end; return the problem that stopped it."""
        try:
            async with aclosing(self.run(generation)) as chunks:
                async for _ in chunks:
                    pass
        except ProblemError as error:
            return error.problem
        return None

    async def _place(self, generation: Generation) -> Grant:
        work = generation.work
        avoid = frozenset(generation.failed_on)
        while True:
            self._check_certain(work)
            engines = self._view.eligible_for(work)
            if not engines:
                self.on_step(work.work_id, f"refused: {self._why_not(work)}")
                raise self._nowhere(work).error()
            grant = await self._admission.acquire(work, engines, avoid=avoid)
            problem = self._withdraw(generation)
            allowed = self.may_start() and self._view.allows(work, grant.engine)
            if problem is None and allowed:
                self.on_step(work.work_id, _placed(work, grant, len(engines)))
                return grant
            self._admission.release(grant, tokens=0, failed=False)
            if problem is not None:
                raise problem.error()

    def _check_certain(self, work: Work) -> None:
        """Start nothing on a revision that may have been superseded."""
        if self.may_start():
            return
        self.on_step(work.work_id, "refused: the revision may be old")
        detail = "this host can't tell whether its revision is in force"
        problem = Problem(
            ResultCode.CONFIGURATION_UNKNOWN, detail, retry_after_s=UNSURE_RETRY_S
        )
        raise problem.error()

    def _why_not(self, work: Work) -> str:
        carriers = self._view.placement.engines_serving(work.model, work.adapter)
        reasons = [
            f"{engine.name}: {reason}"
            for engine in carriers[:ENGINES_EXPLAINED]
            for reason in self._view.reasons_against(work, engine)
        ]
        return "; ".join(reasons) or f"no engine carries model {work.model!r}"

    def _withdraw(self, generation: Generation) -> Problem | None:
        """
        Drop what a model version produced that was recalled since.

        :return: a problem when the caller has already received it.
        """
        placement = self._view.placement
        recalled = [
            name for name in generation.served_by if placement.stops_running_work(name)
        ]
        if not recalled:
            return None
        if generation.streamed and generation.tokens:
            detail = f"{recalled[0]} was recalled while it answered"
            return Problem(ResultCode.STREAM_TRUNCATED, detail)
        generation.restart()
        return None

    def _nowhere(self, work: Work) -> Problem:
        if self._view.has_model(work.model):
            detail = f"no engine may run model {work.model!r} now"
            return Problem(ResultCode.NO_ENGINE_ALLOWED, detail)
        return Problem(ResultCode.UNKNOWN_MODEL, f"there is no model {work.model!r}")

    async def _attempt(
        self, generation: Generation, grant: Grant
    ) -> AsyncGenerator[GeneratedChunk, None]:
        work = generation.work
        engine = grant.engine
        call = self._call(generation, grant)
        served = engine.served_name(work.adapter)
        if served not in generation.served_by:
            generation.served_by.append(served)
        failed = False
        before = generation.tokens
        watch = AttemptWatch(
            self._engines, self._clock, grant, call.attempt_id, work.deadline_s
        )
        try:
            await self.suspects.before(work, engine.name)
            with watch:
                async with aclosing(self._engines.generate(engine, call)) as chunks:
                    async for chunk in chunks:
                        generation.add(chunk)
                        yield chunk
            if generation.finish_reason is None:
                raise EngineFailure(engine.name, CallOutcome.BROKEN, "stream ended")
        except EngineFailure as failure:
            failed = not (watch.expired or await _was_revoked(work, grant))
            if failed and failure.outcome is CallOutcome.BROKEN:
                await self.suspects.crashed(work, engine.name)
            raise
        finally:
            self._end_attempt(generation)
            if generation.finish_reason is None and not failed:
                watch.abandon()
            self._admission.release(
                grant,
                tokens=generation.tokens - before,
                failed=failed,
                cached_tokens=generation.cached_tokens,
            )

    def _end_attempt(self, generation: Generation) -> None:
        if generation.finish_reason is not None:
            self.suspects.finished(generation.work)
        self.suspects.ended(generation.work)

    def _call(self, generation: Generation, grant: Grant) -> Generate:
        work = generation.work
        return Generate(
            attempt_id=grant.grant_id,
            prompt=work.prompt,
            max_tokens=work.max_tokens,
            adapter=work.adapter,
            resume_text=generation.text,
            resume_tokens=generation.tokens,
        )

    def _check_deadline(self, generation: Generation) -> None:
        work = generation.work
        if self._clock.now_s() < work.deadline_s:
            return
        execution = Execution.UNKNOWN if generation.tokens else Execution.NOT_RUN
        detail = f"{work.work_id} had {generation.tokens} tokens at its deadline"
        raise Problem(ResultCode.DEADLINE_EXCEEDED, detail, execution).error()


async def _was_revoked(work: Work, grant: Grant) -> bool:
    """Wait a little: the owner stops the engine and notifies at one time."""
    if not work.online and not grant.revoked.is_set():
        try:
            async with asyncio.timeout(REVOKE_NOTICE_S):
                await grant.revoked.wait()
        except TimeoutError:
            return False
    return grant.revoked.is_set()


def _problem(failure: EngineFailure, generation: Generation) -> Problem:
    if generation.tokens:
        return Problem(ResultCode.STREAM_TRUNCATED, str(failure))
    return Problem(ResultCode.BACKEND_FAILED, str(failure))


def _placed(work: Work, grant: Grant, eligible: int) -> str:
    served = grant.engine.served_name(work.adapter)
    return f"placed on engine {grant.engine.name} ({served}), 1 of {eligible} eligible"


def _ended(failure: EngineFailure, grant: Grant) -> str:
    if grant.revoked.is_set():
        return f"place on engine {failure.engine} was revoked"
    return f"failed: {failure}"
