"""Runs generations, each on as many engines in turn as it needs."""

from __future__ import annotations

import asyncio
from contextlib import aclosing
from typing import TYPE_CHECKING

import attrs

from aspenbridge.limits import RetryBudget
from aspenbridge.ports import CallOutcome, EngineFailure, Generate
from aspenbridge.recall import RunningGrants
from aspenbridge.result_codes import Execution, Problem, ProblemError, ResultCode

from ._crash_guard import CrashGuard, NoGuard
from ._watch import AttemptWatch

if TYPE_CHECKING:
    from collections.abc import AsyncGenerator, Callable
    from random import Random

    from aspenbridge.configuration import View
    from aspenbridge.ports import Clock, EngineClient, GeneratedChunk
    from aspenbridge.work import Admission, Grant, Work

MAX_ENGINE_ATTEMPTS = 3
UNKNOWN_REVISION_RETRY_AFTER_S = 1.0
MAX_EXPLAINED_ENGINES = 10
REVOKE_NOTICE_WAIT_S = 0.1


@attrs.define
class Generation:
    """
    The output of a generation so far, and the engines that it used.

    :ivar tokens: the number of generated tokens.
    :ivar cached_tokens: the number of prompt tokens that engines read from
        their prefix cache.
    :ivar finish_reason: why the generation finished; None until then.
    :ivar served_by: the model versions of all attempts since the output was
        last discarded, each with its adapter if one was used.
    :ivar failed_on: the names of engines that failed.
    :ivar revocations: how often its slot was revoked.
    :ivar streamed: whether the caller receives the chunks as they arrive.
    """

    work: Work
    text: str = ""
    tokens: int = 0
    cached_tokens: int = 0
    finish_reason: str | None = None
    served_by: list[str] = attrs.field(factory=list)
    failed_on: set[str] = attrs.field(factory=set)
    revocations: int = 0
    streamed: bool = False

    def discard_output(self) -> None:
        """Discard the output, so that the generation starts again."""
        self.text = ""
        self.tokens = 0
        self.served_by.clear()

    def add(self, chunk: GeneratedChunk) -> None:
        """Append the next chunk to the output."""
        self.text += chunk.text
        self.tokens += chunk.tokens
        self.cached_tokens += chunk.cached_tokens
        self.finish_reason = chunk.finish_reason


