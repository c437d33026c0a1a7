"""Failures of hosts and of the table service while a batch job runs."""

from __future__ import annotations

import asyncio
import json
import signal
import time
from collections import Counter
from typing import TYPE_CHECKING, Any

import attrs
import msgspec

from aspenbridge.result_codes import ResultCode

from ._local_fleet import MODEL, authorization

if TYPE_CHECKING:
    from ._local_fleet import HostProcess, LocalFleet

CUSTOMER = "kgotso"
ITEMS = 600
ANSWER_TOKENS = 40
JOB_LIMIT_S = 75.0  # the longest time to poll for a share of the items
POLL_S = 0.25
RUNNING_SHARE = 0.1  # the share of items done when the failure starts
CREATED = 201
OK = 200


@attrs.frozen
class FailureReport:
    """
    The outcome of the job in one run.

    :ivar case: which failure the run caused.
    :ivar twice: how many items have more than one result.
    :ivar failed: how many results are not successful.
    :ivar done_before: how many items were done when the failure started.
    :ivar stalled_s: the longest time in which no result was counted.
    :ivar failed_polls: how many polls of the job's status failed.
    :ivar state: the last state of the job that was read.
    :ivar counts: the numbers of reads and writes of the table service.
    """

    case: str
    items: int
    results: int
    twice: int
    missing: int
    failed: int
    seconds: float
    done_before: int
    stalled_s: float
    failed_polls: int
    state: str
    counts: dict[str, int]

    @classmethod
    def broken_off(cls, reason: str) -> FailureReport:
        """
        Return the report of a run that stopped because a call failed.

        :param reason: why it stopped; takes the place of the case.
        """
        return cls(reason, ITEMS, 0, 0, ITEMS, 0, 0.0, 0, 0.0, 0, "broken off", {})

    @property
    def passed(self) -> bool:
        """Whether each item has exactly one result, a successful one."""
        complete = self.results == self.items and self.state == "completed"
        return complete and not (self.twice or self.missing or self.failed)


@attrs.define
class JobRun:
    """A batch job that is submitted, polled and checked by this process."""

    fleet: LocalFleet
    case: str
    job: str = ""
    progress: list[tuple[float, int]] = attrs.field(factory=list)
    failed_polls: int = 0
    state: str = ""

    async def submit(self, host: HostProcess) -> None:
        """Upload the items and create the job."""
        lines = [json.dumps(_item(number)) for number in range(ITEMS)]
        file = await self._post(host, "/v1/files", "\n".join(lines).encode())
        body = msgspec.json.encode({"input_file_id": file["id"]})
        created = await self._post(host, "/v1/batches", body)
        self.job = created["id"]

    async def watch(self, host: HostProcess, *, share: float) -> int:
        """
        Poll the job until a share of its items is done, or the time is up.

        :param share: from 0.0 to 1.0; at 1.0 the job must be completed too.
        :return: how many items were done at the last poll.
        """
        deadline_s = time.monotonic() + JOB_LIMIT_S
        done = 0
        while time.monotonic() < deadline_s:
            status = await self._status(host)
            if status is None:
                self.failed_polls += 1
            else:
                done = int(status["request_counts"]["completed"])
                self.state = status["status"]
                self.progress.append((time.monotonic(), done))
                ended = share < 1.0 or self.state == "completed"
                if done >= share * ITEMS and ended:
                    return done
            await asyncio.sleep(POLL_S)
        return done

    async def report(
        self, host: HostProcess, started_s: float, done_before: int
    ) -> FailureReport:
        """Read the results and count them by ``custom_id``."""
        seconds = time.monotonic() - started_s
        result_counts, failed = await self._results(host)
        expected = {f"call-{number}" for number in range(ITEMS)}
        return FailureReport(
            case=self.case,
            items=ITEMS,
            results=result_counts.total(),
            twice=sum(count > 1 for count in result_counts.values()),
            missing=len(expected - result_counts.keys()),
            failed=failed,
            seconds=round(seconds, 2),
            done_before=done_before,
            stalled_s=round(self._longest_stall_s(), 2),
            failed_polls=self.failed_polls,
            state=self.state,
            counts=await self.fleet.counts("table"),
        )

    def _longest_stall_s(self) -> float:
        """Return the longest time in which no result was counted."""
        longest_s, changed_s, last_done = 0.0, None, -1
        for polled_s, done in self.progress:
            if done != last_done:
                changed_s, last_done = polled_s, done
            elif changed_s is not None:
                longest_s = max(longest_s, polled_s - changed_s)
        return longest_s

    async def _results(self, host: HostProcess) -> tuple[Counter[str], int]:
        url = f"{host.url}/v1/batches/{self.job}/results"
        headers = authorization(CUSTOMER)
        async with self.fleet.session.get(url, headers=headers) as response:
            body = await response.read()
        outcomes = [json.loads(line) for line in body.splitlines() if line]
        counts = Counter(outcome.get("custom_id", "?") for outcome in outcomes)
        failed = sum(outcome.get("code") != ResultCode.OK for outcome in outcomes)
        return counts, failed

    async def _status(self, host: HostProcess) -> dict[str, Any] | None:
        url = f"{host.url}/v1/batches/{self.job}"
        headers = authorization(CUSTOMER)
        async with self.fleet.session.get(url, headers=headers) as response:
            body = await response.read()
            if response.status != OK:
                return None
            return msgspec.json.decode(body, type=dict[str, Any])

    async def _post(self, host: HostProcess, path: str, body: bytes) -> dict[str, Any]:
        headers = authorization(CUSTOMER)
        async with self.fleet.session.post(
            host.url + path, data=body, headers=headers
        ) as response:
            reply = await response.read()
            if response.status != CREATED:
                raise RuntimeError(f"{path}: status {response.status}, {reply!r}")
            return msgspec.json.decode(reply, type=dict[str, Any])


