"""
Reads answers, and looks for another engine while one is silent.

A silent engine is kept until another one has answered; ``_handover`` decides
between the two.
"""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, TypeVar

from aspenbridge.observability import log_decision
from aspenbridge.ports import AttemptError, CallOutcome

from ._attempt import HandedOverError
from ._handover import EngineState, Verdict, judge_handover
from ._reading import read_chunks, read_whole

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

    from aspenbridge.ports import AnswerHead, Clock, RelayedAnswer
    from aspenbridge.quarantine import Quarantine

    from ._attempt import Attempt
    from ._attempts import Attempts
    from ._placement import OnlinePlacement
    from ._request import Progress

Part = TypeVar("Part")
# For a request that may run more than once (``Route.repeatable``) and has
# attempts left, another engine is looked for when the next part of the answer
# takes longer. That is twice the time to the first event on a full engine, or
# twenty usual gaps between events.
SILENCE_LIMIT_S = 0.6
# How often to look again while the engine stays silent and no other is free.
PLACEMENT_INTERVAL_S = 0.1
# How long a silent engine and its successor may both have the request. A free
# engine answers within half of it from another region.
HANDOVER_LIMIT_S = 0.3
MIN_ATTEMPT_S = 0.05  # less time than a first event takes
SERVER_ERROR = 500