class Generator:
    """
    Runs each generation on an engine, and resumes it elsewhere on failure.

    :ivar suspects: isolates requests that may crash engines.
    :ivar may_start: returns whether generations may start; False while this
        host must refuse work because its configuration may be outdated.
    :ivar on_step: is called with the id of a request and a text, for
        operators, that describes a step of its placement.
    """

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
        self._running_grants = RunningGrants(view)
        self.suspects: CrashGuard = NoGuard()
        self.may_start: Callable[[], bool] = lambda: True
        self.on_step: Callable[[str, str], None] = lambda request, step: None

    async def run(self, generation: Generation) -> AsyncGenerator[GeneratedChunk, None]:
        """
        Yield the chunks of a generation until it has finished.

        The revocation of a slot does not count as a failure: the generation
        waits for another slot and resumes with its output so far.

        :param generation: is updated with each chunk; a caller that retries
            after a problem passes the same object again.
        :raises ProblemError: if the generation can't be finished.
        """
        self._budget.count_request()
        failures = 0
        while generation.finish_reason is None:
            self._check_deadline(generation)
            grant = await self._acquire_grant(generation)
            try:
                async with aclosing(self._run_attempt(generation, grant)) as chunks:
                    with self._running_grants.track(generation.work, grant):
                        async for chunk in chunks:
                            yield chunk
            except EngineFailure as failure:
                self.on_step(generation.work.work_id, _failure_step(failure, grant))
                if grant.revoked.is_set():
                    generation.revocations += 1
                    continue
                self._check_deadline(generation)
                failures += 1
                generation.failed_on.add(failure.engine)
                if failures >= MAX_ENGINE_ATTEMPTS or not self._budget.try_spend():
                    raise _failure_problem(failure, generation).error() from failure

    async def finish(self, generation: Generation) -> Problem | None:
        """Run a generation to its end; return the problem that stopped it."""
        try:
            async with aclosing(self.run(generation)) as chunks:
                async for _ in chunks:
                    pass
        except ProblemError as error:
            return error.problem
        return None

    async def _acquire_grant(self, generation: Generation) -> Grant:
        """
        Wait for a slot on an engine that the configuration allows.

        The configuration may change during the wait, so the engine is checked
        again afterwards.
        """
        work = generation.work
        avoid = frozenset(generation.failed_on)
        while True:
            self._check_revision(work)
            engines = self._view.eligible_for(work)
            if not engines:
                self.on_step(work.work_id, f"refused: {self._explain_no_engine(work)}")
                raise self._no_engine_problem(work).error()
            grant = await self._admission.acquire(work, engines, avoid=avoid)
            problem = self._discard_recalled_output(generation)
            allowed = self.may_start() and self._view.allows(work, grant.engine)
            if problem is None and allowed:
                self.on_step(work.work_id, _placed_step(work, grant, len(engines)))
                return grant
            self._admission.release(grant, tokens=0, failed=False)
            if problem is not None:
                raise problem.error()

    def _check_revision(self, work: Work) -> None:
        """
        Check that generations may start at this host's configuration revision.

        :raises ProblemError: if ``may_start`` returns False.
        """
        if self.may_start():
            return
        self.on_step(
            work.work_id, "refused: the configuration revision may be outdated"
        )
        detail = "this host can't tell whether its configuration revision is current"
        problem = Problem(
            ResultCode.CONFIGURATION_UNKNOWN,
            detail,
            retry_after_s=UNKNOWN_REVISION_RETRY_AFTER_S,
        )
        raise problem.error()

    def _explain_no_engine(self, work: Work) -> str:
        serving_engines = self._view.placement.engines_serving(work.model, work.adapter)
        reasons = [
            f"{engine.name}: {reason}"
            for engine in serving_engines[:MAX_EXPLAINED_ENGINES]
            for reason in self._view.reasons_against(work, engine)
        ]
        return "; ".join(reasons) or f"no engine serves model {work.model!r}"

    def _discard_recalled_output(self, generation: Generation) -> Problem | None:
        """
        Discard the output if a version that produced part of it is recalled.

        :return: a problem if the caller has already received the output.
        """
        placement = self._view.placement
        recalled_versions = [
            name for name in generation.served_by if placement.stops_running_work(name)
        ]
        if not recalled_versions:
            return None
        if generation.streamed and generation.tokens:
            detail = f"{recalled_versions[0]} was recalled during the generation"
            return Problem(ResultCode.STREAM_TRUNCATED, detail)
        generation.discard_output()
        return None

    def _no_engine_problem(self, work: Work) -> Problem:
        if self._view.has_model(work.model):
            detail = f"no engine may run model {work.model!r} now"
            return Problem(ResultCode.NO_ENGINE_ALLOWED, detail)
        return Problem(ResultCode.UNKNOWN_MODEL, f"there is no model {work.model!r}")

    async def _run_attempt(
        self, generation: Generation, grant: Grant
    ) -> AsyncGenerator[GeneratedChunk, None]:
        work = generation.work
        engine = grant.engine
        call = self._make_call(generation, grant)
        version = engine.served_name(work.adapter)
        if version not in generation.served_by:
            generation.served_by.append(version)
        failed = False
        tokens_before = generation.tokens
        watch = AttemptWatch(
            self._engines, self._clock, grant, call.attempt_id, work.deadline_s
        )
        try:
            await self.suspects.wait_until_allowed(work, engine.name)
            with watch:
                async with aclosing(self._engines.generate(engine, call)) as chunks:
                    async for chunk in chunks:
                        generation.add(chunk)
                        yield chunk
            if generation.finish_reason is None:
                raise EngineFailure(
                    engine.name,
                    CallOutcome.BROKEN,
                    "the stream ended without a finish reason",
                )
        except EngineFailure as failure:
            failed = not (watch.expired or await _was_revoked(work, grant))
            if failed and failure.outcome is CallOutcome.BROKEN:
                await self.suspects.record_crash(work, engine.name)
            raise
        finally:
            self._end_attempt(generation)
            if generation.finish_reason is None and not failed:
                watch.cancel_in_background()
            self._admission.release(
                grant,
                tokens=generation.tokens - tokens_before,
                failed=failed,
                cached_tokens=generation.cached_tokens,
            )

    def _end_attempt(self, generation: Generation) -> None:
        if generation.finish_reason is not None:
            self.suspects.clear(generation.work)
        self.suspects.end_isolated_run(generation.work)

    def _make_call(self, generation: Generation, grant: Grant) -> Generate:
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
        detail = (
            f"request {work.work_id} had {generation.tokens} tokens at its deadline"
        )
        raise Problem(ResultCode.DEADLINE_EXCEEDED, detail, execution).error()


async def _was_revoked(work: Work, grant: Grant) -> bool:
    """
    Return whether the slot of an attempt that failed was revoked.

    The owner of the slot stops the attempt at the engine and notifies this
    host at the same time, so the failure may arrive before the notice. Batch
    work therefore waits up to ``REVOKE_NOTICE_WAIT_S`` for the notice.
    """
    if not work.online and not grant.revoked.is_set():
        try:
            async with asyncio.timeout(REVOKE_NOTICE_WAIT_S):
                await grant.revoked.wait()
        except TimeoutError:
            return False
    return grant.revoked.is_set()


def _failure_problem(failure: EngineFailure, generation: Generation) -> Problem:
    if generation.tokens:
        return Problem(ResultCode.STREAM_TRUNCATED, str(failure))
    return Problem(ResultCode.BACKEND_FAILED, str(failure))


def _placed_step(work: Work, grant: Grant, eligible: int) -> str:
    version = grant.engine.served_name(work.adapter)
    return f"placed on engine {grant.engine.name} ({version}), 1 of {eligible} eligible"


def _failure_step(failure: EngineFailure, grant: Grant) -> str:
    if grant.revoked.is_set():
        return f"slot on engine {failure.engine} was revoked"
    return f"failed: {failure}"
