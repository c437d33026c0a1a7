"""What is known of crashes when the hosts that saw them are killed."""

from __future__ import annotations

import asyncio
from collections import Counter
from random import Random

import pytest
from returns.result import Success

from aspenbridge.fleet import EngineDirectory, HostTable
from aspenbridge.ports import Committed
from aspenbridge.quarantine import (
    EventArrivals,
    Quarantine,
    run_subjects,
)
from aspenbridge.quarantine._ledger import PART_TRIAL_DELAYS_S, TRIAL_DELAYS_S
from aspenbridge.quarantine._quarantine import UPDATE_INTERVAL_S
from aspenbridge.store import Store
from tests.entry.test_crashing_requests import (
    CRASHING,
    assert_stopped,
    crashes_of,
    fingerprint_of,
    stored_crashes,
    with_fleet,
)
from tests.support.entry_fleet import Fault, make_engine, make_request, part_fields
from tests.support.part_play import CONTACT_S, COUNTED_CRASHES, MAX_LATE_SENDS
from tests.support.virtual_loop import run_virtual

HOSTS = ("h0", "h1", "h2")
ONCE = "/once/x"  # one send of each request
RESENDS_S = 84.0
RESEND_INTERVAL_S = 5.0
DOWN_S = 4.0  # of an engine, so that the list tells late that it has ended
PART = "bad"
# What the store allows: writes that one part of it performs in a second, and
# for how long those of a moment may wait for it.
PART_WRITES_PER_S = 200
PART_QUEUE_S = 1.0
LARGE_FLEET = 99
# Of a host for two crashes of many suspects: one for each crash, and one for
# parts of prompts.
MAX_WRITES = 3


async def kill_all(fleet, down_s=0.5):
    for name in list(fleet.hosts):
        await fleet.kill(name)
    await asyncio.sleep(down_s)
    for name in HOSTS:
        await fleet.start(name)


async def crash_once(fleet, number, body=CRASHING):
    host = HOSTS[number % len(HOSTS)]
    return await fleet.relay(host, make_request(f"c{number}", ONCE, body=body))


async def resend_for_long(fleet, first):
    for number in range(first, first + int(RESENDS_S / RESEND_INTERVAL_S)):
        await crash_once(fleet, number)
        await asyncio.sleep(RESEND_INTERVAL_S)


# Guards against crashes that all hosts take along when they are killed before
# the list of engines has confirmed them.
@pytest.mark.parametrize("gap_s", [0.02, 0.5, 3.0])
@pytest.mark.parametrize("known_s", [0.1, 0.6, 1.0, 3.0])
def test_crashing_request_is_stopped_when_all_hosts_are_killed_soon(gap_s, known_s):
    async def check(fleet):
        fleet.engine_down_s = DOWN_S
        await crash_once(fleet, 0)
        await asyncio.sleep(gap_s)
        await crash_once(fleet, 1)
        await asyncio.sleep(known_s)
        await kill_all(fleet)
        await asyncio.sleep(CONTACT_S + 2.0)
        await resend_for_long(fleet, 2)
        assert_stopped(fleet)

    with_fleet(check)


def test_crashing_request_is_stopped_when_all_hosts_are_killed_after_each_crash():
    async def check(fleet):
        for number in range(2):
            await crash_once(fleet, number)
            await asyncio.sleep(0.3)
            await kill_all(fleet)
            await asyncio.sleep(CONTACT_S + 2.0)
        await resend_for_long(fleet, 2)
        assert_stopped(fleet)
        assert len(crashes_of(fleet)) <= 3 + len(TRIAL_DELAYS_S)

    with_fleet(check)


# Guards against crashes of which only reports are left when the host that saw
# them is lost, and then all others.
def test_crashing_request_is_stopped_when_first_its_host_and_then_all_are_killed():
    async def check(fleet):
        for number in range(2):
            fleet.store.unreachable_for = {HOSTS[number]}
            await crash_once(fleet, number)
            await asyncio.sleep(0.1)
            await fleet.kill(HOSTS[number])
            await fleet.start(HOSTS[number])
        fleet.store.unreachable_for = set()
        await asyncio.sleep(6.2)
        await kill_all(fleet)
        await asyncio.sleep(CONTACT_S + 2.0)
        await resend_for_long(fleet, 2)
        assert_stopped(fleet)

    with_fleet(check)


# Guards against the same for parts of prompts.
@pytest.mark.parametrize("gap_s", [0.5, 1.5])
def test_crashing_part_is_stopped_when_all_hosts_are_killed_soon(gap_s):
    async def check(fleet):
        fleet.engine_down_s = DOWN_S
        fleet.engines.crashing_parts.add(PART)
        number = 0

        async def send():
            nonlocal number
            number += 1
            fields = part_fields("first", PART)
            body = b"%d" % number
            request = make_request(f"p{number}", ONCE, body=body, **fields)
            await fleet.relay(HOSTS[number % 3], request)

        for _ in range(2):
            await send()
            await asyncio.sleep(gap_s)
        await asyncio.sleep(1.6 - gap_s)
        await kill_all(fleet)
        await asyncio.sleep(CONTACT_S + 2.0)
        while number < 24:
            await send()
            await asyncio.sleep(RESEND_INTERVAL_S)
        crashes_s = [crash.at_s for crash in fleet.engines.crashes]
        assert len(crashes_s) >= 3
        known_s = [*crashes_s, float("inf")][:COUNTED_CRASHES][-1] + CONTACT_S
        late = [run for run in fleet.engines.runs if run.started_s > known_s]
        assert len(late) <= MAX_LATE_SENDS
        assert len(crashes_s) <= 3 + len(PART_TRIAL_DELAYS_S)

    with_fleet(check)


