"""Relays a caller's request to an engine and the answer back."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from aspenbridge.fleet import CallKind, Refused, virtual_host
from aspenbridge.limits import KeyedShares, MemoryBudget
from aspenbridge.observability import log_decision, metrics
from aspenbridge.ports import (
    FIRST_NOT_SUCCESS,
    AttemptError,
    BodyEnd,
    RelayedCall,
)
from aspenbridge.quarantine import is_part, request_fingerprint, run_subjects
from aspenbridge.result_codes import Problem, ResultCode, stopping_problem

from ._attempt import Attempt, HandedOverError
from ._attempts import Attempts
from ._custody import Custody
from ._events import EventSplitter
from ._failover import (
    MIN_ATTEMPT_S,
    PLACEMENT_INTERVAL_S,
    SERVER_ERROR,
    Failover,
    status_error,
)
from ._reading import read_events, read_whole
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

# The retry delay of a request whose attempts have failed; the engines that
# refused it have a free slot by then.
RETRY_AFTER_S = 0.2
# A request that has lost so many engines by the end of its connections waits
# before it is sent again, for as long as engines that crash together take.
QUICK_LOSSES = 2
BURST_S = 0.3
MIN_ANSWER_S = 1.0  # longer than most answers take
MAX_REQUESTS = 1000  # of a route, unless the host's machine says otherwise
RETRY_ELSEWHERE_S = 0.02  # short, since the retry goes to another host
MAX_TRIAL_WAIT_S = 60.0  # for which callers are asked to come back


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
        shares: KeyedShares | None = None,
    ) -> None:
        self._shares = shares or KeyedShares(MemoryBudget(), MAX_REQUESTS)
        self._placement = placement
        self._load_view = load_view
        self._health = health
        self._quarantine = quarantine
        self._clock = clock
        self._attempts = Attempts(load_view, health, engine_caller, quarantine, clock)
        self._failover = Failover(placement, self._attempts, quarantine, clock)

    async def serve(
        self,
        request: CallerRequest,
        configuration: Configuration,
        writer: ResponseWriter,
        custody: Custody | None = None,
    ) -> None:
        """
        Write the answer to a request, or a refusal, with ``writer``.

        :param custody: asked before the request is sent to an engine.
        """
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
            subjects=run_subjects(
                request_fingerprint(request.method, host, request.target, request.body),
                request.prompt_parts,
            ),
            prompt_parts=request.prompt_parts,
            custody=custody or Custody(),
            memory=request.memory,
        )
        outcome = "cancelled"
        with self._shares.hold(route.name, request.memory.held_bytes) as allowed:
            try:
                if allowed:
                    outcome = await self._serve(progress)
                else:
                    outcome = await self._fail(
                        progress, Refused(RETRY_ELSEWHERE_S), _no_room(route.name)
                    )
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
            if not (progress.may_have_run or progress.begun):
                progress.custody.take_back()
            if not self._may_retry(progress):
                return await self._fail(progress, Refused(RETRY_AFTER_S))
            if progress.lost_connections >= QUICK_LOSSES:
                await self._wait_out_burst(progress)

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
                self._record_completed(progress, current)
                return True
            except HandedOverError as error:
                self._attempts.record_failure(progress, current, error.reason)
                attempt = error.successor
            except AttemptError as error:
                self._attempts.record_failure(progress, current, error)
                return False
            except asyncio.CancelledError:
                # The caller has left; the engine may still crash.
                self._attempts.record_abandoned(progress, current)
                raise
            finally:
                current.close()

    def _record_completed(self, progress: Progress, attempt: Attempt) -> None:
        head = attempt.answer.head
        wrote = attempt.arrivals.count > 0 or not head.brings_events
        self._quarantine.record_completed(
            progress.subjects,
            attempt.engine,
            succeeded=head.status < FIRST_NOT_SUCCESS and wrote,
            end_marked=head.body_end is not BodyEnd.CONNECTION,
            arrivals=attempt.arrivals,
        )

    async def _begin_attempt(self, progress: Progress) -> Attempt | str:
        """Send the request to an engine, or fail it and return the outcome."""
        if self._remaining_s(progress) <= 0:
            return await self._fail(progress, Refused(RETRY_AFTER_S))
        if self._quarantine.wait_s(progress.subjects) > 0:
            return await self._fail_quarantined(progress)
        placed = await self._await_place(progress)
        if isinstance(placed, Refused):
            return await self._fail(progress, placed)
        if not await self._quarantine.begin_run(progress.subjects):
            return await self._fail_quarantined(progress)
        if not progress.custody.pass_on():
            self._quarantine.record_not_run(progress.subjects, reached=False)
            return await self._fail(progress, Refused(0.0), stopping_problem())
        return self._attempts.start(progress, placed)

    async def _await_place(self, progress: Progress) -> EngineEntry | Refused:
        """
        Return an engine, or a refusal if none has a place.

        A stream that has begun has an answer to lose, and waits for a place.
        Any other request is answered at once, so that its caller can try again
        at another host.
        """
        placed = self._place(progress)
        while isinstance(placed, Refused) and self._may_wait(progress):
            await self._clock.sleep_until(self._clock.now_s() + PLACEMENT_INTERVAL_S)
            progress.place_wait_s += PLACEMENT_INTERVAL_S
            placed = self._place(progress)
        return placed

    def _may_wait(self, progress: Progress) -> bool:
        if not progress.begun or self._quarantine.wait_s(progress.subjects) > 0:
            return False
        may_get_one = progress.new_engines_left > 0
        if not may_get_one and not self._placement.any_listed(progress.left_silent):
            return False
        wait_s = min(
            self._remaining_s(progress) - MIN_ATTEMPT_S,
            progress.abandoned_s - self._clock.now_s(),
        )
        return wait_s > PLACEMENT_INTERVAL_S

    def _place(self, progress: Progress) -> EngineEntry | Refused:
        placed: EngineEntry | Refused = Refused(RETRY_AFTER_S)
        # One that may have run queues as a new one does, not after them all.
        waited_s = self._clock.now_s() - progress.received_s
        if progress.new_engines_left > 0:
            placed = self._placement.place(
                progress.service,
                progress.route,
                progress.tried,
                0.0 if progress.may_have_run else waited_s,
            )
        if isinstance(placed, Refused):
            again = self._placement.place_among(progress.service, progress.left_silent)
            placed = again or placed
        return placed

    async def _wait_out_burst(self, progress: Progress) -> None:
        """
        Wait until engines that crash together are known to be gone.

        Without the wait a request meets one after the other in a moment, uses
        up its attempts and looks like the cause of their crashes. One with
        little time left does not wait.
        """
        if self._remaining_s(progress) > BURST_S + MIN_ANSWER_S:
            await self._clock.sleep_until(self._clock.now_s() + BURST_S)

    def _may_retry(self, progress: Progress) -> bool:
        """
        Return whether to try again after a failed attempt.

        ``may_send_again`` also allows a request that must not run twice if no
        engine can have run it. ``may_switch_engine`` applies during an
        attempt: it requires a repeatable request and another attempt left.
        """
        return progress.may_send_again and self._remaining_s(progress) > MIN_ATTEMPT_S

    def _remaining_s(self, progress: Progress) -> float:
        return progress.call.deadline_s - self._clock.now_s()

    async def _fail_quarantined(self, progress: Progress) -> str:
        key = progress.held = self._quarantine.held_key(progress.subjects)
        wait_s = max(RETRY_AFTER_S, self._quarantine.wait_s(progress.subjects))
        metrics.QUARANTINE.labels("refused").inc()
        code, what = ResultCode.REQUEST_QUARANTINED, "this request"
        retry_after_s: float | None = wait_s
        if key is not None and is_part(key):
            code, what = ResultCode.PROMPT_PART_HELD, "requests with a part of this one"
            # Coming back does not help when no trial is due soon.
            retry_after_s = wait_s if wait_s <= MAX_TRIAL_WAIT_S else None
        problem = Problem(
            code, f"engines crashed under {what}", retry_after_s=retry_after_s
        )
        await self._fail(progress, Refused(wait_s), problem)
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
            await progress.refuse(Problem(ResultCode.OUTCOME_UNKNOWN, detail))
            return "unknown"
        await progress.refuse(problem or self._not_run_problem(progress, refused))
        return "refused"

    def _not_run_problem(self, progress: Progress, refused: Refused) -> Problem:
        if self._remaining_s(progress) <= 0:
            detail = "the deadline passed before an engine ran the request"
            return Problem(ResultCode.DEADLINE_BEFORE_RUN, detail)
        return Problem(
            ResultCode.OVERLOADED,
            "no engine can serve in time",
            retry_after_s=refused.retry_after_s,
        )

    async def _relay_answer(self, progress: Progress, attempt: Attempt) -> None:
        """
        Relay an engine's answer to the caller.

        :raises AttemptError: when the attempt fails: no complete answer comes,
            a resumed stream gets an answer that is not a stream, or a server
            error comes while another engine may still be tried.
        :raises HandedOverError: when another engine has taken it over.
        """
        progress.answer = None
        answer = await self._failover.answer(progress, attempt)
        progress.answer = answer.head
        self._health.record_answer(attempt.engine.id)
        self._quarantine.record_alive(attempt.engine)
        chunks = self._failover.chunks(progress, attempt)
        if answer.head.brings_events and progress.can_use(answer.head):
            await self._relay_events(progress, attempt, chunks)
        else:
            await self._relay_whole(progress, answer.head, chunks)

    async def _relay_events(
        self, progress: Progress, attempt: Attempt, chunks: AsyncIterator[bytes]
    ) -> None:
        head = attempt.answer.head
        progress.events.restart()
        async for events in read_events(head, chunks, progress.events):
            progress.last_event_s = self._clock.now_s()
            attempt.arrivals.add(len(events), progress.last_event_s)
            self._quarantine.record_events(progress.subjects, attempt.arrivals)
            if progress.first_event_s is None:
                progress.first_event_s = progress.last_event_s
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
        """Relay an answer that brings no events, once it is complete."""
        if not progress.can_use(head):
            # Its body is not read, since nothing of it can be passed on.
            raise status_error(head)
        body = await read_whole(head, chunks, progress.memory)
        failed = head.status >= SERVER_ERROR
        if failed and progress.may_switch_engine:
            progress.failed_answer = head, body
            raise status_error(head)
        await self._send_whole(progress, head, body)

    async def _send_whole(
        self, progress: Progress, head: AnswerHead, body: bytes
    ) -> None:
        await progress.begin(head, len(body))
        await progress.send(body)
        await progress.writer.finish()

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
            fingerprint=progress.subjects.request,
            held=progress.held,
            route=progress.route.name,
            configuration=version,
            outcome=outcome,
            status=progress.status,
            code=progress.problem and int(progress.problem.code),
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
            place_wait_ms=round(progress.place_wait_s * 1000),
            first_event_ms=first_s and round((first_s - request.received_s) * 1000),
            total_ms=round(total_s * 1000),
        )


def _no_room(route: str) -> Problem:
    """Return the refusal of a request whose route holds as much as it may."""
    return Problem(
        ResultCode.OVERLOADED,
        f"requests of route {route!r} hold as much as they may",
        retry_after_s=RETRY_ELSEWHERE_S,
    )
