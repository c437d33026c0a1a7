"""
Random histories of batch jobs beside stops, losses and late hosts.

``python -m tests.fuzz.batch_jobs --histories 100 --seed 1`` runs many. The
oracle knows what callers were told: accepted jobs, and results that were read.
"""

from __future__ import annotations

import argparse
import asyncio
import logging
import random
import sys
from collections import Counter

import attrs
from returns.result import Failure, Success

from aspenbridge.entry import EntryHost
from aspenbridge.jobs import JobSubmission, SubmittedItem
from aspenbridge.jobs._messages import ResultPage
from tests.support.entry_fleet import EntryFleet
from tests.support.virtual_loop import run_virtual

TRAFFIC_S = 34.0
FINISH_S = 18.0  # in which every accepted job is done
JOBS_PER_S = 1.5
MAX_ITEMS = 12
EVENT_S = 0.03
CONTACT_S = 5.0  # after which a host that was disturbed is in touch again
SETTLE_S = 1.0  # after which every host in touch knows what another one told
NOTICE_S = 2.6  # from SIGTERM to the end of new requests
READ_INTERVAL_S = 0.5
MAX_READ_WAIT_S = 1.0
OLD_S = 3.0  # for which a job is read after its last result
CALLER_LIMIT_S = 2.5
# A job that came to a host in its notice; an item may run twice, each run
# after the lifetime of a host that is lost.
MAX_STOPPED_S = 8.0


@attrs.define
class JobRecord:
    """What callers know of one job."""

    accepted_s: float
    host: str
    by_stopping_host: bool
    # When each position was first read, and the item that it holds.
    read: dict[int, tuple[float, str]] = attrs.field(factory=dict)
    done_s: float | None = None