# Guards against rows of what was no crash, which would hold sound requests.
@pytest.mark.parametrize("killed", [False, True])
def test_lost_connections_of_living_engines_leave_no_crash_behind(killed):
    async def check(fleet):
        broken = Fault(break_after=1, connection_lost=True)
        for number in range(2):
            fleet.engines.faults["*"] = [broken]
            await crash_once(fleet, number, b"sound")
        await asyncio.sleep(0.3)
        assert stored_crashes(fleet)
        if killed:
            await kill_all(fleet)
        await asyncio.sleep(12.0)
        assert not stored_crashes(fleet)
        for name in HOSTS:
            request = make_request(name, ONCE, body=b"sound")
            assert (await fleet.relay(name, request)).finished
        ledgers = [host.quarantine._ledger for host in fleet.hosts.values()]
        assert not any(
            ledger.crash_count(fingerprint_of(b"sound", ONCE)) for ledger in ledgers
        )

    with_fleet(check)


# Guards against sound requests that are held since engines crashed beside them
# and all hosts were killed before those were answered.
def test_sound_requests_are_served_after_engines_and_all_hosts_crashed():
    async def check(fleet):
        requests = [
            make_request(f"s{n}", body=b"sound %d" % n, **part_fields("first", "x"))
            for n in range(16)
        ]
        tasks = [
            asyncio.create_task(fleet.relay(HOSTS[n % 3], request))
            for n, request in enumerate(requests)
        ]
        await asyncio.sleep(0.1)
        for name in ("e0", "e1", "e2"):
            fleet.engines.crash(name)
        await asyncio.sleep(0.7)
        await kill_all(fleet)
        for task in tasks:
            task.cancel()
        await asyncio.sleep(2.0)
        replies = await asyncio.gather(
            *(
                fleet.relay(
                    HOSTS[n % 3],
                    make_request(
                        f"t{n}", body=request.body, **part_fields("first", "x")
                    ),
                )
                for n, request in enumerate(requests)
            )
        )
        assert all(reply.finished for reply in replies)

    with_fleet(check, events=30)


class CountingTable:
    """A store of which one part performs one write after the other."""

    def __init__(self, clock) -> None:
        self.clock = clock
        self.done_s = 0.0  # when all writes so far are performed
        self.writes_s: list[float] = []
        self.most_waiting_s = 0.0
        self.rows = Counter()

    async def transact(self, transaction):
        now_s = self.clock.now_s()
        self.writes_s.append(now_s)
        self.done_s = max(self.done_s, now_s) + 1 / PART_WRITES_PER_S
        self.most_waiting_s = max(self.most_waiting_s, self.done_s - now_s)
        self.rows.update(put.key.key for put in transaction.puts)
        await asyncio.sleep(self.done_s - now_s)
        return Success(Committed({put.key: 1 for put in transaction.puts}))


class CurrentFollower:
    """Says that the list of engines was read just now."""

    def __init__(self, clock) -> None:
        self._clock = clock
        self.followed_since_s = clock.now_s()

    @property
    def confirmed_s(self) -> float:
        return self._clock.now_s()

    age_s = 0.0


# Guards against writes of all hosts at one moment that the store refuses.
@pytest.mark.parametrize("parts", [0, 40])
def test_crash_that_all_hosts_see_at_once_fits_the_rates_of_the_store(parts):
    async def main(clock):
        table = CountingTable(clock)
        engines = {f"e{n}": make_engine(f"e{n}") for n in range(12)}
        hosts = []
        for number in range(LARGE_FLEET):
            directory = EngineDirectory(clock)
            directory.replace(engines.values())
            random = Random(number)
            host_table = HostTable(clock)
            host_table.listed_count = lambda: LARGE_FLEET
            hosts.append(
                Quarantine(
                    f"h{number}",
                    directory,
                    CurrentFollower(clock),
                    host_table,
                    Store(table, clock, random),
                    clock,
                    random,
                    1.2,
                )
            )
        tasks = [asyncio.create_task(host.run()) for host in hosts]
        await asyncio.sleep(UPDATE_INTERVAL_S * 4.4)  # between two updates
        prompt = tuple(f"p{n}" for n in range(parts))
        for engine in list(engines.values())[:2]:
            for number, host in enumerate(hosts):
                subjects = run_subjects(f"{number:016x}", prompt)
                host.record_broken_run(
                    subjects, engine, connection_lost=True, arrivals=EventArrivals()
                )
            await asyncio.sleep(0.1)
        await asyncio.sleep(3.0)
        stored = Counter(key.partition("/")[0] for key in table.rows)
        assert all(stored[f"{number:016x}"] == 2 for number in range(LARGE_FLEET))
        assert len(stored) == LARGE_FLEET + parts
        assert table.most_waiting_s < PART_QUEUE_S
        assert len(table.writes_s) <= LARGE_FLEET * MAX_WRITES
        for task in tasks:
            task.cancel()

    run_virtual(main)


# Guards against writes that reports of other hosts make come at once again, in
# an outage of the store.
def test_reports_of_a_crash_do_not_hurry_a_write_that_failed():
    async def check(fleet):
        fleet.engine_down_s = DOWN_S
        fleet.store.unreachable_for = {"*"}
        await crash_once(fleet, 0)
        await asyncio.sleep(1.3)  # the first write has failed
        quarantine = fleet.hosts["h0"].quarantine
        ((_, crash),) = quarantine._ledger.crashes()
        while crash.write_at_s <= fleet.clock.now_s():
            await asyncio.sleep(0.05)
        next_try_s = crash.write_at_s
        quarantine.apply_notices(fleet.hosts["h1"].quarantine.notices())
        quarantine.apply_notices(quarantine.notices())
        assert crash.write_at_s == next_try_s

    with_fleet(check)
