"""What callers were told and engines have seen, held against the promises."""

from __future__ import annotations

import time
from collections import Counter
from typing import TYPE_CHECKING, Any

import attrs

from ._engines import text_of
from ._hosts import DRAIN_S

if TYPE_CHECKING:
    from ._engines import Run


@attrs.define
class SentJob:
    """A batch job as its caller knows it."""

    job_id: str
    items: dict[str, tuple[str, bytes]]  # path and body of each item
    accepted: bool = False
    refused: bool = False  # each try was
    results: dict[int, dict[str, Any]] = attrs.field(factory=dict)

    @property
    def done(self) -> bool:
        """Whether all results were read."""
        return len(self.results) == len(self.items)


@attrs.frozen
class Blind:
    """A time in which a host, or all, may not have heard the store."""

    host: str
    from_s: float
    until_s: float


@attrs.define
class Promises:
    """Notes each broken promise once, in a sentence."""

    runs: list[Run]
    broken: list[str] = attrs.field(factory=list)
    once: set[str] = attrs.field(factory=set)  # ids that may run once
    refused: set[str] = attrs.field(factory=set)  # ids that may not have run
    jobs: dict[str, SentJob] = attrs.field(factory=dict)
    newest_seen: dict[str, int] = attrs.field(factory=dict)  # by incarnation
    drained_s: dict[str, float] = attrs.field(factory=dict)  # by engine
    sent_to: dict[str, str] = attrs.field(factory=dict)  # host, by request
    blind: list[Blind] = attrs.field(factory=list)
    answers: Counter[str] = attrs.field(factory=Counter)
    faults: Counter[str] = attrs.field(factory=Counter)

    def blame(self, promise: str, detail: str) -> None:
        """Note a broken promise."""
        self.broken.append(f"{promise}: {detail}")

    def check_answer(self, path: str, body: bytes, events: list[str]) -> None:
        """Check an answer that ended as if it were whole."""
        self.answers["whole"] += 1
        if events != text_of(path, body):
            self.blame(
                "whole answers", f"{path} got {events[:2]}, {len(events)} events"
            )

    def check_version(
        self, incarnation: str, version: int, status: int, seen: int, newest: int
    ) -> None:
        """
        Check that an incarnation does not go back to an old version.

        :param version: the only one that has the route that was asked for.
        :param seen: the newest that it had shown before the request was sent.
        :param newest: the newest that was written when the answer came.
        """
        if status == 200:
            if version < seen:
                detail = f"{incarnation} serves {version} after {seen}"
                self.blame("versions rise", detail)
            known = self.newest_seen.get(incarnation, 0)
            self.newest_seen[incarnation] = max(known, version)
        elif status == 404 and version == seen == newest:
            self.blame("versions rise", f"{incarnation} lost {version}")

    def check_page(self, job: SentJob, first: int, page: dict[str, Any]) -> None:
        """Check results against what was read before."""
        if page["total"] != len(job.items):
            self.blame("totals", f"{job.job_id} has {page['total']}")
        for position, result in enumerate(page["results"], start=first):
            known = job.results.setdefault(position, result)
            if known != result:
                self.blame("positions stay", f"{job.job_id} {position} changed")
            path, body = job.items[result["id"]]
            whole = "\n".join(text_of(path, body))
            if result["state"] == "completed" and result["text"] != whole:
                self.blame("whole results", f"{result['id']} {result['text'][:40]!r}")
        counts = Counter(result["id"] for result in job.results.values())
        for item_id, count in counts.items():
            if count > 1:
                self.blame("listed once", f"{item_id} at {count} positions")

    def check_drain(self, engine: str) -> None:
        """Check that no host in touch sent to an engine that drains."""
        begun_s = self.drained_s[engine]
        for run in self.runs:
            host = self.sent_to.get(run.request_id)
            late = run.engine == engine and run.started_s > begun_s + DRAIN_S
            if late and host and not self._was_blind(host, begun_s, run.started_s):
                self.blame("drain", f"{engine} got {run.request_id} of {host}")

    def _was_blind(self, host: str, from_s: float, until_s: float) -> bool:
        return any(
            blind.host in ("*", host)
            and blind.from_s <= until_s
            and blind.until_s >= from_s
            for blind in self.blind
        )

    def check_runs(self) -> None:
        """Check the engines' runs against refusals and single runs."""
        counts = Counter(run.request_id for run in self.runs)
        for request_id in sorted(self.once):
            if counts[request_id] > 1:
                self.blame(
                    "at most once", f"{request_id} ran {counts[request_id]} times"
                )
        for request_id in sorted(self.refused):
            if counts[request_id]:
                self.blame("true refusals", f"{request_id} was refused and ran")
        for job in self.jobs.values():
            ran = [item for item in job.items if counts[item]]
            if job.refused and ran:
                self.blame("true refusals", f"{job.job_id} was refused, {ran[0]} ran")

    def check_jobs_ended(self) -> None:
        """Check that nothing that was accepted is missing."""
        for job in self.jobs.values():
            if job.accepted and not job.done:
                found = f"{len(job.results)} of {len(job.items)}"
                self.blame("nothing is lost", f"{job.job_id} has {found} results")


def now_s() -> float:
    """Return the clock that engines' runs are noted by."""
    return time.monotonic()
