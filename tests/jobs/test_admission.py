"""Batch jobs on a route with a limit of the tokens that may wait there."""

from __future__ import annotations

import asyncio
from collections import Counter

import pytest
from returns.result import Success

from aspenbridge.fleet import CallKind
from aspenbridge.jobs import JobSubmission, SubmittedItem
from aspenbridge.jobs._admission import ACCEPT_LIMIT_S
from aspenbridge.jobs._directory import HEADS_READ_INTERVAL_S
from aspenbridge.jobs._records import HEADS_TABLE, AdmissionRecord, admission_key
from aspenbridge.result_codes import ResultCode
from aspenbridge.store import Changes
from tests.support.entry_fleet import EntryFleet, make_configuration, make_route
from tests.support.virtual_loop import run_virtual

LIMIT_TOKENS = 100
SLOW_EVENTS = 400  # an item runs for 8 s


def set_limit(fleet, limit_tokens) -> None:
    """Write a new configuration in which a batch route has this limit."""
    version = len(fleet.configurations) + 1
    value = str(version).encode()
    route = make_route(
        "batch", kind=CallKind.BATCH, max_attempts=3, max_waiting_tokens=limit_tokens
    )
    fleet.configurations[value] = make_configuration(version, (make_route(), route))
    fleet.store.write("op", "config", value)


def with_fleet(check, limit_tokens=LIMIT_TOKENS, **options):
    async def main(clock):
        async with EntryFleet(clock, **options) as fleet:
            set_limit(fleet, limit_tokens)
            await asyncio.sleep(0.5)
            return await check(fleet)

    return run_virtual(main)


def make_job(job_id, *tokens) -> JobSubmission:
    items = tuple(
        SubmittedItem(f"{job_id}-{n}", f"/batch/{n}", (), b"", count)
        for n, count in enumerate(tokens)
    )
    return JobSubmission(job_id, "a.example", items)


async def submit(fleet, host, job_id, *tokens):
    entry = fleet.hosts[host]
    route = entry.configuration.current.route_for("a.example", "/batch/")
    return await entry.job_service.submit(make_job(job_id, *tokens), route)


def code_of(result) -> ResultCode | None:
    return None if isinstance(result, Success) else result.failure().code


def waiting_tokens(fleet) -> dict[str, int]:
    """Return the tokens that wait on the batch route as each host counts."""
    return {
        name: host._admission._quota.waiting_tokens("batch")
        for name, host in fleet.hosts.items()
    }


def test_two_hosts_that_both_see_room_for_one_job_accept_one():
    async def check(fleet):
        results = await asyncio.gather(
            submit(fleet, "h0", "j1", 60), submit(fleet, "h1", "j2", 60)
        )
        assert set(map(code_of, results)) == {None, ResultCode.ROUTE_FULL}
        await asyncio.sleep(0.1)
        assert set(waiting_tokens(fleet).values()) == {60}

    with_fleet(check, events=SLOW_EVENTS)


def test_jobs_that_fit_together_are_all_accepted_when_hosts_race():
    async def check(fleet):
        jobs = [submit(fleet, f"h{n % 3}", f"j{n}", 10) for n in range(10)]
        assert await asyncio.gather(*jobs) == [Success(None)] * 10
        assert code_of(await submit(fleet, "h0", "j10", 1)) is ResultCode.ROUTE_FULL

    with_fleet(check, events=SLOW_EVENTS)


def test_hosts_that_race_read_at_once_what_they_have_missed():
    async def check(fleet):
        started_s = fleet.clock.now_s()
        jobs = [submit(fleet, f"h{n}", f"j{n}", 10) for n in range(8)]
        assert await asyncio.gather(*jobs) == [Success(None)] * 8
        # Each of them loses to seven others at most.
        assert fleet.clock.now_s() - started_s < 2 * HEADS_READ_INTERVAL_S

    with_fleet(check, hosts=8, events=SLOW_EVENTS)


def test_job_whose_reply_was_lost_counts_once_when_it_is_sent_again():
    async def check(fleet):
        fleet.store.replies_to_lose, fleet.store.lossy_table = 1, HEADS_TABLE
        assert await submit(fleet, "h0", "j1", 60) == Success(None)
        assert await submit(fleet, "h1", "j1", 60) == Success(None)
        assert await submit(fleet, "h2", "j2", 40) == Success(None)

    with_fleet(check, events=SLOW_EVENTS)


