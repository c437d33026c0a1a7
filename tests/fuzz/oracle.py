"""Checks a history by the responses to callers and the backend runs."""

from __future__ import annotations

from collections import Counter, defaultdict
from typing import TYPE_CHECKING, Any

import attrs
from returns.result import Failure

from aspenbridge.embedded import token_text
from aspenbridge.result_codes import Execution, ResultCode
from tests.support.fleet import ConnectionLost

if TYPE_CHECKING:
    from tests.support.fleet import Fleet, FleetHost
    from tests.support.gates import EngineRun

# The longest times until no host starts recalled work, until every host has an
# accepted change, until no host starts an item of a cancelled job, and until
# all work has ended once the faults are healed.
RECALL_BOUND_S = 17.0
CONFIGURATION_BOUND_S = 17.0
CANCEL_BOUND_S = 17.0
RECOVERY_BOUND_S = 60.0
# Runs that a host starts within this time after a pause are not checked.
RESUME_GRACE_S = 0.5


def answer(prompt: str, tokens: int) -> str:
    """Return the only correct answer to a prompt."""
    return "".join(token_text(prompt, index) for index in range(tokens))


@attrs.define(eq=False)
class SentRequest:
    """A request that a caller sent, and the response, or None without one."""

    kind: str
    key: str
    body: str
    host: str
    response: Any = None

    @property
    def refused(self) -> bool:
        """Whether the response says that the work was not run."""
        return (
            isinstance(self.response, Failure)
            and self.response.failure().execution is Execution.NOT_RUN
        )

    @property
    def succeeded(self) -> bool:
        return self.response is not None and not isinstance(
            self.response, Failure | ConnectionLost
        )


@attrs.define(eq=False)
class AcceptedJob:
    """
    A batch job whose submission a caller knows to be accepted.

    :ivar items: the prompt of each item, by ``custom_id``.
    :ivar cancelled_s: when a caller learned that the job is cancelled.
    """

    job_id: str
    items: dict[str, str]
    cancelled_s: float | None = None