class Failover:
    """Reads the parts of answers, each from the engine that serves it."""

    def __init__(
        self,
        placement: OnlinePlacement,
        attempts: Attempts,
        quarantine: Quarantine,
        clock: Clock,
    ) -> None:
        self._placement = placement
        self._attempts = attempts
        self._quarantine = quarantine
        self._clock = clock

    async def answer(self, progress: Progress, attempt: Attempt) -> RelayedAnswer:
        """
        Return the answer of an attempt once its head has come.

        :raises AttemptError: when none comes, at the latest at the deadline.
        :raises HandedOverError: when another engine has taken it over.
        """
        return await self._part(progress, attempt, attempt.opening, SILENCE_LIMIT_S)

    async def chunks(
        self, progress: Progress, attempt: Attempt
    ) -> AsyncIterator[bytes]:
        """
        Yield the parts of the body as they arrive.

        :raises AttemptError: as ``answer`` does.
        :raises HandedOverError: as ``answer`` does.
        """
        while chunk := await self._next_chunk(progress, attempt):
            yield chunk

    async def _next_chunk(self, progress: Progress, attempt: Attempt) -> bytes:
        remaining_s = self._remaining_s(progress)
        if remaining_s <= 0:
            # Data that always waits to be read would let no time-out come.
            raise AttemptError(CallOutcome.BROKEN, "answer was not complete in time")
        try:
            async with asyncio.timeout(min(SILENCE_LIMIT_S, remaining_s)):
                return await attempt.answer.read()
        except TimeoutError:
            reading = asyncio.ensure_future(attempt.answer.read())
            return await self._part(progress, attempt, reading, 0.0)

    async def _part(
        self,
        progress: Progress,
        attempt: Attempt,
        part: asyncio.Future[Part],
        silence_limit_s: float,
    ) -> Part:
        """
        Return the next part of an answer, however long its engine is silent.

        :param silence_limit_s: how long to wait before another engine that is
            free is asked for the answer as well.
        :raises AttemptError: when the answer breaks off, or the deadline of
            the request comes first.
        :raises HandedOverError: when another engine has taken it over.
        """
        try:
            await asyncio.wait(
                {part}, timeout=min(silence_limit_s, self._remaining_s(progress))
            )
            while not part.done():
                if self._remaining_s(progress) <= 0:
                    if part is attempt.opening:
                        # The opening ends by itself, and tells if it was sent.
                        await asyncio.wait({part})
                        break
                    raise _silent_error()
                successor = self._start_successor(progress, attempt)
                if successor is not None:
                    await self._settle(progress, attempt, part, successor)
                    continue
                wait_s = self._remaining_s(progress)
                if progress.may_switch_engine:
                    wait_s = min(wait_s, PLACEMENT_INTERVAL_S)
                await asyncio.wait({part}, timeout=wait_s)
            return part.result()
        finally:
            part.cancel()

    def _remaining_s(self, progress: Progress) -> float:
        return progress.call.deadline_s - self._clock.now_s()

    def _start_successor(self, progress: Progress, attempt: Attempt) -> Attempt | None:
        """Send the request to a free engine that has not run it, if it may."""
        if not (progress.may_switch_engine and attempt.may_be_left):
            return None
        if self._remaining_s(progress) <= MIN_ATTEMPT_S:
            return None
        if self._quarantine.held_key(progress.subjects) is not None:
            return None
        placed = None
        if progress.new_engines_left > 1:  # the running one counts, too
            placed = self._placement.place_elsewhere(
                progress.service, {*progress.broken_at, attempt.engine.id}
            )
        if placed is None and attempt.head is None:
            placed = self._placement.place_among(progress.service, progress.left_silent)
        return None if placed is None else self._attempts.start(progress, placed)

    async def _settle(
        self,
        progress: Progress,
        attempt: Attempt,
        part: asyncio.Future[Part],
        successor: Attempt,
    ) -> None:
        """
        Wait until it is clear which engine serves the request.

        :param attempt: the one whose engine fell silent.
        :param part: what the engine that fell silent has not sent yet.
        :raises HandedOverError: when it is the successor.
        """
        try:
            state, verdict = await self._await_verdict(progress, part, successor)
            if verdict is Verdict.KEEP and not progress.begun:
                await self._keep_failure(progress, successor)
        except BaseException:
            successor.close()
            self._attempts.record_abandoned(progress, successor)
            raise
        log_decision(
            "engine silent",
            request=progress.call.request_id,
            engine=progress.engine,
            successor=successor.engine.id,
            events=progress.events_sent,
            engine_state=_part_state(part).value,
            successor_state=state.value,
            verdict=verdict.value,
            asked_again=successor.asked_again,
        )
        if verdict is Verdict.MOVE:
            failure = _failure(part)
            if failure is None and not attempt.asked_again:
                progress.left_silent.add(attempt.engine.id)
            raise HandedOverError(successor, failure or _silent_error())
        error = _failure(successor.opening)
        if error is None and state is EngineState.FAILED:
            error = status_error(successor.answer.head)
        if error is None:
            error = AttemptError(CallOutcome.BROKEN, "the silent engine went on")
        successor.close()
        self._attempts.record_failure(progress, successor, error)
        # A run that has begun must not be followed by yet another one while
        # the silent engine works on.
        attempt.may_be_left = error.outcome is not CallOutcome.BROKEN

    async def _await_verdict(
        self, progress: Progress, part: asyncio.Future[Part], successor: Attempt
    ) -> tuple[EngineState, Verdict]:
        """Return what the successor has done, and which engine goes on."""
        deadline_s = min(
            self._clock.now_s() + HANDOVER_LIMIT_S, progress.call.deadline_s
        )
        while True:
            overdue = self._clock.now_s() >= deadline_s
            state = _successor_state(progress, successor)
            verdict = judge_handover(
                _part_state(part),
                state,
                overdue=overdue,
                asked_again=successor.asked_again,
            )
            if verdict is not Verdict.WAIT:
                return state, verdict
            await asyncio.wait(
                {task for task in (part, successor.opening) if not task.done()},
                timeout=max(0.0, deadline_s - self._clock.now_s()),
                return_when=asyncio.FIRST_COMPLETED,
            )

    async def _keep_failure(self, progress: Progress, attempt: Attempt) -> None:
        """Keep the server error that an engine gave, if it comes whole."""
        head = attempt.head
        if head is None or head.status < SERVER_ERROR:
            return
        deadline_s = self._clock.now_s() + HANDOVER_LIMIT_S
        chunks = read_chunks(attempt.answer, lambda: deadline_s - self._clock.now_s())
        try:
            body = await read_whole(head, chunks, progress.memory)
            progress.failed_answer = head, body
        except AttemptError as error:
            log_decision(
                "server error not kept",
                request=progress.call.request_id,
                engine=attempt.engine.id,
                reason=error.reason,
            )


def _silent_error() -> AttemptError:
    """Return the error of an engine that sent nothing in time."""
    return AttemptError(CallOutcome.BROKEN, "engine sent no data in time")


def status_error(head: AnswerHead) -> AttemptError:
    """Return the error of an answer that is passed on only if no other is."""
    reason = f"engine answered with status {head.status}"
    return AttemptError(CallOutcome.BROKEN, reason)


def _failure(part: asyncio.Future[Part]) -> AttemptError | None:
    """
    Return the error with which a part of an answer ended, if it did.

    :raises Exception: when it ended with any other error.
    """
    error = part.exception() if part.done() else None
    if error is None or isinstance(error, AttemptError):
        return error
    raise error


def _part_state(part: asyncio.Future[Part]) -> EngineState:
    if not part.done():
        return EngineState.SILENT
    if _failure(part) is not None:
        return EngineState.FAILED
    return EngineState.COMPLETED if part.result() == b"" else EngineState.SPOKE


def _successor_state(progress: Progress, successor: Attempt) -> EngineState:
    state = _part_state(successor.opening)
    if state is not EngineState.SPOKE:
        return state
    head = successor.answer.head
    usable = head.status < SERVER_ERROR and progress.can_use(head)
    return EngineState.SPOKE if usable else EngineState.FAILED
