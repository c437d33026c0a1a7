"""Checks the hosts' promises against responses and engines' runs."""

from __future__ import annotations

import json
import time
from collections import Counter
from typing import TYPE_CHECKING, Any

import attrs

from aspenbridge.result_codes import ResultCode

from ._answers import AnswerChecks
from ._engines import (
    CRASHING_PART,
    CRASHING_PREFIX,
    LEAVING_HEADER,
    PART_PREFIX,
    SERVER_STAMP_HEADER,
    expected_events,
)
from ._hosts import DRAIN_S

if TYPE_CHECKING:
    from collections.abc import Mapping

    from ._connections import SentRequest
    from ._engines import EngineRun
    from ._hosts import HostProcess

MAX_ITEM_FAILURES = 3  # after which an item is given up
MAX_CRASHES = 3  # after which a request is stopped
MAX_PART_CRASHES = 5  # after which a part is stopped
CONTACT_S = 4.0  # until all hosts know of a crash
MEMORY_BYTES = 32 * 1024 * 1024  # that a host may need beyond its calm need
SHOWN_CHARACTERS = 10  # of a wrong value, at least, that its refusal shows
MAX_LATE_SENDS = 3  # later than CONTACT_S after the last crash allowed


@attrs.define
class SentJob:
    """A batch job, with the responses and results that its caller received."""

    job_id: str
    items: dict[str, tuple[str, bytes]]  # path and body of each item
    tokens: int = 0  # of each item
    accepted: bool = False
    refused: bool = False  # every attempt to submit it was refused
    results: dict[int, dict[str, Any]] = attrs.field(factory=dict)  # by position

    @property
    def done(self) -> bool:
        """Whether a result was read for each item."""
        return len(self.results) == len(self.items)


@attrs.frozen
class StalePeriod:
    """A period in which a host (``*``: all) may miss the store's updates."""

    host: str
    from_s: float
    until_s: float