class JobHistory:
    """One history: jobs, their readers, faults, and what was violated."""

    def __init__(self, fleet: EntryFleet, seed: int) -> None:
        self.fleet = fleet
        self.random = random.Random(seed)
        self.violations: list[str] = []
        self.counts: Counter[str] = Counter()
        self.jobs: dict[str, JobRecord] = {}
        self._names = sorted(fleet.hosts)
        self._began_s = fleet.clock.now_s()
        self._store_disturbed_s = float("-inf")
        self._disturbed_s: dict[str, float] = {}  # by host
        self._stopping: set[str] = set()
        self._tasks: list[asyncio.Task[None]] = []
        self._unplanned = False  # whether hosts or the store failed

    async def run(self) -> list[str]:
        """Play the history and return what it violated."""
        self.fleet.engines.event_s = EVENT_S
        kinds = {
            "stops": self._stop_in_turn,
            "late feeds": self._delay_feeds,
            "outage": self._lose_store,
            "silent feeds": self._silence_feeds,
            "losses": self._lose_hosts,
        }
        drawn = self.random.choices(sorted(kinds), k=self.random.randint(1, 4))
        for kind in drawn:
            self.counts[kind] += 1
            self._start(self._later(kinds[kind]))
        await self._submit_jobs()
        if self.random.random() < 0.3:
            self.counts["loss of all"] += 1
            await self._lose_all()
        end_s = self._began_s + TRAFFIC_S + FINISH_S
        await asyncio.sleep(end_s - self.fleet.clock.now_s())
        self._check_done()
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        return self.violations

    def _start(self, coroutine) -> None:
        self._tasks.append(asyncio.create_task(coroutine))

    async def _later(self, fault) -> None:
        await asyncio.sleep(self.random.uniform(0.0, TRAFFIC_S))
        await fault()

    def _host(self) -> tuple[str, EntryHost] | None:
        """Return a host that serves callers, if there is one."""
        names = [
            name
            for name in self._names
            if name in self.fleet.hosts
            and self.fleet.hosts[name].configuration.current is not None
        ]
        if not names:
            return None
        name = self.random.choice(names)
        return name, self.fleet.hosts[name]

    def _in_touch(self, name: str, at_s: float) -> bool:
        disturbed_s = self._disturbed_s.get(name, float("-inf"))
        return at_s - max(disturbed_s, self._store_disturbed_s) > CONTACT_S

    async def _submit_jobs(self) -> None:
        number = 0
        while self.fleet.clock.now_s() < self._began_s + TRAFFIC_S:
            number += 1
            self._start(self._submit(f"j{number}", self.random.randint(1, MAX_ITEMS)))
            await asyncio.sleep(self.random.expovariate(JOBS_PER_S))

    async def _submit(self, job_id: str, items: int) -> None:
        job = JobSubmission(
            job_id,
            "a.example",
            tuple(
                SubmittedItem(f"{job_id}-{n}", f"/batch/{n}", (), b"body %d" % n)
                for n in range(items)
            ),
        )
        for _ in range(6):
            drawn = self._host()
            if drawn is not None and await self._try_submit(*drawn, job):
                self._start(self._read(job_id))
                await self._read(job_id)
                return
            await asyncio.sleep(0.2)

    async def _try_submit(self, name: str, host: EntryHost, job) -> bool:
        route = host.configuration.current.route_for("a.example", "/batch/")
        stopping = name in self._stopping
        try:
            async with asyncio.timeout(CALLER_LIMIT_S):
                result = await host.job_service.submit(job, route)
        except TimeoutError:
            return False
        if self.fleet.hosts.get(name) is not host or not isinstance(result, Success):
            return False
        self.counts["accepted"] += 1
        now_s = self.fleet.clock.now_s()
        self.jobs[job.id] = JobRecord(now_s, name, stopping)
        return True

    async def _read(self, job_id: str) -> None:
        """Read a job at any host until it is old, earlier positions too."""
        record, until_s = self.jobs[job_id], float("inf")
        while self.fleet.clock.now_s() < until_s:
            await asyncio.sleep(self.random.uniform(0.0, READ_INTERVAL_S))
            drawn = self._host()
            if drawn is not None:
                following = len(record.read)
                first = self.random.choice((following, max(0, following - 1), 0))
                await self._read_once(job_id, first, *drawn)
            if record.done_s is not None:
                until_s = record.done_s + OLD_S

    async def _read_once(
        self, job_id: str, first: int, name: str, host: EntryHost
    ) -> None:
        record, sent_s = self.jobs[job_id], self.fleet.clock.now_s()
        wait_s = self.random.choice((0.0, MAX_READ_WAIT_S))
        known = dict(record.read)
        try:
            async with asyncio.timeout(CALLER_LIMIT_S):
                result = await host.job_service.results(job_id, first, wait_s)
        except TimeoutError:
            return
        if self.fleet.hosts.get(name) is not host:
            return  # it was lost, and so was its answer
        if isinstance(result, Success):
            self._keep(record, job_id, first, result.unwrap())
        if not self._in_touch(name, sent_s):
            return
        if _is_missing(result) and sent_s - record.accepted_s > SETTLE_S:
            self.violations.append(f"{job_id} is unknown at {name}")
        read_s = known[first][0] if first in known else float("inf")
        if _is_empty(result) and sent_s - read_s > SETTLE_S:
            self.violations.append(f"{job_id} has nothing at {first} at {name}")

    def _keep(
        self, record: JobRecord, job_id: str, first: int, page: ResultPage
    ) -> None:
        """Keep what was read, which no host may change any more."""
        now_s = self.fleet.clock.now_s()
        for position, item in enumerate(page.results, first):
            read = record.read.setdefault(position, (now_s, item.item_id))
            if read[1] != item.item_id:
                self.violations.append(f"{job_id} changed at {position}")
        if len(record.read) == page.total and record.done_s is None:
            record.done_s = now_s

    def _check_done(self) -> None:
        for job_id, record in self.jobs.items():
            if record.done_s is None:
                self.violations.append(f"{job_id} of {record.host} is not done")
            elif record.by_stopping_host and not self._unplanned:
                self.counts["by a stopping host"] += 1
                if record.done_s - record.accepted_s > MAX_STOPPED_S:
                    self.violations.append(f"{job_id} waited for {record.host}'s end")

    async def _stop_in_turn(self) -> None:
        """Stop hosts one after the other, so that their stops overlap."""
        gap_s = self.random.choice((0.5, 1.0, 2.0))
        for name in self.random.sample(self._names, len(self._names)):
            self._start(self._stop(name))
            await asyncio.sleep(gap_s)

    async def _stop(self, name: str) -> None:
        host = self.fleet.hosts.get(name)
        if host is None or name in self._stopping:
            return
        self._stopping.add(name)
        host.leaving = True
        notice_ends_s = self.fleet.clock.now_s() + NOTICE_S
        await host.release_jobs()
        await asyncio.sleep(notice_ends_s - self.fleet.clock.now_s())
        await asyncio.sleep(self.random.choice((0.1, 0.5, 2.0, 4.5)))
        await host.leave()
        if self.fleet.hosts.get(name) is host:
            await self._kill_and_start(name, self.random.uniform(0.5, 1.5))

    async def _kill_and_start(self, name: str, down_s: float) -> None:
        if name not in self.fleet.hosts:
            return
        await self.fleet.kill(name)
        await asyncio.sleep(down_s)
        self._stopping.discard(name)
        self._disturbed_s[name] = self.fleet.clock.now_s()
        await self.fleet.start(name)

    async def _delay_feeds(self) -> None:
        """Have a host handle its feeds late, which is no disturbance."""
        name = self.random.choice(self._names)
        self.fleet.store.feed_delays_s[name] = self.random.uniform(1.2, 2.2)
        await asyncio.sleep(self.random.uniform(5.0, 15.0))
        self.fleet.store.feed_delays_s.pop(name, None)

    async def _lose_store(self) -> None:
        self._unplanned = True
        some = self.random.sample(self._names, len(self._names) // 3)
        self.fleet.store.unreachable_for = set(self.random.choice((some, ["*"])))
        self.fleet.store.calls_time_out = self.random.random() < 0.5
        self._store_disturbed_s = float("inf")
        await asyncio.sleep(self.random.uniform(2.0, 8.0))
        self.fleet.store.unreachable_for = set()
        self._store_disturbed_s = self.fleet.clock.now_s()

    async def _silence_feeds(self) -> None:
        """Have no feed hear of changes, and then lose their history."""
        self._store_disturbed_s = float("inf")
        self.fleet.store.feeds_stalled_until_s = self.fleet.clock.now_s() + 1.0
        await asyncio.sleep(1.0)
        self.fleet.store.forget_history()
        self._store_disturbed_s = self.fleet.clock.now_s()

    async def _lose_hosts(self) -> None:
        self._unplanned = True
        lost = self.random.sample(self._names, len(self._names) * 3 // 5)
        await asyncio.gather(
            *(
                self._kill_and_start(name, self.random.uniform(0.5, 2.0))
                for name in lost
            )
        )

    async def _lose_all(self) -> None:
        self._unplanned = True
        await asyncio.gather(
            *(
                self._kill_and_start(name, self.random.uniform(1.0, 3.0))
                for name in self._names
            )
        )


def _is_missing(result) -> bool:
    return isinstance(result, Failure) and result.failure().status in (404, 410)


def _is_empty(result) -> bool:
    return isinstance(result, Success) and not result.unwrap().results


def run_history(seed: int) -> tuple[list[str], Counter[str]]:
    """Return what a history violated, and what it did."""
    options = {"hosts": random.Random(seed).randint(4, 12), "engines": 8}

    async def main(clock):
        async with EntryFleet(clock, events=40, **options) as fleet:
            history = JobHistory(fleet, seed)
            return await history.run(), history.counts

    return run_virtual(main)


def main() -> int:
    parser = argparse.ArgumentParser(prog="python -m tests.fuzz.batch_jobs")
    parser.add_argument("--histories", type=int, default=50)
    parser.add_argument("--seed", type=int, default=1)
    options = parser.parse_args()
    logging.disable(logging.CRITICAL)
    totals: Counter[str] = Counter()
    failed = 0
    for seed in range(options.seed, options.seed + options.histories):
        violations, counts = run_history(seed)
        totals += counts
        for violation in violations:
            sys.stdout.write(f"seed {seed}: {violation}\n")
        failed += bool(violations)
    sys.stdout.write(f"{options.histories} histories, {failed} failed, {totals}\n")
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
