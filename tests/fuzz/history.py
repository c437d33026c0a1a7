"""One history: callers, operators and faults act on a small fleet."""

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
from tests.fuzz.oracle import JobSent, Oracle, answer
from tests.support.fleet import MODEL, SERVICE, Fleet, FleetHost, Lost, marker

CUSTOMER = "kgotso"
TOKENS = 16
ITEMS = 24
REQUEST_LIMIT_S = 20.0
SETTLE_LEAST_S = 20.0
SETTLE_MOST_S = 150.0
IMPOSSIBLE = "an item that can never be done"
RECALLED = f"{MODEL}@1"


class History:
    """Acts on a fleet, lets the oracle hear of it, and counts."""

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

    # work

    def submit_coding(self, host: FleetHost, key: str | None = None) -> None:
        """Send a coding request, or send an earlier one again."""
        key = key or self._name("coding")
        body = self._coding.setdefault(key, f"prompt of {key}")
        self._note(f"coding {key} by {host.gate.name}")
        self.fleet.spawn(self._send_coding(host, key, body))

    def conflicting_coding(self, host: FleetHost, key: str) -> None:
        """Send another body under a key that was used."""
        self._note(f"coding {key} with another body by {host.gate.name}")
        self.fleet.spawn(self._send_coding(host, key, f"another {self._name(key)}"))

    async def _send_coding(self, host: FleetHost, key: str, body: str) -> Any:
        send = self.oracle.sent("coding", key, body, host)
        work = self._work(body, self._name("req"))
        send.told = await self.fleet.enter(host, host.core.coding.submit(work, key))
        self.oracle.told_coding(send, TOKENS)
        return send.told

    def submit_chat(self, host: FleetHost) -> None:
        """Stream a chat that is not durable."""
        prompt = self._name("chat")
        self._note(f"{prompt} by {host.gate.name}")
        self.fleet.spawn(self.fleet.enter(host, self._stream(host, prompt)))

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
            self.oracle.blame("whole answer", f"{prompt} got {text!r}")

    def submit_booking(self, host: FleetHost, key: str | None = None) -> None:
        """Send a booking, or send an earlier one again."""
        key = key or self._name("booking")
        body = self._bookings.setdefault(key, f"tool of {key}")
        self._note(f"{key} by {host.gate.name}")
        self.fleet.spawn(self._book(host, key, body))

    async def _book(self, host: FleetHost, key: str, body: str) -> None:
        send = self.oracle.sent("booking", key, body, host)
        limit_s = self.fleet.clock.now_s() + REQUEST_LIMIT_S
        call = host.core.calls.call(
            CUSTOMER, SERVICE, "POST", "/bookings", body.encode(), key, limit_s
        )
        send.told = await self.fleet.enter(host, call)
        self.oracle.told_booking(send)

    def submit_job(
        self, host: FleetHost, key: str | None = None, *, impossible: bool = False
    ) -> None:
        """Submit a job, or submit an earlier one again."""
        key = key or self._name("job")
        items = {f"{key}-{n}": f"summary {n} of {key}" for n in range(ITEMS)}
        if impossible:
            items[f"{key}-impossible"] = IMPOSSIBLE
        self._job_items.setdefault(key, items)
        self._note(f"{key} by {host.gate.name}")
        self.fleet.spawn(self._send_job(host, key))

    async def _send_job(self, host: FleetHost, key: str) -> None:
        items = self._job_items[key]
        lines = [json.dumps(_line(name, text)) for name, text in items.items()]
        body = "\n".join(lines).encode()
        upload = host.core.files.upload(CUSTOMER, body)
        uploaded = await self.fleet.enter(host, upload)
        if isinstance(uploaded, Failure | Lost):
            return
        send = self.oracle.sent("job", key, key, host)
        due_wall_s = self.fleet.clock.wall_s() + 3600.0
        submit = host.core.jobs.submit(uploaded.unwrap(), key, due_wall_s, {})
        send.told = await self.fleet.enter(host, submit)
        self.oracle.told_job(send, items)

    def cancel_job(self, host: FleetHost, job: JobSent) -> None:
        """Withdraw a job."""
        self._note(f"cancel {job.job_id} by {host.gate.name}")
        self.fleet.spawn(self._cancel(host, job))

    async def _cancel(self, host: FleetHost, job: JobSent) -> None:
        call = host.core.jobs.cancel(CUSTOMER, job.job_id)
        told = await self.fleet.ask(host, call)
        if isinstance(told, Failure | Lost):
            return
        if told.unwrap().state == "cancelled" and job.cancelled_s is None:
            job.cancelled_s = self.fleet.clock.now_s()

    def read_jobs(self, host: FleetHost) -> None:
        """Let supervisors read what has been counted so far."""
        self.fleet.run(self._read_jobs(host))

    async def _read_jobs(self, host: FleetHost) -> None:
        for job_id in self.oracle.jobs:
            outcomes = await host.core.jobs.outcomes(CUSTOMER, job_id)
            if not isinstance(outcomes, Failure):
                self.oracle.see_outcomes(job_id, outcomes.unwrap())

    # operators

    def change(self, *hosts: FleetHost) -> None:
        """Let operators make a change each, on the same revision."""
        base = max(host.core.view.revision for host in hosts)
        for host in hosts:
            value = self._name("value")
            self._note(f"change to {value} by {host.gate.name}")
            self.fleet.spawn(self._change(host, base, value))

    async def _change(self, host: FleetHost, base: int, value: str) -> None:
        accept = host.core.authority.accept("operator", base, [marker(value)])
        told = await self.fleet.ask(host, self._accept(host, accept))
        self.oracle.told_change(value, told)

    async def _accept(self, host: FleetHost, accept: Coroutine) -> Any:
        told = await accept
        if not isinstance(told, Failure):
            await host.core.announce(told.unwrap().revision)
        return told

    def recall(self, host: FleetHost) -> None:
        """Take a model version out of use."""
        self._note(f"recall by {host.gate.name}")
        self.fleet.spawn(self._recall(host))

    async def _recall(self, host: FleetHost) -> None:
        value = self._name("value")
        recall = ConfigObject("recall", "faulty", {"selector": RECALLED})
        base = host.core.view.revision
        accept = host.core.authority.accept("operator", base, [recall, marker(value)])
        told = await self.fleet.ask(host, self._accept(host, accept))
        self.oracle.told_change(value, told)
        if not isinstance(told, Failure | Lost):
            self.oracle.recalled.setdefault(RECALLED, self.fleet.clock.now_s())

    # time and the end

    def fault(self, kind: str, detail: str = "") -> None:
        """Note that a fault was made."""
        self.faults[kind] += 1
        self._note(f"{kind} {detail}".rstrip())

    def advance(self, duration_s: float) -> None:
        """Let time pass and check what must hold at each moment."""
        left_s = duration_s
        while left_s > 0:
            step_s = min(left_s, 1.0)
            self.fleet.advance(step_s)
            self.oracle.check_now()
            left_s -= step_s

    def finish(self) -> list[str]:
        """Heal everything, let it settle, and return the broken promises."""
        fleet = self.fleet
        fleet.heal()
        if not fleet.usable():
            fleet.add_host()
        self._settle()
        fleet.run(self._read_back())
        self.oracle.check_now()
        self.oracle.check_bookings()
        self.oracle.check_all_answered()
        self.oracle.check_coding_end()
        for error in fleet.uncaught:
            self.oracle.blame("no task dies", error)
        return self.oracle.violations

    def _settle(self) -> None:
        """Wait until all that was accepted has ended, for a limited time."""
        limit_s = self.fleet.clock.now_s() + SETTLE_MOST_S
        healed_s = self.fleet.clock.now_s()
        self.advance(SETTLE_LEAST_S)
        while self.fleet.clock.now_s() < limit_s:
            if not self.fleet.run(self._open()):
                break
            self.advance(5.0)
        self.oracle.check_recovery(self.fleet.clock.now_s() - healed_s)

    async def _open(self) -> bool:
        """Whether a caller still waits or a job has not ended."""
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
                await self._expect_answer(host, key, body)
            for job in tuple(self.oracle.jobs.values()):
                status = await host.core.jobs.status(CUSTOMER, job.job_id)
                outcomes = await host.core.jobs.outcomes(CUSTOMER, job.job_id)
                self.oracle.check_job(job, status, outcomes, TOKENS)

    async def _expect_answer(self, host: FleetHost, key: str, body: str) -> None:
        if not self.oracle.may_have_run(key, body):
            return  # a new send would begin new work
        told = await self._send_coding(host, key, body)
        if not isinstance(told, Failure):
            return
        unknown = told.failure().execution is Execution.UNKNOWN
        if unknown or self.oracle.accepted_body(key) == body:
            problem = told.failure()
            self.oracle.blame("readable", f"{key} by {host.gate.name}: {problem}")

    def close(self) -> None:
        """End the fleet."""
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

    def _name(self, kind: str) -> str:
        self._number += 1
        return f"{kind}-{self._number}"

    def _note(self, step: str) -> None:
        self.steps.append(f"{self.fleet.clock.now_s():.3f} {step}")


def _line(name: str, prompt: str) -> dict[str, Any]:
    message = {"role": "user", "content": prompt}
    model = "no-such-model" if prompt == IMPOSSIBLE else MODEL
    body = {"model": model, "messages": [message], "max_tokens": TOKENS}
    return {"custom_id": name, "body": body}


__all__ = ["History"]
