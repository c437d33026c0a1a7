"""A view's revision never decreases; a snapshot is of one revision."""

from __future__ import annotations

import random

import pytest

from aspenbridge.configuration import Authority, Change, Follower, View
from aspenbridge.embedded import LocalPeers, MemoryTable
from aspenbridge.store import Store
from tests.support.control_fleet import customer
from tests.support.virtual_loop import run_virtual


class ChangesDuringScan(MemoryTable):
    """Runs ``meanwhile`` once, after the first page of a scan was read."""

    meanwhile = None

    async def scan(self, table, prefix, *, after="", limit=1000):
        page = await super().scan(table, prefix, after=after, limit=limit)
        accept, self.meanwhile = self.meanwhile, None
        if accept is not None:
            await accept()
        return page


def test_snapshot_is_of_the_newest_revision_when_changes_land_during_the_scan() -> None:
    async def scenario(clock):
        table = ChangesDuringScan()
        store = Store(table, clock, random.Random(1))
        authority = Authority(store, clock)
        for base, name in enumerate(("a", "b")):
            await authority.accept("x", base, [customer(name)])

        async def meanwhile():
            put = [customer("c"), customer("a", tier="gold")]
            await authority.accept("x", 2, put, [("customer", "b")])

        table.meanwhile = meanwhile
        view = View()
        follower = Follower(store, clock, view, LocalPeers())
        await follower.refresh()
        return view

    view = run_virtual(scenario)
    assert view.revision == 3
    assert view.find("customer", "b") is None
    assert view.find("customer", "c") is not None
    assert view.find("customer", "a").labels == {"tier": "gold"}


class StaleTable(MemoryTable):
    """Answers reads from the older table ``frozen`` while that is set."""

    frozen = None

    async def read(self, keys):
        return await (self.frozen or super()).read(keys)


def test_view_keeps_its_revision_when_an_old_reply_arrives() -> None:
    async def scenario(clock):
        table = StaleTable()
        store = Store(table, clock, random.Random(1))
        authority = Authority(store, clock)
        view = View()
        follower = Follower(store, clock, view, LocalPeers())
        await authority.accept("x", 0, [customer("a")])
        await follower.refresh()
        old = MemoryTable()
        old._rows = table._rows.copy()
        await authority.accept("x", 1, [customer("a", tier="gold")])
        await follower.refresh()
        table.frozen = old
        await follower.refresh()
        return view

    view = run_virtual(scenario)
    assert view.revision == 2
    assert view.find("customer", "a").labels == {"tier": "gold"}


@pytest.mark.parametrize("revision", [1, 2, 4])
def test_view_refuses_a_change_when_it_is_not_the_next(revision) -> None:
    view = View()
    view.replace(2, [customer("a", tier="gold")])
    old = Change(revision, "x", 0.0, put=(customer("a", tier="tin"),))
    assert not view.apply(old)
    assert view.revision == 2
    assert view.find("customer", "a").labels == {"tier": "gold"}