@attrs.define
class Oracle:
    """
    Records requests and responses, and describes each broken promise.

    :ivar runs: the requests that the engines started.
    :ivar violations: one line for each broken promise.
    :ivar run_once_ids: ids of requests that may run at most once.
    :ivar refused_ids: ids of requests that must not have run.
    :ivar newest_served: the newest configuration version that each host
        incarnation has served.
    :ivar jobs: the submitted jobs by id, accepted or not.
    :ivar answered_paths: the paths of requests that got a whole answer.
    :ivar drain_started_s: when the drain of each engine started.
    :ivar crashed_s: when engines crashed, by the path of the request or the
        part of its prompt.
    :ivar host_by_request: the name of the host that each request was sent to.
    :ivar sent_s: when callers began to send their requests, by id.
    :ivar leaving_marks_s: when answers that said that their engine leaves came
        from a host, by the names of host and engine.
    :ivar calm_memory_bytes: what each host needed before the first fault.
    """

    runs: list[EngineRun]
    violations: list[str] = attrs.field(factory=list)
    run_once_ids: set[str] = attrs.field(factory=set)
    refused_ids: set[str] = attrs.field(factory=set)
    jobs: dict[str, SentJob] = attrs.field(factory=dict)
    newest_served: dict[str, int] = attrs.field(factory=dict)
    answered_paths: set[str] = attrs.field(factory=set)
    drain_started_s: dict[str, float] = attrs.field(factory=dict)
    crashed_s: dict[str, list[float]] = attrs.field(factory=dict)
    host_by_request: dict[str, str] = attrs.field(factory=dict)
    sent_s: dict[str, float] = attrs.field(factory=dict)
    leaving_marks_s: dict[tuple[str, str], list[float]] = attrs.field(factory=dict)
    calm_memory_bytes: dict[str, int] = attrs.field(factory=dict)
    answers: AnswerChecks = attrs.field(factory=AnswerChecks)
    stale_periods: list[StalePeriod] = attrs.field(factory=list)
    response_counts: Counter[str] = attrs.field(factory=Counter)
    fault_counts: Counter[str] = attrs.field(factory=Counter)

    def add_violation(self, promise: str, detail: str) -> None:
        """Record a broken promise."""
        self.violations.append(f"{promise}: {detail}")

    def check_waiting_tokens(self, limit_tokens: int) -> None:
        """Check, as a job is accepted, that no more wait than may."""
        runs_by_id: dict[str, list[EngineRun]] = {}
        for run in self.runs:
            runs_by_id.setdefault(run.request_id, []).append(run)
        waiting = sum(
            job.tokens
            for job in self.jobs.values()
            if job.accepted
            for item_id in job.items
            if not _is_over(runs_by_id.get(item_id, []))
        )
        if waiting > limit_tokens:
            self.add_violation(
                "limit of waiting tokens", f"{waiting} wait, {limit_tokens} may"
            )

    def record_sent(self, request_id: str, host: str) -> None:
        """Record that a caller begins to send a request to a host."""
        self.host_by_request[request_id] = host
        self.sent_s[request_id] = now_s()

    def record_head(self, host: str, headers: Mapping[str, str]) -> None:
        """Record whether a host passed on that an engine leaves."""
        if LEAVING_HEADER in headers:
            marks = host, headers.get(SERVER_STAMP_HEADER, "")
            self.leaving_marks_s.setdefault(marks, []).append(now_s())

    def record_answer(self, request: SentRequest) -> None:
        """Record and check what the caller of a request received."""
        self.answers.requests.append(request)
        self.check_status(request.path, request.status, request.headers)
        if request.whole and request.status in (400, 503):
            self._check_refusal(request, json.loads(request.body))
        if request.whole and request.status == 200:
            self.response_counts["whole"] += 1
            path, events = request.path, request.events
            self.answered_paths.add(path)
            if events != expected_events(path, path.encode()):
                self.add_violation("whole answers", f"{path} got {str(events)[:80]}")
        elif request.whole and request.status in (429, 503):
            self.response_counts["refused"] += 1
            self.refused_ids.add(request.request_id)
        elif not request.whole:
            self.response_counts["no whole answer"] += 1

    def check_status(self, name: str, status: int, headers: Mapping[str, str]) -> None:
        """Check that an answer is not a failure of a host itself."""
        if status == 500 and SERVER_STAMP_HEADER not in headers:
            self.add_violation("no 500 of our own", name)

    def _check_refusal(self, request: SentRequest, problem: dict[str, Any]) -> None:
        """Check that a wrong value is named and no innocent one blamed."""
        values = request.wrong_headers.values()
        named = all(value[:SHOWN_CHARACTERS] in problem["error"] for value in values)
        if request.status == 400 and not (values and named):
            self.add_violation("wrong values", f"{request} got {problem}")
        innocent = not request.path.startswith((CRASHING_PREFIX, PART_PREFIX))
        blaming = (ResultCode.REQUEST_QUARANTINED, ResultCode.PROMPT_PART_HELD)
        if innocent and problem["code"] in blaming:
            self.add_violation("innocent requests", f"{request.path} got {problem}")

    def check_all(self, hosts: list[HostProcess]) -> None:
        """Check what can be judged only when a run has ended."""
        self.check_runs()
        self.check_jobs_ended()
        self.check_crashing_requests(hosts)
        self.check_leaving(hosts)
        self.violations += self.answers.violations(self.runs, hosts)

    def check_memory(self, host: HostProcess) -> None:
        """Check that a host needs little more memory than in calm."""
        bound_bytes = self.calm_memory_bytes[host.name] + MEMORY_BYTES
        if (peak_bytes := host.peak_memory_bytes) > bound_bytes:
            detail = f"{host.incarnation_name} over its bound {bound_bytes}"
            if not any(detail in violation for violation in self.violations):
                self.add_violation("memory", f"{detail}: {peak_bytes}")

    def check_leaving(self, hosts: list[HostProcess]) -> None:
        """
        Check that a host sends no request to an engine that leaves.

        The request was sent to the host later than ``DRAIN_S`` after the host
        passed the engine's mark on, and the host was not started, stopped,
        paused or killed since then.
        """
        changed_s = {host.name: host.changed_s for host in hosts}
        for run in self.runs:
            host = self.host_by_request.get(run.request_id, "")
            if any(
                self.sent_s[run.request_id] > mark_s + DRAIN_S
                and not any(mark_s < at_s <= run.started_s for at_s in changed_s[host])
                for mark_s in self.leaving_marks_s.get((host, run.engine), ())
            ):
                detail = f"{run.engine} got {run.request_id} of {host}"
                self.add_violation("leaving", detail)

    def check_version(
        self, incarnation: str, request: SentRequest, served_before: int, newest: int
    ) -> None:
        """
        Check that an incarnation does not return to an older configuration.

        :param request: checked if its route is in one version only.
        :param served_before: the newest version that the incarnation had
            served before the request was sent.
        :param newest: the newest version written when the response arrived.
        """
        if not request.prefix.startswith("/v"):
            return
        version = int(request.prefix[2:-1])
        if request.status == 200:
            if version < served_before:
                detail = f"{incarnation} serves {version} after {served_before}"
                self.add_violation("versions rise", detail)
            newest_served = self.newest_served.get(incarnation, 0)
            self.newest_served[incarnation] = max(newest_served, version)
        elif request.status == 404 and version == served_before == newest:
            self.add_violation("versions rise", f"{incarnation} lost {version}")

    def check_page(self, job: SentJob, first: int, page: dict[str, Any]) -> None:
        """
        Check a page of results against the pages read before.

        :param first: the position of the page's first result.
        """
        if page["total"] != len(job.items):
            self.add_violation("totals", f"{job.job_id} has {page['total']}")
        for position, result in enumerate(page["results"], start=first):
            first_read = job.results.setdefault(position, result)
            if first_read != result:
                self.add_violation("positions stay", f"{job.job_id} {position} changed")
            path, body = job.items[result["id"]]
            expected = "\n".join(expected_events(path, body))
            if result["state"] == "completed" and result["text"] != expected:
                self.add_violation(
                    "whole results", f"{result['id']} {result['text'][:40]!r}"
                )
        counts = Counter(result["id"] for result in job.results.values())
        for item_id, count in counts.items():
            if count > 1:
                self.add_violation("listed once", f"{item_id} at {count} positions")

    def check_drain(self, engine: str) -> None:
        """
        Check that a draining engine gets no requests.

        A host may still send some for ``DRAIN_S``, and also later if it may
        have missed updates of the store since the drain started.
        """
        started_s = self.drain_started_s[engine]
        for run in self.runs:
            host = self.host_by_request.get(run.request_id)
            late = run.engine == engine and run.started_s > started_s + DRAIN_S
            if (
                late
                and host
                and not self._may_miss_updates(host, started_s, run.started_s)
            ):
                self.add_violation("drain", f"{engine} got {run.request_id} of {host}")

    def _may_miss_updates(self, host: str, from_s: float, until_s: float) -> bool:
        return any(
            period.host in ("*", host)
            and period.from_s <= until_s
            and period.until_s >= from_s
            for period in self.stale_periods
        )

    def check_runs(self) -> None:
        """Check that no refused request ran and no run-once one ran twice."""
        counts = Counter(run.request_id for run in self.runs)
        for request_id in sorted(self.run_once_ids):
            if counts[request_id] > 1:
                self.add_violation(
                    "at most once", f"{request_id} ran {counts[request_id]} times"
                )
        for request_id in sorted(self.refused_ids):
            if counts[request_id]:
                self.add_violation("true refusals", f"{request_id} was refused and ran")
        for job in self.jobs.values():
            ran = [item for item in job.items if counts[item]]
            if job.refused and ran:
                self.add_violation(
                    "true refusals", f"{job.job_id} was refused, {ran[0]} ran"
                )

    def check_crashing_requests(self, hosts: list[HostProcess]) -> None:
        """
        Check that a request or a part that crashes engines is stopped.

        Sends of a host that was started, stopped, paused or killed in the
        ``CONTACT_S`` before do not count. Faults of the store excuse none,
        since the hosts reach each other all the time.
        """
        changed_s = {host.name: host.changed_s for host in hosts}
        for subject, crashed_s in self.crashed_s.items():
            part = subject.startswith(CRASHING_PART)
            allowed = MAX_PART_CRASHES if part else MAX_CRASHES
            late = [
                run.request_id
                for run in self.runs
                if subject == (run.crashing_part if part else run.path)
                and len(crashed_s) >= allowed
                and run.started_s > crashed_s[allowed - 1] + CONTACT_S
                and self._is_undisturbed(run, changed_s)
            ]
            if len(late) > MAX_LATE_SENDS:
                promise = "crashing part" if part else "crashing request"
                self.add_violation(promise, f"{subject} sent as {late}")

    def _is_undisturbed(
        self, run: EngineRun, changed_s: dict[str, list[float]]
    ) -> bool:
        host = self.host_by_request[run.request_id]
        since_s = run.started_s - CONTACT_S
        return not any(since_s < at_s <= run.started_s for at_s in changed_s[host])

    def check_jobs_ended(self) -> None:
        """Check that each accepted job has a result for every item."""
        for job in self.jobs.values():
            if job.accepted and not job.done:
                progress = f"{len(job.results)} of {len(job.items)}"
                self.add_violation(
                    "nothing is lost", f"{job.job_id} has {progress} results"
                )


def now_s() -> float:
    """Return the time on the clock that ``EngineRun.started_s`` uses."""
    return time.monotonic()


def _is_over(runs: list[EngineRun]) -> bool:
    """Whether an engine finished an item, or it failed too often."""
    failures = sum(run.failed for run in runs)
    return failures >= MAX_ITEM_FAILURES or any(run.finished for run in runs)
