"""Relays a caller's request to an engine and the answer back."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, TypeVar

import attrs

from aspenbridge.fleet import CallKind, Refused, virtual_host
from aspenbridge.observability import log_decision, metrics
from aspenbridge.ports import AttemptError, CallOutcome, RelayedCall
from aspenbridge.quarantine import QUARANTINE_CRASHES, request_fingerprint
from aspenbridge.result_codes import Problem, ResultCode

from ._attempt import Attempt, HandedOverError
from ._events import EventSplitter
from ._handover import EngineState, Verdict, judge_handover
from ._reading import read_chunks, read_events, read_whole
from ._request import Progress

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

    from aspenbridge.fleet import (
        Configuration,
        EngineEntry,
        EngineHealth,
        LoadView,
        Route,
    )
    from aspenbridge.ports import AnswerHead, Clock, EngineCaller
    from aspenbridge.quarantine import Quarantine

    from ._placement import OnlinePlacement
    from ._request import CallerRequest, ResponseWriter

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
# The retry delay of a request whose attempts have failed; the engines that
# refused it have a free slot by then.
RETRY_AFTER_S = 0.2
SERVER_ERROR = 500


class Relay:
    """Serves the online requests of one host."""

    def __init__(
        self,
        placement: OnlinePlacement,
        load_view: LoadView,
        health: EngineHealth,
        engine_caller: EngineCaller,
        quarantine: Quarantine,
        clock: Clock,
    ) -> None:
        self._placement = placement
        self._load_view = load_view
        self._health = health
        self._engine_caller = engine_caller
        self._quarantine = quarantine
        self._clock = clock

    async def serve(
        self,
        request: CallerRequest,
        configuration: Configuration,
        writer: ResponseWriter,
    ) -> None:
        """Write the answer to a request, or a refusal, with ``writer``."""
        host = virtual_host(request.host)
        route = configuration.route_for(host, request.path)
        if route is None or route.kind is CallKind.BATCH:
            detail = f"no route for {request.path!r} at {request.host!r}"
            # Also logged for a route of batch items, which serves no online
            # requests.
            log_decision(
                "request without a route",
                request=request.request_id,
                host=request.host,
                path=request.path,
                configuration=configuration.version,
            )
            await writer.refuse(Problem(ResultCode.NOT_FOUND, detail))
            return
        progress = Progress(
            call=self._call(request, route),
            route=route,
            service=self._placement.service(route),
            writer=writer,
            events=EventSplitter(request.resume_after),
            received_s=request.received_s,
            fingerprint=request_fingerprint(
                request.method, host, request.target, request.body
            ),
        )
        outcome = "cancelled"
        try:
            outcome = await self._serve(progress)
        finally:
            self._log_request(request, progress, configuration.version, outcome)

    def _call(self, request: CallerRequest, route: Route) -> RelayedCall:
        route_deadline_s = request.received_s + route.request_limit_s
        return RelayedCall(
            request_id=request.request_id,
            method=request.method,
            target=request.target,
            host=request.host,
            headers=request.headers,
            body=request.body,
            deadline_s=min(request.deadline_s, route_deadline_s),
            resume_after=request.resume_after,
        )

    async def _serve(self, progress: Progress) -> str:
        """Try engines until one answers; return the outcome for the log."""
        while True:
            attempt = await self._begin_attempt(progress)
            if not isinstance(attempt, Attempt):
                return attempt
            if await self._answer(progress, attempt):
                return "answered"
            if not self._may_retry(progress):
                return await self._fail(progress, Refused(RETRY_AFTER_S))

    async def _answer(self, progress: Progress, attempt: Attempt) -> bool:
        """
        Relay the answer of an attempt, or of one that takes over from it.

        :return: whether the answer is complete.
        """
        while True:
            current = attempt
            progress.engine = current.engine.id
            progress.found_load = current.found_load
            try:
                await self._relay_answer(progress, current)
                self._quarantine.record_completed(progress.fingerprint)
                return True
            except HandedOverError as error:
                self._record_failure(progress, current, error.reason)
                attempt = error.successor
            except AttemptError as error:
                self._record_failure(progress, current, error)
                return False
            except asyncio.CancelledError:
                # The caller has left; the engine may still crash.
                self._record_abandoned(progress, current)
                raise
            finally:
                current.close()

    async def _begin_attempt(self, progress: Progress) -> Attempt | str:
        """Send the request to an engine, or fail it and return the outcome."""
        placed = self._placement.place(
            progress.service,
            progress.route,
            progress.tried,
            self._clock.now_s() - progress.received_s,
        )
        if isinstance(placed, Refused):
            return await self._fail(progress, placed)
        if not await self._quarantine.begin_run(progress.fingerprint):
            return await self._fail_quarantined(progress)
        return self._start_attempt(progress, placed)

    def _start_attempt(self, progress: Progress, engine: EngineEntry) -> Attempt:
        call = progress.call
        if progress.begun:
            call = attrs.evolve(call, resume_after=progress.events.last_id)
        load = self._load_view.load(engine.id)
        opening = self._engine_caller.open(
            engine.id, engine.address, call, call.deadline_s
        )
        return Attempt(
            engine,
            asyncio.ensure_future(opening),
            (load.online, load.batch),
            self._load_view,
        )

    def _record_abandoned(self, progress: Progress, attempt: Attempt) -> None:
        self._quarantine.record_broken_run(
            progress.fingerprint, attempt.engine, connection_lost=False
        )

    def _may_retry(self, progress: Progress) -> bool:
        """
        Return whether to try again after a failed attempt.

        ``may_send_again`` also allows a request that must not run twice if no
        engine can have run it. ``may_switch_engine`` applies during an
        attempt: it requires a repeatable request and another attempt left.
        """
        remaining_s = progress.call.deadline_s - self._clock.now_s()
        return progress.may_send_again and remaining_s > MIN_ATTEMPT_S

    def _record_failure(
        self, progress: Progress, attempt: Attempt, error: AttemptError
    ) -> None:
        """Update the request and the engine's health after a failure."""
        engine, head = attempt.engine, attempt.head
        progress.tried.add(engine.id)
        if error.outcome is CallOutcome.BROKEN:
            progress.broken_at.add(engine.id)
        if error.outcome is CallOutcome.NOT_SENT:
            self._health.record_unreachable(engine.id)
        else:
            progress.failed_sends += 1
        if error.outcome is CallOutcome.REFUSED:
            self._health.record_refusal(engine.id)
        if error.outcome is CallOutcome.BROKEN:
            progress.may_have_run = True
            self._quarantine.record_broken_run(
                progress.fingerprint, engine, connection_lost=error.connection_lost
            )
        else:
            self._quarantine.record_not_run(progress.fingerprint)
        metrics.ATTEMPT_FAILURES.labels(error.outcome.value).inc()
        log_decision(
            "attempt failed",
            request=progress.call.request_id,
            engine=engine.id,
            outcome=error.outcome.value,
            reason=error.reason,
            connection_lost=error.connection_lost,
            remaining_ms=round(self._remaining_s(progress) * 1000),
            body_end=head and head.body_end.value,
            events=progress.events_sent,
            fingerprint=progress.fingerprint,
            sends=progress.failed_sends,
        )

    async def _fail_quarantined(self, progress: Progress) -> str:
        retry_after_s = self._quarantine.retry_after_s(progress.fingerprint)
        metrics.QUARANTINE.labels("refused").inc()
        problem = Problem(
            ResultCode.REQUEST_QUARANTINED,
            f"{QUARANTINE_CRASHES} or more engines crashed under this request",
            retry_after_s=retry_after_s,
        )
        await self._fail(progress, Refused(retry_after_s), problem)
        return "quarantined"

    async def _fail(
        self, progress: Progress, refused: Refused, problem: Problem | None = None
    ) -> str:
        """
        Tell the caller at once that no answer comes; return the outcome.

        :param problem: what to answer if no engine may have run the request,
            instead of the refusal for a full fleet.
        """
        progress.refused = refused
        if progress.begun:
            progress.writer.abort()
            return "broken off"
        if progress.failed_answer is not None:
            await self._send_whole(progress, *progress.failed_answer)
            return "answered"
        if progress.may_have_run:
            detail = "the engine may have run the request"
            await progress.writer.refuse(Problem(ResultCode.OUTCOME_UNKNOWN, detail))
            return "unknown"
        overloaded = Problem(
            ResultCode.OVERLOADED,
            "no engine can serve in time",
            retry_after_s=refused.retry_after_s,
        )
        await progress.writer.refuse(problem or overloaded)
        return "refused"

    async def _relay_answer(self, progress: Progress, attempt: Attempt) -> None:
        """
        Relay an engine's answer to the caller.

        :raises AttemptError: when the attempt fails: no complete answer comes,
            a resumed stream gets an answer that is not a stream, or a server
            error comes while another engine may still be tried.
        :raises HandedOverError: when another engine has taken it over.
        """
        progress.answer = None
        answer = await self._part(progress, attempt, attempt.opening, SILENCE_LIMIT_S)
        progress.answer = answer.head
        self._health.record_answer(attempt.engine.id)
        chunks = self._chunks(progress, attempt)
        if answer.head.streams and answer.head.status < SERVER_ERROR:
            await self._relay_events(progress, answer.head, chunks)
        else:
            await self._relay_whole(progress, answer.head, chunks)

    async def _relay_events(
        self, progress: Progress, head: AnswerHead, chunks: AsyncIterator[bytes]
    ) -> None:
        progress.events.restart()
        async for events in read_events(head, chunks, progress.events):
            if progress.first_event_s is None:
                progress.first_event_s = self._clock.now_s()
            if not progress.begun:
                await progress.begin(head)
            data = b"".join(event.raw for event in events)
            await progress.send(data, len(events))
        if not progress.begun:
            await progress.begin(head)
        await progress.writer.finish()

    async def _relay_whole(
        self, progress: Progress, head: AnswerHead, chunks: AsyncIterator[bytes]
    ) -> None:
        """Relay an answer that is not a stream, once it is complete."""
        body = await read_whole(head, chunks)
        failed = head.status >= SERVER_ERROR
        # If a stream has begun, a whole answer can't continue it, whatever its
        # status.
        if progress.begun or (failed and progress.may_switch_engine):
            progress.failed_answer = head, body
            raise _failed_with(head)
        await self._send_whole(progress, head, body)

    async def _send_whole(
        self, progress: Progress, head: AnswerHead, body: bytes
    ) -> None:
        await progress.begin(head, len(body))
        await progress.send(body)
        await progress.writer.finish()

    async def _chunks(
        self, progress: Progress, attempt: Attempt
    ) -> AsyncIterator[bytes]:
        """Yield the parts of the body as they arrive."""
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
                    raise _silent()
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
        if self._quarantine.is_quarantined(progress.fingerprint):
            return None
        placed = self._placement.place_elsewhere(
            progress.service, {*progress.broken_at, attempt.engine.id}
        )
        return None if placed is None else self._start_attempt(progress, placed)

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
            self._record_abandoned(progress, successor)
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
        )
        if verdict is Verdict.MOVE:
            raise HandedOverError(successor, _failure(part) or _silent())
        error = _failure(successor.opening)
        if error is None and state is EngineState.FAILED:
            error = _failed_with(successor.answer.head)
        if error is None:
            error = AttemptError(CallOutcome.BROKEN, "the silent engine went on")
        successor.close()
        self._record_failure(progress, successor, error)
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
            verdict = judge_handover(_part_state(part), state, overdue=overdue)
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
        chunks = read_chunks(attempt.answer, lambda: HANDOVER_LIMIT_S)
        try:
            progress.failed_answer = head, await read_whole(head, chunks)
        except AttemptError as error:
            log_decision(
                "server error not kept",
                request=progress.call.request_id,
                engine=attempt.engine.id,
                reason=error.reason,
            )

    def _log_request(
        self, request: CallerRequest, progress: Progress, version: int, outcome: str
    ) -> None:
        first_s = progress.first_event_s
        total_s = self._clock.now_s() - request.received_s
        metrics.REQUESTS.labels(outcome).inc()
        metrics.REQUEST_S.observe(total_s)
        if first_s is not None:
            metrics.FIRST_EVENT_S.observe(first_s - request.received_s)
        log_decision(
            "request",
            request=request.request_id,
            fingerprint=progress.fingerprint,
            route=progress.route.name,
            configuration=version,
            outcome=outcome,
            status=progress.status,
            streams=progress.answer and progress.answer.streams,
            body_end=progress.answer and progress.answer.body_end.value,
            events=progress.events_sent,
            body_bytes=progress.bytes_sent,
            engine=progress.engine,
            found_online=progress.found_load[0],
            found_batch=progress.found_load[1],
            hosts_heard=self._load_view.reporting_hosts(),
            engines=progress.refused and progress.refused.engines,
            retry_after_ms=progress.refused
            and round(progress.refused.retry_after_s * 1000),
            sends=progress.failed_sends + (outcome == "answered"),
            first_event_ms=first_s and round((first_s - request.received_s) * 1000),
            total_ms=round(total_s * 1000),
        )


def _silent() -> AttemptError:
    return AttemptError(CallOutcome.BROKEN, "engine sent no data in time")


def _failed_with(head: AnswerHead) -> AttemptError:
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
    unusable = head.status >= SERVER_ERROR or (progress.begun and not head.streams)
    return EngineState.FAILED if unusable else EngineState.SPOKE
