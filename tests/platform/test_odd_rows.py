"""A host as a process whose store has rows that can't be read."""

from __future__ import annotations

import asyncio
import json

import aiohttp
import attrs
import msgspec
import pytest

from aspenbridge.fleet import HostRecord
from aspenbridge.jobs._records import AdmissionRecord, JobHead, JobState
from aspenbridge.store._records import TOKEN_BYTES
from tests.platform.test_process import (
    HOST_IP,
    ROUTE,
    host_process,
    run_on_loop,
    send_request,
    wait_status,
)
from tests.support.platform_standins import configuration, engine_row

DEPTH = 4096  # more than a parser of JSON follows
DIGITS = "9" * 400  # a number that no float holds
READ_S = 1.0  # a change of a row is read within it
SOUND_ENGINE = json.dumps(engine_row("127.0.0.1:9"))
SOUND_CONFIGURATION = json.dumps(configuration(4, [ROUTE]))


def with_field(row: str, name: str, value: str) -> str:
    """Return a row of JSON text with one more field."""
    return f'{row[:-1]}, "{name}": {value}}}'


def nested(begin: str, end: str) -> str:
    return begin * DEPTH + "1" + end * DEPTH


def odd_values(row: str, number_field: str) -> dict[str, str | bytes]:
    """Return values by name that are no sound row of this kind."""
    return {
        "open brackets": "[" * DEPTH,
        "nested lists": nested("[", "]"),
        "nested objects": nested('{"a":', "}"),
        "nested field": with_field(row, "more", nested("[", "]")),
        "huge number": with_field(row, number_field, DIGITS),
        "huge exponent": with_field(row, number_field, "1e400"),
        "text for a list": json.dumps("x" * 60_000),
        "bytes": b"\xff\x00" * 100,
        "nothing": b"",
    }


ENGINE_VALUES = odd_values(SOUND_ENGINE, "coldLeftMs")
CONFIGURATION_VALUES = odd_values(SOUND_CONFIGURATION, "version")


TOKEN = b"t" * TOKEN_BYTES  # precedes the record in a row of a host
OWN_HOST = HostRecord("other", "other-1", "127.0.0.1", 9, "a-1", 1)
OWN_HEAD = JobHead("odd-0", "a.example", "other-1", JobState.OPEN, 2, 1.0, 2.0, 3.0)


def odd_records(record: object) -> list[bytes]:
    """Return values that are no record of this class, or of a bad one."""
    whole = msgspec.json.encode(record).decode()
    values = [*odd_values(whole, "more").values(), "[]", "{}", "null"]
    fields = json.loads(whole)
    for name, value in fields.items():
        changed = [value] if isinstance(value, str) else str(value)
        values.append(json.dumps(fields | {name: changed}))
    return [v if isinstance(v, bytes) else TOKEN + v.encode() for v in values]


def own_rows() -> list[tuple[str, str, str, bytes]]:
    """Return table, part, key and value of rows that hosts write."""
    rows = [
        (table, part, f"odd-{number}", value)
        for table, part, record in (
            ("hosts", "p1", OWN_HOST),
            ("job_heads", "p1", OWN_HEAD),
            ("job_heads", "", AdmissionRecord(())),
        )
        for number, value in enumerate(odd_records(record))
    ]
    for number, (old, new) in enumerate([(b"127.0.0.1", b"nowhere"), (b":9,", b":0,")]):
        host = msgspec.json.encode(attrs.evolve(OWN_HOST, host=f"bad-{number}"))
        rows.append(("hosts", "p2", f"bad-{number}", TOKEN + host.replace(old, new)))
    keys = ("odd", "odd/x", "odd/trial/x", "odd/trial/1", "odd/1/2", "odd/1/2/i-1")
    rows += [("crashes", "", key, TOKEN + b"[[") for key in keys]
    return rows


async def serves(session, ports) -> bool:
    async with send_request(session, ports) as response:
        body = await response.read()
        return response.status == 200 and body.count(b"data: w") == 20


