"""Load reports between hosts of different builds and in different orders."""

from __future__ import annotations

import random

import msgspec

from aspenbridge.fleet import CrashNotices, LoadExchange, LoadView
from aspenbridge.fleet._exchange import (
    MAX_LEAVING_ENGINES,
    LoadReport,
    PassedOnReport,
    _Heard,
)
from tests.support.entry_fleet import MemoryDatagrams
from tests.support.virtual_loop import run_virtual

ADDRESS = ("10.0.1.1", 7000)
PEER = ("10.0.1.2", 7000)
FIELDS = ("h", 1, [("e0", 2, 3)], 4, 5.0, 0.5)
NOTICES = CrashNotices(crashes=(("f", ("e0", 1, 0), 0.5, False, True),))
LEAVING = (("e0", 1764844800000),)


class OlderReport(msgspec.Struct, frozen=True, array_like=True):
    """The report of a build that does not know of leaving engines."""

    host: str
    sequence: int
    engines: list[tuple[str, int, int]]
    waiting_items: int
    due_wall_s: float
    beat_age_s: float
    notices: CrashNotices = CrashNotices()


def make_exchange(clock, datagrams):
    return LoadExchange(
        "h0",
        ADDRESS,
        "a-1",
        LoadView(clock),
        lambda: {PEER: "a-1"},
        datagrams,
        clock,
        random.Random(1),
    )


def test_hosts_of_builds_with_and_without_newer_fields_read_each_others_reports():
    older = msgspec.msgpack.encode(OlderReport(*FIELDS, NOTICES))
    passed_on = (PassedOnReport("h2", 7, [("e1", 1, 0)], 0, 0.0, 0.5, 0.1),)
    newer = msgspec.msgpack.encode(
        LoadReport(*FIELDS, NOTICES, LEAVING, True, passed_on)
    )
    read = msgspec.msgpack.decode(older, type=LoadReport)
    assert read == LoadReport(*FIELDS, NOTICES)
    assert (read.leaving, read.pass_on, read.passed_on) == ((), False, ())
    assert msgspec.msgpack.decode(newer, type=OlderReport) == OlderReport(
        *FIELDS, NOTICES
    )
    read = msgspec.msgpack.decode(newer, type=LoadReport)
    assert (read.leaving, read.pass_on, read.passed_on) == (LEAVING, True, passed_on)


def test_exchange_applies_reports_of_older_builds():
    async def check(clock):
        exchange = make_exchange(clock, MemoryDatagrams())
        heard = []
        exchange.on_leaving = heard.append
        exchange.receive(msgspec.msgpack.encode(OlderReport(*FIELDS)), PEER)
        newer = LoadReport("h", 2, [], 0, 0.0, 0.5, leaving=LEAVING)
        exchange.receive(msgspec.msgpack.encode(newer), PEER)
        older_sequence = LoadReport(*FIELDS, leaving=(("e1", 1),))
        exchange.receive(msgspec.msgpack.encode(older_sequence), PEER)
        return heard

    assert run_virtual(check) == [(), LEAVING]


def test_report_holds_a_bounded_number_of_leaving_engines_the_newest():
    sent = []

    async def check(clock):
        datagrams = MemoryDatagrams()
        started_ms = LEAVING[0][1]
        engines = [
            (f"i-{n:08x}", started_ms + n) for n in range(2 * MAX_LEAVING_ENGINES)
        ]
        async with (
            datagrams.open(PEER, lambda data, _: sent.append(data)),
            make_exchange(clock, datagrams) as exchange,
        ):
            exchange.leaving = lambda: engines
            exchange.schedule_send()
            await clock.sleep_until(clock.now_s() + 1.0)
        return engines

    engines = run_virtual(check)
    [report] = [msgspec.msgpack.decode(data, type=LoadReport) for data in sent]
    assert list(report.leaving) == engines[-MAX_LEAVING_ENGINES:]
    assert len(sent[0]) < 1500


def test_report_larger_than_the_room_for_passed_on_ones_does_not_keep_out_others():
    async def check(clock):
        exchange = make_exchange(clock, MemoryDatagrams())
        engines = [(f"i-{n:08x}", 1, 1) for n in range(100)]
        for host, loads, sent_s in (("small", [], 1.0), ("large", engines, 0.5)):
            report = LoadReport(host, 1, loads, 0, 0.0, 0.0)
            exchange._to_pass_on[host] = _Heard(report, clock.now_s() - sent_s)
        return [[r.host for r in exchange._take_to_pass_on()] for _ in range(3)]

    assert run_virtual(check) == [["large"], ["small"], []]
