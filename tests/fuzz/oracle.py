"""Judges a history by what callers were told and what the back ends ran."""

from __future__ import annotations

from collections import Counter, defaultdict
from typing import TYPE_CHECKING, Any

import attrs
from returns.result import Failure

from aspenbridge.embedded import token_text
from aspenbridge.result_codes import Execution, ResultCode
from tests.support.fleet import Lost

if TYPE_CHECKING:
    from tests.support.fleet import Fleet, FleetHost
    from tests.support.gates import EngineRun

RECALL_BOUND_S = 17.0
CONFIGURATION_BOUND_S = 17.0
CANCEL_BOUND_S = 17.0
RECOVERY_BOUND_S = 60.0
RESUME_WINDOW_S = 0.5


def answer(prompt: str, tokens: int) -> str:
    """Return the one right answer to a prompt."""
    return "".join(token_text(prompt, index) for index in range(tokens))


@attrs.define(eq=False)
class Send:
    """One request that a caller sent, and what the caller was told."""

    kind: str
    key: str
    body: str
    host: str
    told: Any = None

    @property
    def refused(self) -> bool:
        """Whether the caller was told that the work was not run."""
        return (
            isinstance(self.told, Failure)
            and self.told.failure().execution is Execution.NOT_RUN
        )

    @property
    def succeeded(self) -> bool:
        return self.told is not None and not isinstance(self.told, Failure | Lost)


@attrs.define(eq=False)
class JobSent:
    """A job that a caller was told of."""

    job_id: str
    items: dict[str, str]
    cancelled_s: float | None = None