def _item(number: int) -> dict[str, object]:
    message = {"role": "user", "content": f"summarise call {number}"}
    body = {"model": MODEL, "messages": [message], "max_tokens": ANSWER_TOKENS}
    return {"custom_id": f"call-{number}", "body": body}


async def host_killed(fleet: LocalFleet) -> FailureReport:
    """Kill the host that accepted the job; read results at another."""
    run, started_s = JobRun(fleet, "host killed"), time.monotonic()
    first, second = fleet.hosts[0], fleet.hosts[1]
    await run.submit(first)
    done_before = await run.watch(second, share=RUNNING_SHARE)
    fleet.processes.signal(first.name, signal.SIGKILL)
    await run.watch(second, share=1.0)
    return await run.report(second, started_s, done_before)


async def host_paused(fleet: LocalFleet, pause_s: float) -> FailureReport:
    """
    Pause the host that accepted the job, resume it, and read results there.

    The pause should be longer than the suspicion period.
    """
    run, started_s = JobRun(fleet, f"host paused {pause_s:g} s"), time.monotonic()
    first, second = fleet.hosts[0], fleet.hosts[1]
    await run.submit(first)
    done_before = await run.watch(second, share=RUNNING_SHARE)
    fleet.processes.signal(first.name, signal.SIGSTOP)
    await asyncio.sleep(pause_s)
    fleet.processes.signal(first.name, signal.SIGCONT)
    await run.watch(second, share=1.0)
    return await run.report(first, started_s, done_before)


async def table_down(fleet: LocalFleet, outage_s: float) -> FailureReport:
    """Make the table service unavailable for a number of seconds."""
    run, started_s = JobRun(fleet, f"table down {outage_s:g} s"), time.monotonic()
    first, second = fleet.hosts[0], fleet.hosts[1]
    await run.submit(first)
    done_before = await run.watch(second, share=RUNNING_SHARE)
    await fleet.control("table", "faults", {"down": True})
    await asyncio.sleep(outage_s)
    await fleet.control("table", "faults", {"down": False})
    await run.watch(second, share=1.0)
    return await run.report(second, started_s, done_before)
