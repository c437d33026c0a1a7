"""A host as a process whose store has rows that can't be read."""

from __future__ import annotations

import asyncio
import json

import aiohttp
import pytest

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


async def serves(session, ports) -> bool:
    async with send_request(session, ports) as response:
        return response.status == 200


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
