"""
Random histories of parts of prompts that crash engines, with an oracle.

``python -m tests.fuzz.crashing_parts --histories 500 --seed 1`` runs many.
"""

from __future__ import annotations

import argparse
import asyncio
import logging
import random
import sys
from collections import Counter

from aspenbridge.jobs import JobSubmission, SubmittedItem
from aspenbridge.ports import BodyEnd
from aspenbridge.quarantine._subjects import part_key
from tests.support.entry_fleet import (
    EntryFleet,
    make_configuration,
    make_route,
    part_fields,
)
from tests.support.part_play import CONTACT_S, MAX_LATE_SENDS, PartPlay
from tests.support.virtual_loop import run_virtual

FAULTS_S = 22.0
MAX_FAULT_S = 8.0
CALM_S = 14.0
ITEMS_S = 60.0  # in which all sound items are done
SAMPLE_S = 0.25
# A sound part that is held gets a trial 3 s after its last crash, which takes
# a request, a place and an answer.
MAX_HELD_S = 8.0
MIN_SERVED_SHARE = 0.5  # of sound requests, once all is calm
FIRST = ("f1", "f2")
INNER = ("x1", "x2", "x3")


class PartHistory:
    """One history: traffic, faults, and what the oracle saw."""

    def __init__(self, fleet: EntryFleet, seed: int) -> None:
        self.fleet = fleet
        self.random = random.Random(seed)
        self.play = PartPlay(fleet, random.Random(seed + 1))
        self.guilty = tuple(f"bad{n}" for n in range(self.random.choice((0, 1, 1, 2))))
        self.violations: list[str] = []
        self.counts: Counter[str] = Counter()
        # From when until when each host may have missed news.
        self.disturbed: list[tuple[str, float, float]] = []
        self._held_since: dict[str, float] = {}
        self._store_ok_s = 0.0  # since when the store serves all hosts
        self._added = 0

    def set_up(self) -> None:
        draw, engines = self.random, self.fleet.engines
        engines.crashing_parts = set(self.guilty)
        engines.crash_events = draw.choice((None, None, 0, 1, 3))
        engines.body_end = draw.choice((BodyEnd.CHUNKS,) * 3 + (BodyEnd.CONNECTION,))
        engines.crash_after_s = draw.choice((0.005, 0.02, 0.1))
        self.fleet.engine_down_s = draw.uniform(1.0, 5.0)
        self.fleet.returns_under_new_id = draw.random() < 0.5

    def sound_parts(self) -> tuple[str, ...]:
        parts = [self.random.choice(FIRST)]
        parts += self.random.sample(INNER, self.random.randint(0, 2))
        if self.random.random() < 0.1:
            parts.append(f"rare{self.random.randint(1, 50)}")
        return tuple(parts)

    def guilty_parts(self) -> tuple[str, ...]:
        parts = list(self.sound_parts())
        for part in self.random.sample(self.guilty, self.random.randint(1, 1)):
            parts.insert(self.random.choice((0, 1, 1, len(parts))), part)
        if len(self.guilty) > 1 and self.random.random() < 0.2:
            parts += [part for part in self.guilty if part not in parts]
        return tuple(parts)

    async def run(self) -> list[str]:
        self.set_up()
        await asyncio.sleep(1.0)
        await self._submit_items()
        traffic_s = FAULTS_S + CALM_S
        path = self.random.choice(("/online/x", "/once/x"))
        other = self.random.choice(("/online/y", "/plain/y"))
        tasks = [
            self.play.traffic(traffic_s, 10.0, self.sound_parts, path),
            self.play.traffic(traffic_s, 2.0, self.sound_parts, other),
            self._inject_faults(),
        ]
        if self.guilty:
            rate_s = self.random.uniform(0.5, 6.0)
            tasks += [
                self.play.traffic(traffic_s, rate_s, self.guilty_parts, path),
                self.play.traffic(traffic_s, rate_s / 4, self.guilty_parts, other),
            ]
        sampling = asyncio.create_task(self._sample())
        calm_s = self.fleet.clock.now_s() + FAULTS_S + CONTACT_S
        await asyncio.gather(*tasks)
        await self.play.settle()
        self._check_sends()
        self._check_served(calm_s)
        await self._check_items()
        sampling.cancel()
        return self.violations

    async def _submit_items(self) -> None:
        host = self.fleet.hosts["h0"]
        route = host.configuration.current.route_for("a.example", "/batch/")
        items = []
        for number in range(8):
            bad = self.guilty and number % 4 == 3
            parts = ("b1", self.guilty[0]) if bad else ("b1", f"b{number % 3}x")
            fields = part_fields(*parts)
            item = SubmittedItem(f"i{number}", f"/batch/i{number}", body=b"", **fields)
            items.append(item)
        await host.job_service.submit(
            JobSubmission("j1", "a.example", tuple(items)), route
        )

    async def _inject_faults(self) -> None:
        until_s = self.fleet.clock.now_s() + FAULTS_S
        faults = (
            self._crash_engines,
            self._crash_engines,
            self._kill_host,
            self._kill_host_after_crash,
            self._cut_off_host,
            self._lose_notices,
            self._stop_store,
            self._stall_feeds,
            self._add_host,
        )
        chosen = self.random.sample(faults, self.random.randint(1, 5))
        running = []
        while True:
            await asyncio.sleep(self.random.uniform(0.2, 5.0))
            if self.fleet.clock.now_s() > until_s - MAX_FAULT_S:
                break
            fault = self.random.choice(chosen)
            self.counts[fault.__name__.strip("_")] += 1
            running.append(asyncio.create_task(fault()))
        await asyncio.gather(*running)

    async def _crash_engines(self) -> None:
        """Have some engines crash of themselves within a second."""
        rows = self.fleet.store.rows_by_key
        listed = {key.key for key in rows if key.table == "servers"}
        up = sorted(listed - self.fleet.engines.down)
        for engine in self.random.sample(up, self.random.randint(0, len(up))):
            await asyncio.sleep(self.random.uniform(0.0, 0.3))
            if engine not in self.fleet.engines.down:
                self.fleet.engines.crash(engine)

    def _disturb(self, host: str, until_s: float | None = None) -> None:
        now_s = self.fleet.clock.now_s()
        self.disturbed.append((host, now_s, until_s or now_s))

    async def _kill_host(self, host: str | None = None) -> None:
        if len(self.fleet.hosts) < 2:
            return
        host = host or self.random.choice(sorted(self.fleet.hosts))
        if host not in self.fleet.hosts:
            return
        self._disturb(host)
        await self.play.kill(host)
        await asyncio.sleep(self.random.uniform(0.2, 3.0))
        await self.fleet.start(host)
        self._disturb(host)

    async def _kill_host_after_crash(self) -> None:
        crashes = self.fleet.engines.crashes
        known, until_s = len(crashes), self.fleet.clock.now_s() + 5.0
        while self.fleet.clock.now_s() < until_s:
            await asyncio.sleep(0.001)
            new = [crash for crash in crashes[known:] if crash.parts]
            if new:
                runs = self.fleet.engines.runs
                hosts = [run.host for run in runs if run.engine == new[0].engine]
                await self._kill_host(hosts[-1])
                return

    async def _cut_off_host(self) -> None:
        host = self.random.choice(sorted(self.fleet.hosts))
        length_s = self.random.uniform(1.0, 8.0)
        group = {self.fleet.address(host)}
        self._disturb(host, self.fleet.clock.now_s() + length_s)
        self.fleet.store.unreachable_for |= {host}
        self.fleet.datagrams.groups.append(group)
        await asyncio.sleep(length_s)
        self.fleet.store.unreachable_for -= {host}
        self.fleet.datagrams.groups.remove(group)

    async def _lose_notices(self) -> None:
        host = self.random.choice(sorted(self.fleet.hosts))
        address, length_s = self.fleet.address(host), self.random.uniform(0.5, 4.0)
        self._disturb(host, self.fleet.clock.now_s() + length_s)
        self.fleet.datagrams.lost.add(address)
        await asyncio.sleep(length_s)
        self.fleet.datagrams.lost.discard(address)

    async def _stop_store(self) -> None:
        length_s = self.random.uniform(0.5, 6.0)
        self._store_ok_s = self.fleet.clock.now_s() + length_s + 2.0
        self.fleet.store.unreachable_for |= {"*"}
        await asyncio.sleep(length_s)
        self.fleet.store.unreachable_for -= {"*"}
        if self.random.random() < 0.5:
            self.fleet.store.forget_history()

    async def _stall_feeds(self) -> None:
        length_s = self.random.uniform(0.5, 3.0)
        until_s = self.fleet.clock.now_s() + length_s
        self.fleet.store.feeds_stalled_until_s = until_s

    async def _add_host(self) -> None:
        self._added += 1
        if self._added <= 2:
            name = f"new{self._added}"
            await self.fleet.start(name)
            self._disturb(name)

    async def _sample(self) -> None:
        """Watch for how long sound parts are held anywhere."""
        while True:
            await asyncio.sleep(SAMPLE_S)
            now_s = self.fleet.clock.now_s()
            bad = {part_key(part) for part in self.guilty}
            held = {
                key
                for name, host in self.fleet.hosts.items()
                for key in host.quarantine._ledger.held()
                if self._was_in_touch(name, now_s)
                if key.startswith("part-") and key not in bad
            }
            self._held_since = {
                key: self._held_since.get(key, now_s) for key in sorted(held)
            }
            crashes = self.fleet.engines.crashes
            crashed_s = crashes[-1].at_s if crashes else 0.0
            for key, since_s in self._held_since.items():
                self.counts["samples of held sound parts"] += 1
                # A trial needs the store, and an engine that outlives it.
                since_s = max(since_s, self._store_ok_s, crashed_s)
                if now_s - since_s > MAX_HELD_S:
                    if not key.startswith(("part-rare", "part-b")):
                        self.violations.append(f"{key} held since {since_s:.1f}")
                    self._held_since[key] = now_s

    def _was_in_touch(self, name: str, at_s: float) -> bool:
        return not any(
            host == name and from_s <= at_s and until_s >= at_s - CONTACT_S
            for host, from_s, until_s in self.disturbed
        )

    def _check_sends(self) -> None:
        for part in self.guilty:
            self.counts["guilty crashes"] += len(self.play.crashes_s(part))
            late = [
                run
                for run in self.play.late_sends(part)
                if self._was_in_touch(run.host, run.started_s)
            ]
            self.counts["late sends"] += len(late)
            if len(late) > MAX_LATE_SENDS:
                times = [f"{run.started_s:.1f}" for run in late]
                self.violations.append(f"{part} sent late at {', '.join(times)}")

    def _check_served(self, from_s: float) -> None:
        for part in FIRST:
            share = self.play.begun_share(
                part, lambda parts: not set(parts) & set(self.guilty), from_s
            )
            if share < MIN_SERVED_SHARE:
                self.violations.append(f"{part}: {share:.2f} of sound requests begun")

    async def _check_items(self) -> None:
        sound = {f"i{n}" for n in range(8) if not self.guilty or n % 4 != 3}
        until_s = self.fleet.clock.now_s() + ITEMS_S
        done: set[str] = set()
        while not sound <= done and self.fleet.clock.now_s() < until_s:
            await asyncio.sleep(0.5)
            host = self.random.choice(sorted(self.fleet.hosts))
            page = await self.fleet.hosts[host].job_service.results("j1", 0, 0.0)
            results = page.value_or(None)
            if results is not None:
                done = {r.item_id for r in results.results if r.text is not None}
        if not sound <= done:
            self.violations.append(f"items not done: {sorted(sound - done)}")


def run_history(seed: int) -> tuple[list[str], Counter[str]]:
    """Return what a history violated, and what it did."""
    draw = random.Random(seed)
    options = {"hosts": draw.randint(3, 6), "engines": draw.randint(4, 8)}

    async def main(clock):
        async with EntryFleet(clock, events=12, **options) as fleet:
            plain = make_route("plain", resumable=False, max_attempts=2)
            routes = (*make_configuration().routes, plain)
            fleet.configurations[b"2"] = make_configuration(2, routes)
            fleet.store.write("op", "config", b"2")
            history = PartHistory(fleet, seed)
            return await history.run(), history.counts

    return run_virtual(main)


def main() -> int:
    parser = argparse.ArgumentParser(prog="python -m tests.fuzz.crashing_parts")
    parser.add_argument("--histories", type=int, default=200)
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