class Oracle:
    """
    Collects responses and observed state, and lists broken promises.

    :ivar jobs: the accepted jobs by id.
    :ivar job_keys: the id of the job that was submitted under each key.
    :ivar accepted: the marker's value and the time of the response, by the
        revision of each accepted change.
    :ivar refused_markers: the marker's values of the refused changes.
    :ivar recalled: when each ``model@version`` was recalled.
    """

    def __init__(self, fleet: Fleet) -> None:
        self._fleet = fleet
        self.violations: list[str] = []
        self.sent_requests: list[SentRequest] = []
        self.jobs: dict[str, AcceptedJob] = {}
        self.job_keys: dict[str, str] = {}
        self.accepted: dict[int, tuple[str, float]] = {}
        self.refused_markers: set[str] = set()
        self.recalled: dict[str, float] = {}
        self._answers: dict[str, Any] = {}
        self._outcomes: dict[str, dict[str, Any]] = {}
        self._accepted_bodies: dict[str, str] = {}
        self._revisions: dict[str, int] = {}
        self._checked_runs = 0

    def add_violation(self, promise: str, detail: str) -> None:
        """Add a broken promise to the violations, each text once."""
        text = f"{promise}: {detail}"
        if text not in self.violations:
            self.violations.append(text)

    def record_request(
        self, kind: str, key: str, body: str, host: FleetHost
    ) -> SentRequest:
        """Record a request before it is sent."""
        request = SentRequest(kind, key, body, host.gate.name)
        self.sent_requests.append(request)
        return request

    def check_coding_response(self, request: SentRequest, tokens: int) -> None:
        """Check the response to a coding request."""
        if not request.succeeded:
            return
        record = request.response.unwrap()
        if self._accepted_bodies.setdefault(request.key, request.body) != request.body:
            self.add_violation(
                "key conflict", f"{request.key} was accepted with two bodies"
            )
        if record.state == "accepted":
            return
        if record.state == "done" and record.text != answer(request.body, tokens):
            self.add_violation("whole answer", f"{request.key} got {record.text!r}")
        first = self._answers.setdefault(request.key, record)
        if first != record:
            self.add_violation(
                "one answer", f"{request.key} got {first} and later {record}"
            )

    def coding_bodies(self) -> list[tuple[str, str]]:
        """Return each pair of a key and a body that was sent under it."""
        requests = [
            request for request in self.sent_requests if request.kind == "coding"
        ]
        return list(dict.fromkeys((request.key, request.body) for request in requests))

    def may_have_run(self, key: str, body: str) -> bool:
        """
        Return whether work with this key and body may have run.

        It has not if the responses to all its requests say so.
        """
        requests = [
            request
            for request in self.sent_requests
            if (request.key, request.body) == (key, body)
        ]
        return not all(request.refused for request in requests)

    def accepted_body(self, key: str) -> str | None:
        """Return the body that was accepted under a key, by the responses."""
        return self._accepted_bodies.get(key)

    def check_booking_response(self, request: SentRequest) -> None:
        """Check the response to a booking."""
        if request.succeeded:
            reply = request.response.unwrap()
            first = self._answers.setdefault(request.key, reply)
            if first != reply:
                self.add_violation(
                    "one answer", f"{request.key} got {first}, later {reply}"
                )
        self.check_bookings(request.key)

    def check_job_response(self, request: SentRequest, items: dict[str, str]) -> None:
        """Check the response to the submission of a batch job."""
        if not request.succeeded:
            return
        job_id = request.response.unwrap().job_id
        first = self.job_keys.setdefault(request.key, job_id)
        if first != job_id:
            self.add_violation("one job", f"{request.key} became {first} and {job_id}")
        self.jobs.setdefault(job_id, AcceptedJob(job_id, items))

    def check_change_response(self, value: str, response: Any) -> None:
        """
        Check the response to a change of the configuration.

        :param value: the value that the change gives to the marker.
        """
        if isinstance(response, ConnectionLost):
            return
        if isinstance(response, Failure):
            if response.failure().execution is Execution.NOT_RUN:
                self.refused_markers.add(value)
            return
        revision = response.unwrap().revision
        if revision in self.accepted:
            self.add_violation(
                "racing operators", f"revision {revision} was accepted twice"
            )
        self.accepted[revision] = (value, self._fleet.clock.now_s())

    def check_bookings(self, key: str | None = None) -> None:
        """Check the bookings that the service ran against the responses."""
        requests: dict[str, list[SentRequest]] = defaultdict(list)
        for request in self.sent_requests:
            if request.kind == "booking" and key in (None, request.key):
                requests[request.body].append(request)
        for body, group in requests.items():
            runs = self._fleet.ledger.runs[body.encode()]
            if runs > 1:
                self.add_violation("at most once", f"booking {body} ran {runs} times")
            if runs and all(request.refused for request in group):
                self.add_violation(
                    "truthful refusal", f"booking {body} was refused but ran"
                )
            if not runs and any(request.succeeded for request in group):
                self.add_violation("truthful answer", f"booking {body} never ran")

    def check_now(self) -> None:
        """Check the promises that must hold at all times."""
        for run in self._fleet.runs[self._checked_runs :]:
            self._check_run(run)
        self._checked_runs = len(self._fleet.runs)
        for host in self._fleet.usable():
            self._check_view(host)
            if host.core.supervisor.task_died.is_set():
                self.add_violation("no task dies", f"a loop of {host.gate.name} ended")

    def _check_run(self, run: EngineRun) -> None:
        if run.started_s - run.gate.resumed_s < RESUME_GRACE_S:
            return
        recalled_s = self.recalled.get(f"{run.engine.model}@{run.engine.version}")
        if recalled_s is not None and run.started_s > recalled_s + RECALL_BOUND_S:
            late_s = run.started_s - recalled_s
            detail = f"{run.gate.name} began {run.prompt!r} {late_s:.1f} s later"
            self.add_violation("recall", detail)
        for job in self.jobs.values():
            if job.cancelled_s is None or run.prompt not in job.items.values():
                continue
            limit_s = max(job.cancelled_s, self._fleet.undisturbed_since_s(run.gate))
            if run.started_s > limit_s + CANCEL_BOUND_S:
                late_s = run.started_s - job.cancelled_s
                detail = f"{run.gate.name} began {run.prompt!r} {late_s:.1f} s later"
                self.add_violation("cancelled job", detail)

    def _check_view(self, host: FleetHost) -> None:
        view, name = host.core.view, host.gate.name
        last = self._revisions.get(name, 0)
        if view.revision < last:
            self.add_violation(
                "never reverts", f"{name}: revision {last} became {view.revision}"
            )
        self._revisions[name] = max(last, view.revision)
        marker = view.find("customer", "marker")
        value = marker.labels["value"] if marker else None
        expected = self.accepted.get(view.revision)
        if expected is not None and value != expected[0]:
            detail = f"{name} shows {value} at {view.revision}, not {expected[0]}"
            self.add_violation("accepted change", detail)
        if value in self.refused_markers:
            self.add_violation(
                "truthful refusal", f"change {value} is in force on {name}"
            )
        self._check_propagation(host)

    def _check_propagation(self, host: FleetHost) -> None:
        now_s = self._fleet.clock.now_s()
        undisturbed_since_s = self._fleet.undisturbed_since_s(host)
        for revision, (_, accepted_s) in self.accepted.items():
            due_s = max(accepted_s, undisturbed_since_s) + CONFIGURATION_BOUND_S
            if now_s > due_s and host.core.view.revision < revision:
                detail = f"{host.gate.name} lacks revision {revision}"
                self.add_violation("in force everywhere", detail)

    def check_all_answered(self) -> None:
        """Check that each request to a live host got a response."""
        for request in self.unanswered():
            detail = f"{request.kind} {request.key} by {request.host}"
            self.add_violation("each caller is answered", detail)

    def unanswered(self) -> list[SentRequest]:
        """Return the requests to live hosts that got no response."""
        live_hosts = {host.gate.name for host in self._fleet.usable()}
        return [
            request
            for request in self.sent_requests
            if request.response is None and request.host in live_hosts
        ]

    def check_recovery_time(self, open_s: float) -> None:
        """
        Check how long work was open after all faults were healed.

        :param open_s: the seconds from the healing to the end of the work.
        """
        if open_s > RECOVERY_BOUND_S:
            self.add_violation("recovers in time", f"work was open for {open_s:.0f} s")

    def check_coding_end(self) -> None:
        """Check refusals of coding requests against the runs on engines."""
        ran = Counter(run.prompt for run in self._fleet.runs)
        requests: dict[str, list[SentRequest]] = defaultdict(list)
        for request in self.sent_requests:
            if request.kind == "coding":
                requests[request.body].append(request)
        for body, group in requests.items():
            if ran[body] and all(request.refused for request in group):
                codes = {request.response.failure().code.name for request in group}
                detail = f"{body!r} was refused ({sorted(codes)}) and ran"
                self.add_violation("truthful refusal", detail)

    def check_outcomes_unchanged(self, job_id: str, outcomes: Any) -> None:
        """Check that no result seen earlier has changed or disappeared."""
        seen = self._outcomes.setdefault(job_id, {})
        current = {item.custom_id: item for item in outcomes}
        for name, item in seen.items():
            if current.get(name) != item:
                self.add_violation("counted results stay", f"{job_id}: {name} changed")
        seen.update(current)

    def check_final_job(
        self, job: AcceptedJob, status: Any, outcomes: Any, tokens: int
    ) -> None:
        """Check the status and results of a job after faults are healed."""
        if isinstance(status, Failure) or isinstance(outcomes, Failure):
            self.add_violation("readable", f"{job.job_id}: {status} {outcomes}")
            return
        state = status.unwrap().job.state
        result_counts = Counter(item.custom_id for item in outcomes.unwrap())
        self.check_outcomes_unchanged(job.job_id, outcomes.unwrap())
        duplicates = sorted(name for name, count in result_counts.items() if count > 1)
        missing = sorted(job.items.keys() - result_counts.keys())
        if duplicates:
            self.add_violation("exactly once", f"{job.job_id} has {duplicates} twice")
        if job.cancelled_s is not None:
            if state != "cancelled":
                self.add_violation("cancelled job", f"{job.job_id} is {state}")
        elif state != "completed" or missing:
            self.add_violation(
                "no item lost", f"{job.job_id} is {state} and lacks {missing}"
            )
        for item in outcomes.unwrap():
            prompt = job.items.get(item.custom_id, "")
            is_correct = item.text == answer(prompt, tokens)
            if item.code == ResultCode.OK and not is_correct:
                self.add_violation(
                    "whole answer", f"{item.custom_id} got {item.text!r}"
                )
