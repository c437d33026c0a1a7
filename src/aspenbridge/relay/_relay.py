"""Relays a caller's request to an engine and the answer back."""

from __future__ import annotations

import asyncio
from contextlib import contextmanager
from typing import TYPE_CHECKING

import attrs

from aspenbridge.fleet import CallKind, Refused, virtual_host
from aspenbridge.observability import log_decision, metrics
from aspenbridge.ports import AttemptError, CallOutcome, RelayedCall
from aspenbridge.quarantine import QUARANTINE_CRASHES, request_fingerprint
from aspenbridge.result_codes import Problem, ResultCode

from ._events import EventSplitter
from ._reading import read_chunks, read_events, read_whole
from ._request import Progress

if TYPE_CHECKING:
    from collections.abc import AsyncIterator, Iterator

    from aspenbridge.fleet import (
        Configuration,
        EngineEntry,
        EngineHealth,
        LoadView,
        Route,
    )
    from aspenbridge.ports import (
        Clock,
        EngineCaller,
        RelayedAnswer,
    )
    from aspenbridge.quarantine import Quarantine

    from ._placement import OnlinePlacement
    from ._request import CallerRequest, ResponseWriter

# A request that may run more than once (``Route.repeatable``) and has attempts
# left is sent to another engine when the head of the answer takes longer than
# the first limit, or the next chunk of the body longer than the second. They
# are twice the time to the first event on a full engine, or twenty usual gaps
# between events.
ANSWER_HEAD_LIMIT_S = 0.6
EVENT_GAP_LIMIT_S = 0.6
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
        service = self._placement.service(progress.route)
        while True:
            placed = self._placement.place(
                service,
                progress.route,
                progress.tried,
                self._clock.now_s() - progress.received_s,
            )
            if isinstance(placed, Refused):
                return await self._fail(progress, placed)
            if not await self._quarantine.begin_run(progress.fingerprint):
                return await self._fail_quarantined(progress)
            load = self._load_view.load(placed.id)
            progress.engine, progress.found_load = placed.id, (load.online, load.batch)
            try:
                with self._counted_in_load(placed):
                    await self._attempt(progress, placed)
                self._quarantine.record_completed(progress.fingerprint)
                return "answered"
            except AttemptError as error:
                self._record_failure(progress, placed, error)
            except asyncio.CancelledError:
                # The caller has left; the engine may still crash.
                self._quarantine.record_broken_run(
                    progress.fingerprint, placed, connection_lost=False
                )
                raise
            if not self._may_retry(progress):
                return await self._fail(progress, Refused(RETRY_AFTER_S))

    @contextmanager
    def _counted_in_load(self, engine: EngineEntry) -> Iterator[None]:
        self._load_view.add(engine.id, online=1)
        try:
            yield
        finally:
            self._load_view.add(engine.id, online=-1)

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
        self, progress: Progress, engine: EngineEntry, error: AttemptError
    ) -> None:
        """Update the request and the engine's health after a failure."""
        progress.tried.add(engine.id)
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
            remaining_ms=round((progress.call.deadline_s - self._clock.now_s()) * 1000),
            body_end=progress.answer and progress.answer.body_end.value,
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

    async def _attempt(self, progress: Progress, engine: EngineEntry) -> None:
        """
        Send the request to one engine and relay its answer.

        :raises AttemptError: when the attempt fails: no complete answer comes,
            a resumed stream gets an answer that is not a stream, or a server
            error comes while another engine may still be tried.
        """
        call = progress.call
        if progress.begun:
            call = attrs.evolve(call, resume_after=progress.events.last_id)
        progress.answer = None
        answer = await self._engine_caller.open(
            engine.id, engine.address, call, self._answer_deadline_s(progress)
        )
        progress.answer = answer.head
        try:
            self._health.record_answer(engine.id)
            if answer.head.streams and answer.head.status < SERVER_ERROR:
                await self._relay_events(progress, answer)
            else:
                await self._relay_whole(progress, answer)
        finally:
            answer.close()

    def _answer_deadline_s(self, progress: Progress) -> float:
        """Return until when to wait for the head of an engine's answer."""
        if progress.may_switch_engine:
            limit_s = self._clock.now_s() + ANSWER_HEAD_LIMIT_S
            return min(limit_s, progress.call.deadline_s)
        return progress.call.deadline_s

    async def _relay_events(self, progress: Progress, answer: RelayedAnswer) -> None:
        progress.events.restart()
        chunks = self._chunks(progress, answer)
        async for events in read_events(answer.head, chunks, progress.events):
            if progress.first_event_s is None:
                progress.first_event_s = self._clock.now_s()
            if not progress.begun:
                await progress.begin(answer.head)
            data = b"".join(event.raw for event in events)
            await progress.send(data, len(events))
        if not progress.begun:
            await progress.begin(answer.head)
        await progress.writer.finish()

    async def _relay_whole(self, progress: Progress, answer: RelayedAnswer) -> None:
        """Relay an answer that is not a stream, once it is complete."""
        body = await read_whole(answer.head, self._chunks(progress, answer))
        failed = answer.head.status >= SERVER_ERROR
        # If a stream has begun, a whole answer can't continue it, whatever its
        # status.
        if progress.begun or (failed and progress.may_switch_engine):
            reason = f"engine answered with status {answer.head.status}"
            raise AttemptError(CallOutcome.BROKEN, reason)
        await progress.begin(answer.head, len(body))
        await progress.send(body)
        await progress.writer.finish()

    def _chunks(
        self, progress: Progress, answer: RelayedAnswer
    ) -> AsyncIterator[bytes]:
        """Return the body's chunks; too long a gap fails the attempt."""

        def gap_limit_s() -> float:
            remaining_s = progress.call.deadline_s - self._clock.now_s()
            return (
                min(remaining_s, EVENT_GAP_LIMIT_S)
                if progress.may_switch_engine
                else remaining_s
            )

        return read_chunks(answer, gap_limit_s)

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
