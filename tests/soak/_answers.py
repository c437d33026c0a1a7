"""Checks that no answer is lost beside planned work and silent engines."""

from __future__ import annotations

from collections import defaultdict
from itertools import pairwise
from math import inf
from typing import TYPE_CHECKING

import attrs

from ._hosts import STOP_LIMIT_S

if TYPE_CHECKING:
    from collections.abc import Sequence

    from ._connections import SentRequest
    from ._engines import EngineRun
    from ._hosts import HostProcess

CONTACT_S = 4.0  # after unplanned work, until hosts count as undisturbed
APPLY_S = 3.0  # until a new configuration is in force at every host
# A host may close a connection that a request crosses, within this time.
CROSSING_S = 0.2
EARLY_S = 0.3  # by which an answer may end before its deadline
HELD_S = 0.5  # by which it may end later
STOP_MARGIN_S = 1.0  # after the time limit of a shutdown
LATE_SENT_S = 3.0  # after SIGTERM; the engine of a later request may not be awaited
ANSWERED = (200, 408, 421, 429, 503)
CALM_PREFIX = "/calm/"  # of requests that no faulty engine gets
CALM_LIMIT_S = 1.5  # for their answers: the latency goal of all routes


@attrs.define
class Disturbance:
    """A period of unplanned work; ``until_s`` is known when it has ended."""

    from_s: float
    until_s: float = inf
    delays_calm: bool = True  # also excuses late answers to calm requests


@attrs.frozen
class WrittenConfiguration:
    """The service and the time limit of each prefix of a configuration."""

    written_s: float
    routes: dict[str, tuple[str, float]]


@attrs.define
class AnswerChecks:
    """Checks requests of callers that were sent whole to undisturbed hosts."""

    requests: list[SentRequest] = attrs.field(factory=list)
    disturbances: list[Disturbance] = attrs.field(factory=list)
    configurations: list[WrittenConfiguration] = attrs.field(factory=list)
    counted: int = 0  # requests that nothing excuses from being answered

    def violations(
        self, runs: Sequence[EngineRun], hosts: Sequence[HostProcess]
    ) -> list[str]:
        """Return one line for each answer that is lost, wrong or late."""
        by_id: dict[str, list[EngineRun]] = defaultdict(list)
        for run in runs:
            by_id[run.request_id].append(run)
        stops = {host.name: host.stops for host in hosts}
        found = []
        for request in self.requests:
            its_runs = by_id[request.request_id]
            fault = self._fault(request, its_runs, stops[request.host])
            if fault:
                started_s = [(run.engine, run.started_s) for run in its_runs]
                found.append(f"{fault}: {request}, runs {started_s}")
        return found

    def _fault(
        self,
        request: SentRequest,
        runs: list[EngineRun],
        stops: list[tuple[float, float]],
    ) -> str:
        if request.sent_s == inf or self._is_disturbed(request):
            return ""
        routes = self._routes_in_force(request)
        services = {service for service, _ in routes}
        if any(run.service not in services for run in runs):
            return "run by another service"
        if None in services and request.status == 404:
            return ""
        self.counted += 1
        limit_s = min(limit_s for _, limit_s in routes)
        took_s = request.ended_s - request.begun_s
        answered = request.status in ANSWERED or bool(request.wrong_headers)
        if request.whole and answered:
            late = request.prefix == CALM_PREFIX and took_s > CALM_LIMIT_S
            return "calm request" if late else ""
        if request.ended_s > request.sent_s + limit_s + HELD_S:
            return "held past its deadline"
        if took_s > limit_s - EARLY_S or _crosses_close(request, runs):
            return ""
        if any(_excuses(stop, request, runs) for stop in stops):
            return ""
        return "no answer lost"

    def _is_disturbed(self, request: SentRequest) -> bool:
        calm = request.prefix == CALM_PREFIX
        return any(
            period.from_s <= request.ended_s
            and request.begun_s <= period.until_s + CONTACT_S
            for period in self.disturbances
            if period.delays_calm or not calm
        )

    def _routes_in_force(self, request: SentRequest) -> list[tuple[str | None, float]]:
        """Return the route in each configuration that may be in force."""
        none = WrittenConfiguration(inf, {})
        return [
            written.routes.get(request.prefix, (None, inf))
            for written, following in pairwise((*self.configurations, none))
            if written.written_s <= request.ended_s
            and following.written_s + APPLY_S >= request.begun_s
        ]


def _crosses_close(request: SentRequest, runs: list[EngineRun]) -> bool:
    """Whether a host may have closed the connection before it read on."""
    soon = request.ended_s - request.sent_s <= CROSSING_S
    return not request.status and not runs and (soon or request.behind_close)


def _excuses(
    stop: tuple[float, float], request: SentRequest, runs: list[EngineRun]
) -> bool:
    """Whether a host's stop, SIGTERM to end, excuses a lost answer."""
    signal_s, ended_s = stop
    if not request.sent_s <= ended_s or request.ended_s < signal_s:
        return False
    if request.ended_s > signal_s + STOP_LIMIT_S + STOP_MARGIN_S:
        return True
    last_sixth_s = signal_s + STOP_LIMIT_S * 5 / 6
    at_work = any((run.ended_s or inf) >= last_sixth_s for run in runs)
    return at_work and request.sent_s <= signal_s + LATE_SENT_S
