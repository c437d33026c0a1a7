"""What callers are told when a host has no memory left for them."""

from __future__ import annotations

import asyncio
import json
from contextlib import suppress

import pytest

from aspenbridge.platform._settings import load_entry_settings
from tests.platform.test_crowds import head, ready_host, with_length
from tests.platform.test_endless_answers import run
from tests.platform.test_process import host_process
from tests.support.crowds import BODY_BYTES

# Callers may hold one body of the largest size, and half of another.
HELD_MB = 9
PART_BYTES = 2_500_000
STALLED_S = 1.2  # longer than a caller may stall when memory is short


async def begin(address, first):
    reader, writer = await asyncio.open_connection(*address)
    writer.write(first)
    with suppress(ConnectionError):  # the host has refused it
        await writer.drain()
    return reader, writer


async def read_refusal(reader):
    """Return status, fields and body of a refusal, behind which is the end."""
    status = int((await reader.readline()).split()[1])
    fields = {}
    while (line := await reader.readline()) != b"\r\n":
        name, _, value = line.decode().partition(":")
        fields[name.lower()] = value.strip()
    body = json.loads(await reader.readexactly(int(fields["content-length"])))
    assert await reader.read() == b""
    return status, fields, body


def check_not_run(refusal, expected_status):
    status, fields, body = refusal
    assert status == expected_status
    assert body["execution"] == "not run"
    assert 0 < float(fields["retry-after"]) < 1
    assert fields["connection"] == "close"


@pytest.fixture
def small_host(tmp_path):
    return ready_host(tmp_path, callers=f"memoryMb = {HELD_MB}")


def test_body_that_does_not_fit_is_refused_at_once_as_not_run(small_host):
    async def check():
        async with small_host as host:
            part = b"x" * PART_BYTES
            _, first = await begin(host.callers, with_length("/slow/x") + part)
            await asyncio.sleep(0.2)
            reader, writer = await begin(host.callers, with_length("/slow/x"))
            refusal = await read_refusal(reader)
            first.close()
            writer.close()
            return refusal

    check_not_run(run(check()), 503)


def test_body_that_stalls_gives_way_as_not_run(small_host):
    async def check():
        async with small_host as host:
            part = b"x" * PART_BYTES
            reader, first = await begin(host.callers, with_length("/slow/x") + part)
            await asyncio.sleep(STALLED_S)
            whole = with_length("/a/x") + b"x" * BODY_BYTES
            second_reader, second = await begin(host.callers, whole)
            status = int((await second_reader.readline()).split()[1])
            refusal = await read_refusal(reader)
            first.close()
            second.close()
            return status, refusal

    status, refusal = run(check())
    assert status == 200
    check_not_run(refusal, 408)


def test_head_that_stalls_gives_way_as_not_run(small_host):
    async def check():
        async with small_host as host:
            lines = f"X: {'y' * 15_000}\r\n"
            begun = head("/a/x", lines)[:-2]
            reader, first = await begin(host.callers, begun)
            await asyncio.sleep(STALLED_S)
            holders = [
                await begin(host.callers, with_length("/slow/x") + b"x" * PART_BYTES)
                for _ in range(2)
            ]
            whole = with_length("/a/x") + b"x" * BODY_BYTES
            _, last = await begin(host.callers, whole)
            refusal = await read_refusal(reader)
            for _, writer in holders:
                writer.close()
            first.close()
            last.close()
            return refusal

    check_not_run(run(check()), 408)


def test_body_larger_than_the_memory_of_callers_is_too_large(tmp_path):
    async def check():
        async with ready_host(tmp_path, callers="memoryMb = 4") as host:
            reader, writer = await begin(host.callers, with_length("/a/x"))
            refusal = await read_refusal(reader)
            writer.close()
            return refusal

    status, fields, body = run(check())
    assert (status, body["execution"]) == (413, "not run")
    assert "retry-after" not in fields


def test_limits_of_the_machine_are_read_from_the_settings(tmp_path):
    limits = "memoryMb = 170\nmaxFds = 8200\n[callers]\nmaxConnections = 7"

    async def check():
        async with host_process(tmp_path, limits=limits) as (_, _, path):
            return load_entry_settings(path).machine

    machine = run(check())
    assert machine.memory_bytes == 170_000_000
    assert machine.max_descriptors == 8200
    assert (machine.caller_bytes, machine.caller_connections) == (None, 7)