class Oracle:
    """Collects what was told and seen, and names each broken promise."""

    def __init__(self, fleet: Fleet) -> None:
        self._fleet = fleet
        self.violations: list[str] = []
        self.sends: list[Send] = []
        self.jobs: dict[str, JobSent] = {}
        self.job_keys: dict[str, str] = {}
        self.accepted: dict[int, tuple[str, float]] = {}
        self.refused_markers: set[str] = set()
        self.recalled: dict[str, float] = {}
        self._answers: dict[str, Any] = {}
        self._outcomes: dict[str, dict[str, Any]] = {}
        self._bodies: dict[str, str] = {}
        self._revisions: dict[str, int] = {}
        self._seen_runs = 0

    def blame(self, promise: str, detail: str) -> None:
        """Note a broken promise once."""
        text = f"{promise}: {detail}"
        if text not in self.violations:
            self.violations.append(text)

    def sent(self, kind: str, key: str, body: str, host: FleetHost) -> Send:
        """Note a request before it goes out."""
        send = Send(kind, key, body, host.gate.name)
        self.sends.append(send)
        return send

    def told_coding(self, send: Send, tokens: int) -> None:
        """Judge the answer to a coding request."""
        if not send.succeeded:
            return
        record = send.told.unwrap()
        if self._bodies.setdefault(send.key, send.body) != send.body:
            self.blame("key conflict", f"{send.key} was taken with two bodies")
        if record.state == "accepted":
            return
        if record.state == "done" and record.text != answer(send.body, tokens):
            self.blame("whole answer", f"{send.key} got {record.text!r}")
        first = self._answers.setdefault(send.key, record)
        if first != record:
            self.blame("one answer", f"{send.key} got {first} and later {record}")

    def coding_bodies(self) -> list[tuple[str, str]]:
        """Return each key with each body that was sent under it."""
        sends = [send for send in self.sends if send.kind == "coding"]
        return list(dict.fromkeys((send.key, send.body) for send in sends))

    def may_have_run(self, key: str, body: str) -> bool:
        """Whether no caller was told that all such requests were not run."""
        sends = [s for s in self.sends if (s.key, s.body) == (key, body)]
        return not all(send.refused for send in sends)

    def accepted_body(self, key: str) -> str | None:
        """Return the body that callers were told is accepted."""
        return self._bodies.get(key)

    def told_booking(self, send: Send) -> None:
        """Judge the answer to a booking."""
        if send.succeeded:
            reply = send.told.unwrap()
            first = self._answers.setdefault(send.key, reply)
            if first != reply:
                self.blame("one answer", f"{send.key} got {first}, later {reply}")
        self.check_bookings(send.key)

    def told_job(self, send: Send, items: dict[str, str]) -> None:
        """Judge the answer to a job's submission."""
        if not send.succeeded:
            return
        job_id = send.told.unwrap().job_id
        first = self.job_keys.setdefault(send.key, job_id)
        if first != job_id:
            self.blame("one job", f"{send.key} became {first} and {job_id}")
        self.jobs.setdefault(job_id, JobSent(job_id, items))

    def told_change(self, value: str, told: Any) -> None:
        """Judge the answer to a change of the configuration."""
        if isinstance(told, Lost):
            return
        if isinstance(told, Failure):
            if told.failure().execution is Execution.NOT_RUN:
                self.refused_markers.add(value)
            return
        revision = told.unwrap().revision
        if revision in self.accepted:
            self.blame("racing operators", f"revision {revision} was accepted twice")
        self.accepted[revision] = (value, self._fleet.clock.now_s())

    def check_bookings(self, key: str | None = None) -> None:
        """Compare the ledger with what the callers know."""
        sends: dict[str, list[Send]] = defaultdict(list)
        for send in self.sends:
            if send.kind == "booking" and key in (None, send.key):
                sends[send.body].append(send)
        for body, group in sends.items():
            runs = self._fleet.ledger.runs[body.encode()]
            if runs > 1:
                self.blame("at most once", f"booking {body} ran {runs} times")
            if runs and all(send.refused for send in group):
                self.blame("truthful refusal", f"booking {body} was told not run")
            if not runs and any(send.succeeded for send in group):
                self.blame("truthful answer", f"booking {body} never ran")

    def check_now(self) -> None:
        """Check what must hold at each moment."""
        for run in self._fleet.runs[self._seen_runs :]:
            self._check_run(run)
        self._seen_runs = len(self._fleet.runs)
        for host in self._fleet.usable():
            self._check_view(host)
            if host.core.supervisor.task_died.is_set():
                self.blame("no task dies", f"a loop of {host.gate.name} ended")

    def _check_run(self, run: EngineRun) -> None:
        if run.started_s - run.gate.resumed_s < RESUME_WINDOW_S:
            return
        recalled_s = self.recalled.get(f"{run.engine.model}@{run.engine.version}")
        if recalled_s is not None and run.started_s > recalled_s + RECALL_BOUND_S:
            late_s = run.started_s - recalled_s
            detail = f"{run.gate.name} began {run.prompt!r} {late_s:.1f} s later"
            self.blame("recall", detail)
        for job in self.jobs.values():
            if job.cancelled_s is None or run.prompt not in job.items.values():
                continue
            limit_s = max(job.cancelled_s, self._fleet.calm_since_s(run.gate))
            if run.started_s > limit_s + CANCEL_BOUND_S:
                late_s = run.started_s - job.cancelled_s
                detail = f"{run.gate.name} began {run.prompt!r} {late_s:.1f} s later"
                self.blame("cancelled job", detail)

    def _check_view(self, host: FleetHost) -> None:
        view, name = host.core.view, host.gate.name
        last = self._revisions.get(name, 0)
        if view.revision < last:
            self.blame("never reverts", f"{name}: {last} became {view.revision}")
        self._revisions[name] = max(last, view.revision)
        shown = view.find("customer", "marker")
        value = shown.labels["value"] if shown else None
        expected = self.accepted.get(view.revision)
        if expected is not None and value != expected[0]:
            detail = f"{name} shows {value} at {view.revision}, not {expected[0]}"
            self.blame("accepted change", detail)
        if value in self.refused_markers:
            self.blame("truthful refusal", f"change {value} is in force on {name}")
        self._check_spread(host)

    def _check_spread(self, host: FleetHost) -> None:
        now_s = self._fleet.clock.now_s()
        calm_s = self._fleet.calm_since_s(host)
        for revision, (_, accepted_s) in self.accepted.items():
            due_s = max(accepted_s, calm_s) + CONFIGURATION_BOUND_S
            if now_s > due_s and host.core.view.revision < revision:
                detail = f"{host.gate.name} lacks revision {revision}"
                self.blame("in force everywhere", detail)

    def check_all_answered(self) -> None:
        """Check that each caller of a host that lives was answered."""
        for send in self.unanswered():
            detail = f"{send.kind} {send.key} by {send.host}"
            self.blame("each caller is answered", detail)

    def unanswered(self) -> list[Send]:
        """Return what was sent to hosts that live and got no answer."""
        living = {host.gate.name for host in self._fleet.usable()}
        return [s for s in self.sends if s.told is None and s.host in living]

    def check_recovery(self, taken_s: float) -> None:
        """Check how long all took to end once every fault was healed."""
        if taken_s > RECOVERY_BOUND_S:
            self.blame("recovers in time", f"work was open for {taken_s:.0f} s")

    def check_coding_end(self) -> None:
        """Check refusals of coding requests against the engines' runs."""
        ran = Counter(run.prompt for run in self._fleet.runs)
        sends: dict[str, list[Send]] = defaultdict(list)
        for send in self.sends:
            if send.kind == "coding":
                sends[send.body].append(send)
        for body, group in sends.items():
            if ran[body] and all(send.refused for send in group):
                codes = {send.told.failure().code.name for send in group}
                detail = f"{body!r} was refused ({sorted(codes)}) and ran"
                self.blame("truthful refusal", detail)

    def see_outcomes(self, job_id: str, outcomes: Any) -> None:
        """Check that no result that was readable has changed or gone."""
        seen = self._outcomes.setdefault(job_id, {})
        found = {item.custom_id: item for item in outcomes}
        for name, item in seen.items():
            if found.get(name) != item:
                self.blame("counted results stay", f"{job_id}: {name} changed")
        seen.update(found)

    def check_job(self, job: JobSent, status: Any, outcomes: Any, tokens: int) -> None:
        """Check a job at the end, when every fault is healed."""
        if isinstance(status, Failure) or isinstance(outcomes, Failure):
            self.blame("readable", f"{job.job_id}: {status} {outcomes}")
            return
        state = status.unwrap().job.state
        found = Counter(item.custom_id for item in outcomes.unwrap())
        self.see_outcomes(job.job_id, outcomes.unwrap())
        doubled = sorted(name for name, count in found.items() if count > 1)
        lost = sorted(job.items.keys() - found.keys())
        if doubled:
            self.blame("exactly once", f"{job.job_id} has {doubled} twice")
        if job.cancelled_s is not None:
            if state != "cancelled":
                self.blame("cancelled job", f"{job.job_id} is {state}")
        elif state != "completed" or lost:
            self.blame("no item lost", f"{job.job_id} is {state} and lacks {lost}")
        for item in outcomes.unwrap():
            prompt = job.items.get(item.custom_id, "")
            right = item.text == answer(prompt, tokens)
            if item.code == ResultCode.OK and not right:
                self.blame("whole answer", f"{item.custom_id} got {item.text!r}")
