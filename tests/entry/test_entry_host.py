from __future__ import annotations

import asyncio

import pytest

from aspenbridge.fleet import HostRecord
from aspenbridge.store import encode_record
from tests.support.entry_fleet import EntryFleet, make_configuration, make_request
from tests.support.virtual_loop import run_virtual


def with_fleet(check, **options):
    async def main(clock):
        async with EntryFleet(clock, **options) as fleet:
            return await check(fleet)

    return run_virtual(main)


def test_host_is_ready_once_it_has_read_a_configuration():
    async def check(fleet):
        fleet.store.unreachable_for = {"late"}
        late = await fleet.start("late")
        await asyncio.sleep(3)
        assert not late.ready
        fleet.store.unreachable_for = set()
        await asyncio.sleep(1.5)
        assert late.ready

    with_fleet(check)


def test_configuration_version_never_decreases():
    async def check(fleet):
        fleet.configurations[b"7"] = make_configuration(7)
        fleet.store.write("op", "config", b"7")
        await asyncio.sleep(0.1)
        fleet.store.write("op", "config", b"1")
        fleet.store.forget_history()
        await asyncio.sleep(2.5)
        versions = {h.configuration.current.version for h in fleet.hosts.values()}
        assert versions == {7}

    with_fleet(check)


def test_host_without_the_store_serves_requests_from_its_copies():
    async def check(fleet):
        fleet.store.unreachable_for = {"h0"}
        await asyncio.sleep(10)
        assert fleet.hosts["h0"].ready
        reply = await fleet.relay("h0", make_request())
        assert reply.finished

    with_fleet(check)


def test_host_that_reaches_neither_the_store_nor_other_hosts_is_not_ready():
    async def check(fleet):
        fleet.cut_off("h0")
        await asyncio.sleep(4.0)
        assert [fleet.hosts[f"h{n}"].ready for n in range(3)] == [False, True, True]
        reply = await fleet.relay("h0", make_request())
        assert reply.status == 200
        fleet.reconnect()
        await asyncio.sleep(2.5)
        assert fleet.hosts["h0"].ready

    with_fleet(check)


@pytest.mark.parametrize("hosts", [1, 3])
def test_outage_of_the_store_leaves_all_hosts_ready(hosts):
    async def check(fleet):
        fleet.store.unreachable_for = {"*"}
        await asyncio.sleep(6.0)
        assert all(host.ready for host in fleet.hosts.values())

    with_fleet(check, hosts=hosts)


def test_removed_engine_gets_no_request_after_the_change():
    async def check(fleet):
        fleet.store.write("servers", "e0", None)
        await asyncio.sleep(0.1)
        for number in range(6):
            await fleet.relay("h0", make_request(f"r{number}"))
        assert {run.engine for run in fleet.engines.runs} == {"e1"}

    with_fleet(check)


def test_new_host_receives_load_reports_before_the_store_lists_it():
    async def check(fleet):
        tasks = [
            asyncio.create_task(fleet.relay("h0", make_request(f"r{n}")))
            for n in range(6)
        ]
        fleet.engines.event_s = 0.5
        fleet.store.unreachable_for = {"h0", "h1", "h2"}
        late = await fleet.start("late")
        await asyncio.sleep(2.2)
        total = sum(late.load_view.load(engine).total for engine in fleet.entries)
        assert total == 6
        await asyncio.gather(*tasks)

    with_fleet(check)


def test_row_of_a_host_that_left_does_not_come_back():
    async def check(fleet):
        host = fleet.hosts["h0"]
        await host.release_jobs()
        await asyncio.sleep(0.99)  # a renewal is about to be written
        await host.leave()
        await asyncio.sleep(2.5)
        listed = {record.host for record in fleet.hosts["h1"].hosts.listed()}
        assert listed == {"h1", "h2"}

    with_fleet(check)


def test_pauses_of_removed_engines_are_dropped():
    async def check(fleet):
        host = fleet.hosts["h0"]
        for name in ("e0", "e1"):
            host.relay._health.record_unreachable(name)
        fleet.store.write("servers", "e0", None)
        await asyncio.sleep(0.1)
        assert not host.relay._health.is_paused("e0")
        assert host.relay._health.is_paused("e1")

    with_fleet(check)


@pytest.mark.parametrize("others", [8, 299])
def test_host_calls_the_store_six_times_a_second_at_most_in_a_fleet_of_any_size(others):
    calls = []

    async def renew(store, number):
        await asyncio.sleep(number / others)
        for beat in range(11):
            ip, name = f"10.1.{number // 250}.{number % 250}", f"other-{number}"
            record = HostRecord(name, f"{name}-1", ip, 7000, "a-1", beat)
            store.write("hosts", name, encode_record(record, b"t" * 16))
            await asyncio.sleep(1.0)

    async def check(fleet):
        client = fleet.hosts["h0"].ports.feed
        renewals = [renew(fleet.store, number) for number in range(others)]
        renewed = asyncio.gather(*renewals)
        await asyncio.sleep(1.0)
        for name in ("changes", "transact", "rows"):
            call = getattr(client, name)
            setattr(client, name, count(call))
        await asyncio.sleep(9.0)
        renewed.cancel()
        return len(fleet.hosts["h0"].hosts.live())

    def count(call):
        def counted(*arguments, **options):
            calls.append(call)
            return call(*arguments, **options)

        return counted

    assert with_fleet(check, hosts=1) == others + 1
    assert len(calls) <= 6 * 9