# Guards against rows of other writers that end every host which reads them.
@pytest.mark.parametrize("at_the_start", [True, False])
def test_host_goes_on_beside_rows_that_can_not_be_read(tmp_path, at_the_start):
    stores = []

    def write_odd_rows() -> None:
        for number, value in enumerate(ENGINE_VALUES.values()):
            stores[0].write_value("servers", f"odd-{number}", value)

    def fill_store(store) -> None:
        stores.append(store)
        if at_the_start:
            write_odd_rows()

    async def check():
        async with (
            host_process(tmp_path, fill_store=fill_store) as (process, ports, _),
            aiohttp.ClientSession() as session,
        ):
            reading = asyncio.create_task(process.stdout.read())
            await wait_status(session, f"http://{HOST_IP}:{ports[1]}/readyz", 200)
            if not at_the_start:
                write_odd_rows()
            for value in CONFIGURATION_VALUES.values():
                stores[0].write_value("op", "config", value)
            await asyncio.sleep(READ_S)
            assert await serves(session, ports)
            assert process.returncode is None
            # What is changed later is still followed.
            moved = ROUTE | {"prefix": "/moved/"}
            stores[0].write("op", "config", configuration(9, [moved]))
            await asyncio.sleep(READ_S)
            async with send_request(session, ports, "/moved/x") as response:
                assert response.status == 200
            process.kill()
            return (await reading).decode()

    output = run_on_loop(check())
    skipped = [line for line in output.splitlines() if "engine row is skipped" in line]
    assert len(skipped) >= len(ENGINE_VALUES)


# Guards against entries that are taken for engines, which get a share of the
# requests although nothing can be sent to them.
def test_no_request_fails_beside_entries_that_name_no_engine(tmp_path):
    addresses = ("127.0.0.1:65536", "127.0.0.1:-1", "127.0.0.256:80", "a\nb:80", "0:80")

    def fill_store(store) -> None:
        for number, address in enumerate(addresses):
            row = engine_row(address)
            store.write("servers", f"odd-{number}", row)
        store.write("servers", "odd\nid", engine_row("127.0.0.1:9"))
        store.write(
            "servers", "odd-slots", engine_row("127.0.0.1:9") | {"slots": 10**9}
        )

    async def check():
        async with (
            host_process(tmp_path, fill_store=fill_store) as (process, ports, _),
            aiohttp.ClientSession() as session,
        ):
            reading = asyncio.create_task(process.stdout.read())
            await wait_status(session, f"http://{HOST_IP}:{ports[1]}/readyz", 200)
            served = 0
            for _ in range(5):
                served += sum(
                    await asyncio.gather(*(serves(session, ports) for _ in range(6)))
                )
            process.kill()
            await reading
            return served

    assert run_on_loop(check()) == 30


# Guards against rows in the tables of hosts that end every host which reads
# them, as rows of another build would.
@pytest.mark.parametrize("at_the_start", [True, False])
def test_host_goes_on_beside_odd_rows_in_the_tables_of_hosts(tmp_path, at_the_start):
    stores = []

    def write_odd_rows() -> None:
        for table, part, key, value in own_rows():
            stores[0].write_value(table, key, value, part)
        if not at_the_start:
            stores[0].write_value("crashes", "odd/x", None)

    def fill_store(store) -> None:
        stores.append(store)
        if at_the_start:
            write_odd_rows()

    async def check():
        async with (
            host_process(tmp_path, fill_store=fill_store) as (process, ports, _),
            aiohttp.ClientSession() as session,
        ):
            reading = asyncio.create_task(process.stdout.read())
            await wait_status(session, f"http://{HOST_IP}:{ports[1]}/readyz", 200)
            await asyncio.sleep(READ_S)
            if not at_the_start:
                write_odd_rows()
            await asyncio.sleep(READ_S)
            assert await serves(session, ports)
            assert process.returncode is None
            process.kill()
            return (await reading).decode()

    output = run_on_loop(check())
    assert "ended unexpectedly" not in output
    assert output.count("is skipped") > 30
