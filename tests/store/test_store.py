"""
Commits of the store when replies are lost or another writer was first.

Guards against a retry that takes its own earlier write, whose reply was lost,
for a conflict.
"""

from __future__ import annotations

import random

import attrs
from returns.result import Failure, Success

from aspenbridge.embedded import MemoryTable
from aspenbridge.ports import Conflict, RowKey, Unavailable
from aspenbridge.store import Changes, Store
from tests.support.virtual_loop import run_virtual

KEY = RowKey("things", "one")
OTHER_KEY = RowKey("things", "two")


@attrs.frozen
class SizeRecord:
    size: int


class FirstReplyLost(MemoryTable):
    """Applies every transaction but loses the first reply."""

    reply_lost = False
    next_transaction = None  # of another writer, behind the lost reply

    async def transact(self, transaction):
        result = await super().transact(transaction)
        if not self.reply_lost:
            self.reply_lost = True
            if self.next_transaction is not None:
                await super().transact(self.next_transaction)
            return Failure(Unavailable("reply lost", maybe_applied=True))
        return result


def test_commit_succeeds_once_when_the_reply_is_lost() -> None:
    async def scenario(clock):
        table = FirstReplyLost()
        store = Store(table, clock, random.Random(1))
        result = await store.commit(Changes().absent(KEY).put(KEY, SizeRecord(1)))
        stored = (await store.get(KEY, SizeRecord)).unwrap()
        return result, stored

    result, stored = run_virtual(scenario)
    assert isinstance(result, Success)
    assert stored.record == SizeRecord(1)


def test_commit_reports_a_conflict_when_another_writer_changed_its_row_since() -> None:
    """Guards against taking another writer's version for its own."""

    async def scenario(clock):
        table = FirstReplyLost()
        ended = Changes().put(KEY, SizeRecord(3)).transaction(b"t" * 8)
        table.next_transaction = ended
        store = Store(table, clock, random.Random(1))
        changes = Changes().absent(KEY).put(KEY, SizeRecord(1))
        return await store.commit(changes.put(OTHER_KEY, SizeRecord(2)))

    assert isinstance(run_virtual(scenario).failure(), Conflict)


def test_commit_reports_a_conflict_when_another_writer_was_first() -> None:
    async def scenario(clock):
        table = MemoryTable()
        store = Store(table, clock, random.Random(1))
        await store.commit(Changes().absent(KEY).put(KEY, SizeRecord(1)))
        return await store.commit(Changes().absent(KEY).put(KEY, SizeRecord(2)))

    result = run_virtual(scenario)
    assert isinstance(result.failure(), Conflict)
