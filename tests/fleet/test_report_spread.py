"""How load reports spread in fleets of several sizes, on a virtual clock."""

from __future__ import annotations

import asyncio

import msgspec
import pytest

from aspenbridge.fleet import CrashNotices, HostTable
from aspenbridge.fleet._exchange import MAX_HOSTS, LoadReport, PassedOnReport
from aspenbridge.fleet._fanout import (
    COPIES,
    DIRECT_PEERS,
    MAX_MESSAGES_PER_S,
    direct_interval_s,
    plan_fanout,
)
from aspenbridge.fleet._hosts import MAX_REPORTED_HOSTS
from aspenbridge.fleet._load import REPORT_LIFETIME_S
from tests.support.report_fleet import DELIVERY_S, ReportFleet
from tests.support.virtual_loop import run_virtual

LARGE_FLEET = DIRECT_PEERS + 10  # where hosts pass reports on
NOTICES = CrashNotices(crashes=(("f", ("e0", 1, 0), 0.5, False, True),))


def with_fleet(check, hosts, **options):
    async def main(clock):
        async with ReportFleet(clock, hosts, **options) as fleet:
            fleet.busy = False
            await asyncio.sleep(3.0)
            return await check(fleet)

    return run_virtual(main)


@pytest.mark.parametrize("domains", [1, 3, 11])
@pytest.mark.parametrize("hosts", [69, 300, 1000])
def test_reports_of_a_large_fleet_reach_all_and_are_repeated_while_valid(
    hosts, domains
):
    fanout = plan_fanout(hosts, domains)
    assert fanout.near * fanout.far >= COPIES * hosts / domains
    assert 2 * fanout.interval_s < REPORT_LIFETIME_S
    if hosts <= DIRECT_PEERS:
        assert 2 * direct_interval_s(hosts - 1) < REPORT_LIFETIME_S


@pytest.mark.parametrize("hosts", [9, 69, LARGE_FLEET])
def test_changes_reach_all_hosts_of_a_busy_fleet_within_the_bounds(hosts):
    async def check(fleet):
        fleet.busy = True
        await asyncio.sleep(1.0)
        return await fleet.measure(1.0)

    measured = with_fleet(check, hosts)
    assert measured["most_messages"] <= 1.1 * MAX_MESSAGES_PER_S
    assert measured["age_99_s"] < REPORT_LIFETIME_S


def test_small_fleet_gets_each_change_in_twenty_milliseconds():
    async def check(fleet):
        first, *others = fleet.exchanges.values()
        first._load_view.add("e0", online=1)
        await asyncio.sleep(0.021 + DELIVERY_S)
        return [other._load_view.load("e0").online for other in others]

    assert with_fleet(check, 11, loss=0.0) == [1] * 10


@pytest.mark.parametrize("hosts", [9, 69, LARGE_FLEET])
def test_news_of_a_crash_reaches_all_hosts_at_once(hosts):
    async def check(fleet):
        heard = set()
        for address, exchange in fleet.exchanges.items():
            exchange.on_notices = lambda notices, address=address: (
                heard.add(address) if notices == NOTICES else None
            )
        first = next(iter(fleet.exchanges.values()))
        first.notices = lambda: NOTICES
        first.announce()
        await asyncio.sleep(0.021 + DELIVERY_S)
        return len(heard)

    assert with_fleet(check, hosts, loss=0.0) == hosts - 1


def test_reports_that_are_passed_on_keep_no_lost_host():
    async def check(fleet):
        lost, *others = fleet.exchanges.values()
        lost._load_view.add("e0", online=1)
        await asyncio.sleep(1.5)
        known = sum(other._load_view.load("e0").online for other in others)
        lost._send_to = None
        await asyncio.sleep(REPORT_LIFETIME_S + 2 * DELIVERY_S)
        left = sum(other._load_view.load("e0").online for other in others)
        return known > 0.9 * len(others), left

    assert with_fleet(check, LARGE_FLEET) == (True, 0)


def test_report_of_a_removed_host_does_not_come_back_from_another_host():
    async def check(fleet):
        exchange, *_ = fleet.exchanges.values()
        old = PassedOnReport("gone", 5, [("e0", 1, 0)], 0, 0.0, 0.1, 0.5)
        newer = PassedOnReport("gone", 6, [("e1", 1, 0)], 0, 0.0, 0.1, 0.1)
        seen = []
        for report in (old, newer):
            if report is newer:
                exchange.remove_host("gone")
                exchange._load_view.remove_host("gone")
            relayed = LoadReport("h", report.sequence, [], 0, 0.0, 0.1)
            relayed = msgspec.structs.replace(relayed, passed_on=(report,))
            exchange.receive(msgspec.msgpack.encode(relayed), ("10.0.0.9", 1))
            loads = exchange._load_view.load
            seen.append((loads("e0").online, loads("e1").online))
        return seen

    assert with_fleet(check, 9) == [(1, 0), (0, 0)]


@pytest.mark.parametrize("age_s", [REPORT_LIFETIME_S, -1.0, float("nan")])
def test_report_with_an_age_that_no_valid_one_has_is_dropped(age_s):
    async def check(fleet):
        exchange, *_ = fleet.exchanges.values()
        bad = PassedOnReport("x", 1, [("e0", 1, 0)], 0, 0.0, 0.1, age_s)
        relayed = LoadReport("h", 1, [], 0, 0.0, 0.1, passed_on=(bad,))
        exchange.receive(msgspec.msgpack.encode(relayed), ("10.0.0.9", 1))
        return exchange._load_view.load("e0").online

    assert with_fleet(check, 9) == 0


def test_reports_of_made_up_hosts_take_a_bounded_amount_of_memory():
    async def check(fleet):
        exchange, *_ = fleet.exchanges.values()
        for number in range(MAX_HOSTS + 100):
            report = LoadReport(f"made-up-{number}", 1, [], 0, 0.0, 0.1)
            exchange.receive(msgspec.msgpack.encode(report), ("10.0.0.9", 1))
        most = len(exchange._heard)
        await asyncio.sleep(12.0)
        return most, len(exchange._heard)

    assert with_fleet(check, 9) == (MAX_HOSTS, 8)


def test_renewals_that_made_up_hosts_report_take_a_bounded_amount_of_memory():
    async def check(clock):
        hosts = HostTable(clock)
        for number in range(3 * MAX_REPORTED_HOSTS):
            hosts.record_heartbeat(f"made-up-{number}", 0.5)
            await clock.sleep_until(clock.now_s() + 0.001)
        return len(hosts._reported_s)

    assert run_virtual(check) <= MAX_REPORTED_HOSTS
