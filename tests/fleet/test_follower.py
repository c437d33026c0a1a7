from __future__ import annotations

import asyncio
import random

import pytest

from aspenbridge.fleet import Follower
from aspenbridge.fleet._follower import POLL_WAIT_S
from aspenbridge.ports import Check, Put, RowKey, Transaction
from tests.support import entry_fleet
from tests.support.entry_fleet import MemoryStore
from tests.support.virtual_loop import run_virtual


class RecordingCopy:
    def __init__(self) -> None:
        self.values: dict[str, bytes] = {}

    def replace(self, rows):
        self.values = {row.key.key: row.value for row in rows}

    def apply_change(self, change):
        if change.value is None:
            self.values.pop(change.key.key, None)
        else:
            self.values[change.key.key] = change.value


def with_follower(check, **options):
    async def main(clock):
        store, copy = MemoryStore(), RecordingCopy()
        follower = Follower(
            store.client("h"), clock, random.Random(1), "t", copy, **options
        )
        task = asyncio.create_task(follower.run())
        await asyncio.sleep(0.1)
        await check(store, follower, copy)
        task.cancel()

    run_virtual(main)


def test_change_is_applied_at_once():
    async def check(store, follower, copy):
        store.write("t", "a", b"1")
        await asyncio.sleep(0.05)
        assert copy.values == {"a": b"1"}
        store.write("t", "a", None)
        await asyncio.sleep(0.05)
        assert copy.values == {}

    with_follower(check)


@pytest.mark.parametrize("outage_s", [1.0, 9.0, 40.0])
def test_changes_during_an_outage_are_applied_soon_after_it(outage_s):
    async def check(store, follower, copy):
        recoveries = []
        follower.on_recovery = lambda: recoveries.append(dict(copy.values))
        store.write("t", "a", b"1")
        await asyncio.sleep(0.1)
        store.unreachable_for = {"h"}
        await asyncio.sleep(outage_s)
        store.write("t", "a", None)
        store.write("t", "b", b"2")
        store.unreachable_for = set()
        await asyncio.sleep(2.5)
        assert copy.values == {"b": b"2"}
        # The callback runs before the changes of the outage are applied. No
        # entry expires within three heartbeats, so that a short outage may go
        # unnoticed.
        assert recoveries == ([{"a": b"1"}] if outage_s > 3.6 else [])

    with_follower(check)


def test_table_is_read_again_when_its_history_is_lost():
    async def check(store, follower, copy):
        store.unreachable_for = {"h"}
        await asyncio.sleep(3.0)
        store.write("t", "a", b"1")
        store.forget_history()
        store.unreachable_for = set()
        await asyncio.sleep(2.5)
        assert copy.values == {"a": b"1"}
        store.write("t", "b", b"2")
        await asyncio.sleep(0.1)
        assert copy.values == {"a": b"1", "b": b"2"}

    with_follower(check)


def test_rows_of_all_parts_are_read():
    async def check(store, follower, copy):
        store.unreachable_for = {"h"}
        await asyncio.sleep(3.0)
        for part in ("p1", "p2"):
            key = RowKey("t", f"in-{part}", part)
            store.apply(Transaction(checks=(Check(key, 0),), puts=(Put(key, b"x"),)))
        store.forget_history()
        store.unreachable_for = set()
        await asyncio.sleep(2.5)
        assert set(copy.values) == {"in-p1", "in-p2"}

    with_follower(check, all_parts=True)


def test_copy_is_as_old_as_the_beginning_of_the_read_of_its_table(monkeypatch):
    monkeypatch.setattr(entry_fleet, "STORE_DELAY_S", 0.5)

    async def check(store, follower, copy):
        await follower.loaded.wait()  # after a read of the rows and of the parts
        assert follower.age_s == pytest.approx(1.0)

    with_follower(check, all_parts=True)


INTERVAL_S = 0.2
CALL_S = 0.02  # more than a read takes


def count_reads(follower) -> list[float]:
    """Return a list that grows with each read of changes."""
    read, times_s = follower._feed.changes, []

    async def changes(*arguments):
        times_s.append(asyncio.get_running_loop().time())
        return await read(*arguments)

    follower._feed.changes = changes
    return times_s


def test_first_change_after_a_pause_is_applied_at_once_also_when_reads_are_spaced():
    async def check(store, follower, copy):
        await asyncio.sleep(2.0)
        store.write("t", "a", b"1")
        await asyncio.sleep(CALL_S)
        assert copy.values == {"a": b"1"}

    with_follower(check, interval_s=INTERVAL_S)


def test_spaced_reads_don_t_grow_with_the_changes_and_bring_each_in_time():
    async def check(store, follower, copy):
        reads = count_reads(follower)
        late = 0
        for number in range(200):  # in two seconds
            store.write("t", f"k{number}", b"1")
            await asyncio.sleep(0.01)
            known = max((int(key[1:]) for key in copy.values), default=-1)
            late = max(late, number - known)
        assert len(reads) <= 2.0 / INTERVAL_S + 1
        assert late * 0.01 <= INTERVAL_S + CALL_S

    with_follower(check, interval_s=INTERVAL_S)


def test_change_that_is_waited_for_is_read_before_the_interval_is_over():
    async def check(store, follower, copy):
        store.write("t", "a", b"1")
        await asyncio.sleep(CALL_S)
        store.write("t", "b", b"2")
        await asyncio.sleep(CALL_S)
        assert copy.values == {"a": b"1"}
        follower.read_now()
        await asyncio.sleep(CALL_S)
        assert copy.values == {"a": b"1", "b": b"2"}
        reads = count_reads(follower)
        for number in range(20):
            store.write("t", f"k{number}", b"1")
            await asyncio.sleep(0.05)
        assert len(reads) <= 1.0 / INTERVAL_S + 1  # it ends one interval only

    with_follower(check, interval_s=INTERVAL_S)


def test_interval_does_not_prolong_the_wait_of_a_read():
    async def check(store, follower, copy):
        waits_s = []
        read = follower._feed.changes

        async def changes(table, after, wait_s):
            waits_s.append(wait_s)
            return await read(table, after, wait_s)

        follower._feed.changes = changes
        for number in range(20):
            store.write("t", f"k{number}", b"1")
            await asyncio.sleep(0.05)
        assert len(waits_s) > 1
        assert max(waits_s[1:]) <= POLL_WAIT_S - INTERVAL_S + CALL_S

    with_follower(check, interval_s=INTERVAL_S)