def test_accepted_job_is_not_refused_by_a_host_that_does_not_know_it_yet():
    async def check(fleet):
        await submit(fleet, "h0", "j0", 50)
        await asyncio.sleep(0.5)
        fleet.store.feeds_stalled_until_s = fleet.clock.now_s() + 1.0
        assert await submit(fleet, "h0", "j1", 50) == Success(None)
        await asyncio.sleep(0.5)
        assert await submit(fleet, "h1", "j1", 51) == Success(None)

    with_fleet(check, events=SLOW_EVENTS)


def test_item_that_ended_frees_its_tokens_once_on_every_host():
    async def check(fleet):
        assert await submit(fleet, "h0", "j1", 50, 50) == Success(None)
        assert code_of(await submit(fleet, "h1", "j2", 1)) is ResultCode.ROUTE_FULL
        await asyncio.sleep(3.0)
        assert set(waiting_tokens(fleet).values()) == {0}
        assert await submit(fleet, "h1", "j2", 100) == Success(None)
        assert code_of(await submit(fleet, "h2", "j3", 1)) is ResultCode.ROUTE_FULL

    with_fleet(check)


def test_ended_job_frees_the_rest_of_its_tokens_at_once():
    async def check(fleet):
        await submit(fleet, "h0", "j1", 50, 50)
        assert code_of(await submit(fleet, "h0", "j2", 100)) is ResultCode.ROUTE_FULL
        assert await fleet.hosts["h1"].job_service.end("j1") == Success(None)
        assert await submit(fleet, "h1", "j2", 100) == Success(None)
        assert code_of(await submit(fleet, "h0", "j3", 1)) is ResultCode.ROUTE_FULL

    with_fleet(check, events=SLOW_EVENTS)


def test_tokens_of_a_job_are_counted_on_when_another_host_takes_it_over():
    async def check(fleet):
        await submit(fleet, "h0", "j1", 50, 50)
        await fleet.kill("h0")
        for _ in range(40):
            refused = code_of(await submit(fleet, "h1", "j2", 1))
            if set(waiting_tokens(fleet).values()) != {100}:
                break
            assert refused is ResultCode.ROUTE_FULL
            await asyncio.sleep(0.1)
        await asyncio.sleep(20.0)
        assert set(waiting_tokens(fleet).values()) == {0}

    with_fleet(check, events=SLOW_EVENTS)


def test_refusal_tells_what_is_full_and_when_to_come_back():
    async def check(fleet):
        await submit(fleet, "h0", "j1", 100)
        problem = (await submit(fleet, "h0", "j2", 30)).failure()
        assert problem.status == 429
        assert "'batch' is full" in problem.detail
        assert problem.retry_after_s > 0
        never = (await submit(fleet, "h0", "j3", 101)).failure()
        assert never.status == 429
        assert "more than" in never.detail
        assert never.retry_after_s is None
        assert not [name for name in fleet.store.objects if name != "job-j1"]

    with_fleet(check, events=SLOW_EVENTS)


def test_lowered_limit_holds_for_new_jobs_and_keeps_the_accepted_ones():
    async def check(fleet):
        await submit(fleet, "h0", "j1", 30, 30)
        set_limit(fleet, 50)
        await asyncio.sleep(0.5)
        assert code_of(await submit(fleet, "h1", "j2", 1)) is ResultCode.ROUTE_FULL
        assert await submit(fleet, "h1", "j1", 30, 30) == Success(None)
        await asyncio.sleep(5.0)
        assert await submit(fleet, "h1", "j2", 50) == Success(None)

    with_fleet(check, events=100)


@pytest.mark.parametrize("limit_tokens", [0, 10**6])
def test_route_without_a_limit_in_reach_accepts_everything(limit_tokens):
    async def check(fleet):
        for number in range(5):
            host = f"h{number % 3}"
            accepted = await submit(fleet, host, f"j{number}", 10**5)
            assert accepted == Success(None)

    with_fleet(check, limit_tokens=limit_tokens, events=SLOW_EVENTS)


def test_job_is_sent_to_another_host_while_the_count_is_late():
    async def check(fleet):
        fleet.store.feeds_stalled_until_s = fleet.clock.now_s() + 30.0
        assert await submit(fleet, "h0", "j1", 60) == Success(None)
        await asyncio.sleep(0.1)
        started_s = fleet.clock.now_s()
        problem = (await submit(fleet, "h1", "j2", 60)).failure()
        assert problem.code is ResultCode.STORE_UNAVAILABLE
        assert fleet.clock.now_s() - started_s < ACCEPT_LIMIT_S + 0.5

    with_fleet(check, events=SLOW_EVENTS)


