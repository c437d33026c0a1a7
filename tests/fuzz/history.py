"""One history: callers, operators and faults acting on a small fleet."""

from __future__ import annotations

import json
from collections import Counter
from collections.abc import Coroutine
from contextlib import aclosing
from typing import Any

from returns.result import Failure

from aspenbridge.configuration import ConfigObject
from aspenbridge.online import Generation
from aspenbridge.result_codes import Execution, ProblemError
from aspenbridge.work import Work
from tests.fuzz.oracle import AcceptedJob, Oracle, answer
from tests.support.fleet import MODEL, SERVICE, ConnectionLost, Fleet, FleetHost, marker

CUSTOMER = "kgotso"
TOKENS = 16
ITEMS = 24
REQUEST_LIMIT_S = 20.0
# How long the fleet runs on after all faults are healed: at least the first
# time, and at most about the second while accepted work is open.
MIN_SETTLE_S = 20.0
MAX_SETTLE_S = 150.0
IMPOSSIBLE_PROMPT = "an item that can never be done"
RECALLED = f"{MODEL}@1"


class History:
    """
    Runs actions and faults on a fleet and passes the results to the oracle.

    :ivar steps: the actions and faults so far, each with its virtual time.
    :ivar faults: how often each kind of fault was recorded.
    :ivar cut_streams: the prompts of chats whose stream ended with an error.
    """

    def __init__(self, seed: int, hosts: int = 3) -> None:
        self.fleet = Fleet(seed, hosts)
        self.oracle = Oracle(self.fleet)
        self.steps: list[str] = []
        self.faults: Counter[str] = Counter()
        self.cut_streams: list[str] = []
        self._number = 0
        self._coding: dict[str, str] = {}
        self._bookings: dict[str, str] = {}
        self._job_items: dict[str, dict[str, str]] = {}

    # requests of callers

    def submit_coding(self, host: FleetHost, key: str | None = None) -> None:
        """Send a new coding request, or resend the one with the given key."""
        key = key or self._new_name("coding")
        body = self._coding.setdefault(key, f"prompt of {key}")
        self._add_step(f"coding {key} by {host.gate.name}")
        self.fleet.spawn(self._send_coding(host, key, body))

    def submit_conflicting_coding(self, host: FleetHost, key: str) -> None:
        """Send a coding request with a new body under a key already used."""
        self._add_step(f"coding {key} with another body by {host.gate.name}")
        self.fleet.spawn(self._send_coding(host, key, f"another {self._new_name(key)}"))

    async def _send_coding(self, host: FleetHost, key: str, body: str) -> Any:
        request = self.oracle.record_request("coding", key, body, host)
        work = self._work(body, self._new_name("req"))
        request.response = await self.fleet.send_request(
            host, host.core.coding.submit(work, key)
        )
        self.oracle.check_coding_response(request, TOKENS)
        return request.response

    def submit_chat(self, host: FleetHost) -> None:
        """Send a streamed chat request, which is not durable."""
        prompt = self._new_name("chat")
        self._add_step(f"{prompt} by {host.gate.name}")
        self.fleet.spawn(self.fleet.send_request(host, self._stream(host, prompt)))

    async def _stream(self, host: FleetHost, prompt: str) -> None:
        generation = Generation(self._work(prompt, prompt), streamed=True)
        text = ""
        try:
            async with aclosing(host.core.generator.run(generation)) as chunks:
                async for chunk in chunks:
                    text += chunk.text
        except ProblemError:
            self.cut_streams.append(prompt)
            return
        if text != answer(prompt, TOKENS):
            self.oracle.add_violation("whole answer", f"{prompt} got {text!r}")

    def submit_booking(self, host: FleetHost, key: str | None = None) -> None:
        """Send a new booking, or resend the one with the given key."""
        key = key or self._new_name("booking")
        body = self._bookings.setdefault(key, f"tool of {key}")
        self._add_step(f"{key} by {host.gate.name}")
        self.fleet.spawn(self._book(host, key, body))

    async def _book(self, host: FleetHost, key: str, body: str) -> None:
        request = self.oracle.record_request("booking", key, body, host)
        limit_s = self.fleet.clock.now_s() + REQUEST_LIMIT_S
        call = host.core.calls.call(
            CUSTOMER, SERVICE, "POST", "/bookings", body.encode(), key, limit_s
        )
        request.response = await self.fleet.send_request(host, call)
        self.oracle.check_booking_response(request)

    def submit_job(
        self, host: FleetHost, key: str | None = None, *, impossible: bool = False
    ) -> None:
        """
        Submit a new batch job, or submit the one with the given key again.

        :param impossible: add an item that names an unknown model.
        """
        key = key or self._new_name("job")
        items = {f"{key}-{n}": f"summary {n} of {key}" for n in range(ITEMS)}
        if impossible:
            items[f"{key}-impossible"] = IMPOSSIBLE_PROMPT
        self._job_items.setdefault(key, items)
        self._add_step(f"{key} by {host.gate.name}")
        self.fleet.spawn(self._send_job(host, key))

    async def _send_job(self, host: FleetHost, key: str) -> None:
        items = self._job_items[key]
        lines = [json.dumps(_input_line(name, text)) for name, text in items.items()]
        body = "\n".join(lines).encode()
        upload = host.core.files.upload(CUSTOMER, body)
        uploaded = await self.fleet.send_request(host, upload)
        if isinstance(uploaded, Failure | ConnectionLost):
            return
        request = self.oracle.record_request("job", key, key, host)
        due_wall_s = self.fleet.clock.wall_s() + 3600.0
        submit = host.core.jobs.submit(uploaded.unwrap(), key, due_wall_s, {})
        request.response = await self.fleet.send_request(host, submit)
        self.oracle.check_job_response(request, items)

    def cancel_job(self, host: FleetHost, job: AcceptedJob) -> None:
        """Cancel a batch job."""
        self._add_step(f"cancel {job.job_id} by {host.gate.name}")
        self.fleet.spawn(self._cancel(host, job))

    async def _cancel(self, host: FleetHost, job: AcceptedJob) -> None:
        call = host.core.jobs.cancel(CUSTOMER, job.job_id)
        response = await self.fleet.call(host, call)
        if isinstance(response, Failure | ConnectionLost):
            return
        if response.unwrap().state == "cancelled" and job.cancelled_s is None:
            job.cancelled_s = self.fleet.clock.now_s()

    def read_jobs(self, host: FleetHost) -> None:
        """Read the counted results of all jobs at a host and check them."""
        self.fleet.run(self._read_jobs(host))

    async def _read_jobs(self, host: FleetHost) -> None:
        for job_id in self.oracle.jobs:
            outcomes = await host.core.jobs.outcomes(CUSTOMER, job_id)
            if not isinstance(outcomes, Failure):
                self.oracle.check_outcomes_unchanged(job_id, outcomes.unwrap())

    # changes by operators

    def change(self, *hosts: FleetHost) -> None:
        """Make a change at each host, all based on the same revision."""
        base = max(host.core.view.revision for host in hosts)
        for host in hosts:
            value = self._new_name("value")
            self._add_step(f"change to {value} by {host.gate.name}")
            self.fleet.spawn(self._change(host, base, value))

    async def _change(self, host: FleetHost, base: int, value: str) -> None:
        accept = host.core.authority.accept("operator", base, [marker(value)])
        response = await self.fleet.call(host, self._accept_and_announce(host, accept))
        self.oracle.check_change_response(value, response)

    async def _accept_and_announce(self, host: FleetHost, accept: Coroutine) -> Any:
        response = await accept
        if not isinstance(response, Failure):
            await host.core.announce(response.unwrap().revision)
        return response

    def recall(self, host: FleetHost) -> None:
        """Recall the version ``RECALLED`` of the model at a host."""
        self._add_step(f"recall by {host.gate.name}")
        self.fleet.spawn(self._recall(host))

    async def _recall(self, host: FleetHost) -> None:
        value = self._new_name("value")
        recall = ConfigObject("recall", "faulty", {"selector": RECALLED})
        base = host.core.view.revision
        accept = host.core.authority.accept("operator", base, [recall, marker(value)])
        response = await self.fleet.call(host, self._accept_and_announce(host, accept))
        self.oracle.check_change_response(value, response)
        if not isinstance(response, Failure | ConnectionLost):
            self.oracle.recalled.setdefault(RECALLED, self.fleet.clock.now_s())

    # faults, time and the final checks

    def record_fault(self, kind: str, detail: str = "") -> None:
        """Count a fault and record it as a step."""
        self.faults[kind] += 1
        self._add_step(f"{kind} {detail}".rstrip())

    def advance(self, duration_s: float) -> None:
        """Let time pass and check the promises that must hold at all times."""
        remaining_s = duration_s
        while remaining_s > 0:
            step_s = min(remaining_s, 1.0)
            self.fleet.advance(step_s)
            self.oracle.check_now()
            remaining_s -= step_s

    def finish(self) -> list[str]:
        """Heal all faults, wait for open work and return the violations."""
        fleet = self.fleet
        fleet.heal()
        if not fleet.usable():
            fleet.add_host()
        self._wait_until_settled()
        fleet.run(self._read_back())
        self.oracle.check_now()
        self.oracle.check_bookings()
        self.oracle.check_all_answered()
        self.oracle.check_coding_end()
        for error in fleet.uncaught:
            self.oracle.add_violation("no task dies", error)
        return self.oracle.violations

    def _wait_until_settled(self) -> None:
        """Wait for a limited time until no accepted work is open."""
        limit_s = self.fleet.clock.now_s() + MAX_SETTLE_S
        healed_s = self.fleet.clock.now_s()
        self.advance(MIN_SETTLE_S)
        while self.fleet.clock.now_s() < limit_s:
            if not self.fleet.run(self._has_open_work()):
                break
            self.advance(5.0)
        self.oracle.check_recovery_time(self.fleet.clock.now_s() - healed_s)

    async def _has_open_work(self) -> bool:
        """Return whether a request is unanswered or a job has not ended."""
        if self.oracle.unanswered():
            return True
        jobs = self.fleet.usable()[0].core.jobs
        for job_id in self.oracle.jobs:
            status = await jobs.status(CUSTOMER, job_id)
            if isinstance(status, Failure):
                return True
            if status.unwrap().job.state not in ("completed", "cancelled"):
                return True
        return False

    async def _read_back(self) -> None:
        for host in self.fleet.usable():
            for key, body in self.oracle.coding_bodies():
                await self._check_readable(host, key, body)
            for job in tuple(self.oracle.jobs.values()):
                status = await host.core.jobs.status(CUSTOMER, job.job_id)
                outcomes = await host.core.jobs.outcomes(CUSTOMER, job.job_id)
                self.oracle.check_final_job(job, status, outcomes, TOKENS)

    async def _check_readable(self, host: FleetHost, key: str, body: str) -> None:
        """Resend a coding request to a host, which must know its outcome."""
        if not self.oracle.may_have_run(key, body):
            return  # sending the request again would start new work
        response = await self._send_coding(host, key, body)
        if not isinstance(response, Failure):
            return
        unknown = response.failure().execution is Execution.UNKNOWN
        if unknown or self.oracle.accepted_body(key) == body:
            problem = response.failure()
            self.oracle.add_violation(
                "readable", f"{key} by {host.gate.name}: {problem}"
            )

    def close(self) -> None:
        """Close the fleet."""
        self.fleet.close()

    def coding_keys(self) -> list[str]:
        return list(self._coding)

    def booking_keys(self) -> list[str]:
        return list(self._bookings)

    def job_keys(self) -> list[str]:
        return list(self._job_items)

    def items_of(self, key: str) -> dict[str, str]:
        return self._job_items[key]

    def _work(self, prompt: str, work_id: str) -> Work:
        return Work(
            work_id=work_id,
            customer=CUSTOMER,
            model=MODEL,
            prompt=prompt,
            max_tokens=TOKENS,
            online=True,
            deadline_s=self.fleet.clock.now_s() + REQUEST_LIMIT_S,
        )

    def _new_name(self, kind: str) -> str:
        self._number += 1
        return f"{kind}-{self._number}"

    def _add_step(self, step: str) -> None:
        self.steps.append(f"{self.fleet.clock.now_s():.3f} {step}")


def _input_line(name: str, prompt: str) -> dict[str, Any]:
    message = {"role": "user", "content": prompt}
    model = "no-such-model" if prompt == IMPOSSIBLE_PROMPT else MODEL
    body = {"model": model, "messages": [message], "max_tokens": TOKENS}
    return {"custom_id": name, "body": body}


__all__ = ["History"]
