"""Sends requests to engines, and notes how attempts fail."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import attrs

from aspenbridge.observability import MAX_LOGGED_PARTS, log_decision, metrics
from aspenbridge.ports import CallOutcome

from ._attempt import Attempt

if TYPE_CHECKING:
    from aspenbridge.fleet import EngineEntry, EngineHealth, LoadView
    from aspenbridge.ports import AttemptError, Clock, EngineCaller
    from aspenbridge.quarantine import Quarantine

    from ._request import Progress


class Attempts:
    """Starts the attempts of one host's requests and accounts for them."""

    def __init__(
        self,
        load_view: LoadView,
        health: EngineHealth,
        engine_caller: EngineCaller,
        quarantine: Quarantine,
        clock: Clock,
    ) -> None:
        self._load_view = load_view
        self._health = health
        self._engine_caller = engine_caller
        self._quarantine = quarantine
        self._clock = clock

    def start(self, progress: Progress, engine: EngineEntry) -> Attempt:
        """Send a request to an engine, from the last event on that it has."""
        call = progress.call
        if progress.begun:
            call = attrs.evolve(call, resume_after=progress.events.last_id)
        load = self._load_view.load(engine.id)
        asked_again = engine.id in progress.left_silent
        progress.left_silent.discard(engine.id)
        opening = self._engine_caller.open(
            engine.id, engine.address, call, call.deadline_s
        )
        return Attempt(
            engine,
            asyncio.ensure_future(opening),
            (load.online, load.batch),
            self._load_view,
            asked_again=asked_again,
        )

    def record_failure(
        self, progress: Progress, attempt: Attempt, error: AttemptError
    ) -> None:
        """Update the request and the engine's health after a failure."""
        engine, head = attempt.engine, attempt.head
        progress.tried.add(engine.id)
        if error.outcome is CallOutcome.BROKEN:
            progress.broken_at.add(engine.id)
        if error.outcome is CallOutcome.NOT_SENT:
            self._health.record_unreachable(engine.id)
            self._quarantine.record_unreachable(engine)
        elif error.outcome is not CallOutcome.EXPIRED:
            progress.failed_sends += 1
        if error.outcome is CallOutcome.REFUSED:
            self._health.record_refusal(engine.id)
        if error.outcome is CallOutcome.BROKEN:
            progress.may_have_run = True
            progress.lost_connections += error.connection_lost
            self._quarantine.record_broken_run(
                progress.subjects,
                engine,
                connection_lost=error.connection_lost,
                arrivals=attempt.arrivals,
            )
        else:
            reached = error.outcome is CallOutcome.REFUSED
            self._quarantine.record_not_run(progress.subjects, reached=reached)
        metrics.ATTEMPT_FAILURES.labels(error.outcome.value).inc()
        log_decision(
            "attempt failed",
            request=progress.call.request_id,
            engine=engine.id,
            outcome=error.outcome.value,
            reason=error.reason,
            connection_lost=error.connection_lost,
            remaining_ms=round((progress.call.deadline_s - self._clock.now_s()) * 1000),
            body_end=head and head.body_end.value,
            events=progress.events_sent,
            fingerprint=progress.subjects.request,
            prompt_parts=progress.prompt_parts[:MAX_LOGGED_PARTS],
            answer_events=attempt.arrivals.count,
            streamed_ms=round(attempt.arrivals.span_s * 1000),
            sends=progress.failed_sends,
            asked_again=attempt.asked_again,
        )

    def record_abandoned(self, progress: Progress, attempt: Attempt) -> None:
        """Record that a request was left before its answer was complete."""
        self._quarantine.record_broken_run(
            progress.subjects,
            attempt.engine,
            connection_lost=False,
            arrivals=attempt.arrivals,
        )