def test_limit_holds_while_hosts_read_the_whole_table_again():
    async def check(fleet):
        accepted = 0
        for number in range(12):
            fleet.store.forget_history()
            jobs = [submit(fleet, f"h{n}", f"j{number}-{n}", 15) for n in range(3)]
            results = await asyncio.gather(*jobs)
            accepted += results.count(Success(None))
            await asyncio.sleep(0.01)
        assert accepted == LIMIT_TOKENS // 15

    with_fleet(check, events=SLOW_EVENTS)


def count_calls(client) -> Counter[str]:
    """Count a host's calls for jobs to the store; heartbeats don't count."""
    counts: Counter[str] = Counter()
    transact, put, read = client.transact, client.put, client.read

    async def counted_transact(transaction):
        counts["transact"] += any(p.key.table == HEADS_TABLE for p in transaction.puts)
        return await transact(transaction)

    async def counted_put(name, body):
        counts["put"] += 1
        return await put(name, body)

    async def counted_read(keys):
        counts["read"] += 1
        return await read(keys)

    client.transact, client.put, client.read = (
        counted_transact,
        counted_put,
        counted_read,
    )
    return counts


def test_started_host_accepts_no_job_before_it_has_read_what_waits():
    async def check(fleet):
        assert await submit(fleet, "h0", "j1", 60) == Success(None)
        set_limit(fleet, LIMIT_TOKENS)
        await asyncio.sleep(0.5)
        fleet.store.unreadable_tables = {HEADS_TABLE}
        await fleet.start("h3")
        await asyncio.sleep(2.0)
        late = code_of(await submit(fleet, "h3", "j2", 60))
        assert late is ResultCode.STORE_UNAVAILABLE
        fleet.store.unreadable_tables = set()
        await asyncio.sleep(2.0)
        assert code_of(await submit(fleet, "h3", "j2", 60)) is ResultCode.ROUTE_FULL

    with_fleet(check, limit_tokens=0, events=SLOW_EVENTS)


def test_host_that_always_comes_second_sends_the_job_on_in_time():
    async def check(fleet):
        client = fleet.hosts["h0"].ports.table
        transact, key = client.transact, admission_key("batch")

        async def transact_after_another_host(transaction):
            if any(put.key == key for put in transaction.puts):
                before = fleet.store.rows_by_key.get(key)
                other = Changes().check(key, before.version if before else 0)
                other.put(key, AdmissionRecord(()))
                fleet.store.apply(other.transaction(bytes(16)))
                await asyncio.sleep(0.02)  # the feed is faster than the answer
            return await transact(transaction)

        client.transact = transact_after_another_host
        async with asyncio.timeout(ACCEPT_LIMIT_S + 0.5):
            problem = (await submit(fleet, "h0", "j1", 60)).failure()
        assert problem.code is ResultCode.STORE_UNAVAILABLE
        assert await submit(fleet, "h1", "j1", 60) == Success(None)

    with_fleet(check, events=SLOW_EVENTS)


def test_limit_costs_no_call_for_a_refused_job_and_one_for_an_accepted_one():
    async def check(fleet):
        counts = count_calls(fleet.hosts["h0"].ports.table)
        assert await submit(fleet, "h0", "j1", 100) == Success(None)
        assert counts == {"put": 1, "transact": 2}
        await asyncio.sleep(0.01)
        assert code_of(await submit(fleet, "h0", "j2", 1)) is ResultCode.ROUTE_FULL
        assert counts == {"put": 1, "transact": 2}

    with_fleet(check, events=SLOW_EVENTS)


def test_job_that_comes_again_is_found_in_the_store_when_the_count_is_old():
    async def check(fleet):
        await submit(fleet, "h0", "j0", 50)
        await asyncio.sleep(0.5)
        client = fleet.hosts["h1"].ports.feed

        async def hang(*_):
            await asyncio.Event().wait()

        client.changes = hang
        await submit(fleet, "h0", "j00", 1)  # ends the call that waits
        await asyncio.sleep(1.0)
        counts = count_calls(client)
        assert await submit(fleet, "h0", "j1", 49) == Success(None)
        assert await submit(fleet, "h1", "j1", 50) == Success(None)
        assert counts == {"read": 1}
        assert code_of(await submit(fleet, "h1", "j2", 50)) is ResultCode.ROUTE_FULL
        await asyncio.sleep(2.0)
        late = code_of(await submit(fleet, "h1", "j3", 50))
        assert late is ResultCode.STORE_UNAVAILABLE

    with_fleet(check, events=SLOW_EVENTS)
