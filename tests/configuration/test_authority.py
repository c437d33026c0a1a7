"""Concurrent changes by operators, and reasons to refuse a change."""

from __future__ import annotations

import asyncio
import random

import pytest
from returns.result import Failure

from aspenbridge.configuration import Authority, ConfigObject
from aspenbridge.embedded import MemoryTable
from aspenbridge.ports import Unavailable
from aspenbridge.result_codes import Execution, ResultCode
from aspenbridge.store import Store
from tests.support.control_fleet import customer
from tests.support.virtual_loop import run_virtual


class YieldingTable(MemoryTable):
    """Lets other tasks run during each read, so that operators race."""

    async def read(self, keys):
        result = await super().read(keys)
        await asyncio.sleep(0.01)
        return result


def race(*changes):
    async def scenario(clock):
        store = Store(YieldingTable(), clock, random.Random(1))
        authority = Authority(store, clock)
        await authority.accept("x", 0, [customer("a"), customer("b")])
        accepting = (authority.accept(name, 1, put) for name, put in changes)
        return await asyncio.gather(*accepting)

    return run_virtual(scenario)


def test_one_operator_wins_when_two_change_the_same_object() -> None:
    results = race(
        ("x", [customer("a", tier="gold")]), ("y", [customer("a", tier="tin")])
    )
    failed = [item.failure() for item in results if isinstance(item, Failure)]
    assert [problem.code for problem in failed] == [ResultCode.REVISION_CONFLICT]
    assert "revision 2 changed it" in failed[0].detail


def test_both_operators_win_when_they_change_different_objects() -> None:
    results = race(("x", [customer("a", tier="gold")]), ("y", [customer("b")]))
    assert sorted(item.unwrap().revision for item in results) == [2, 3]


@pytest.mark.parametrize(
    ("item", "reason"),
    [
        (ConfigObject("plane", "a", {}), "no such kind"),
        (ConfigObject("customer", "a/b", {}), "does not match"),
        (ConfigObject("model", "m@1", {"model": "m", "verson": "1"}), "'verson'"),
        (ConfigObject("model", "m@1", {"model": "m"}), "version"),
        (customer("a", **{"bad label": "x"}), "'bad label'"),
    ],
)
def test_change_is_refused_when_an_object_is_not_valid(item, reason) -> None:
    async def scenario(clock):
        store = Store(MemoryTable(), clock, random.Random(1))
        return await Authority(store, clock).accept("x", 0, [item])

    problem = run_virtual(scenario).failure()
    assert problem.code is ResultCode.BAD_CONFIGURATION
    assert reason in problem.detail


class LosesCommitReplies(MemoryTable):
    """Applies each transaction but loses its reply; fails reads after that."""

    async def transact(self, transaction):
        await super().transact(transaction)
        return Failure(Unavailable("reply lost", maybe_applied=True))

    async def read(self, keys):
        if self._version:
            return Failure(Unavailable("down", maybe_applied=False))
        return await super().read(keys)


def test_accept_says_unknown_when_the_commit_may_have_taken_effect() -> None:
    async def scenario(clock):
        store = Store(LosesCommitReplies(), clock, random.Random(1))
        return await Authority(store, clock).accept("x", 0, [customer("a")])

    problem = run_virtual(scenario).failure()
    assert problem.code is ResultCode.STORE_UNAVAILABLE
    assert problem.execution is Execution.UNKNOWN
