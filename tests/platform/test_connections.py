"""How client sessions see the end of a connection."""

from __future__ import annotations

import asyncio

import aiohttp
import pytest

from aspenbridge.backends import open_session
from aspenbridge.loop import NumericAddressLoop
from aspenbridge.platform._connections import open_engine_session, open_store_session
from tests.support.engine_scripts import Answer, End, Framing, ScriptedEngine

SESSIONS = [open_engine_session, open_store_session, open_session]


def read_body(open_client_session, end):
    async def main():
        async with ScriptedEngine() as engine, open_client_session() as session:
            engine.scripts["r1"] = [Answer(b"body", Framing.NONE, end)]
            url = f"http://127.0.0.1:{engine.port}/"
            headers = {"X-Aspenbridge-Attempt-Id": "r1"}
            async with session.get(url, headers=headers) as response:
                return await response.read()

    with asyncio.Runner(loop_factory=NumericAddressLoop) as runner:
        return runner.run(main())


@pytest.mark.parametrize("open_client_session", SESSIONS)
@pytest.mark.parametrize("end", [End.RESET, End.RESET_BEHIND_DATA])
def test_body_without_a_length_is_broken_off_by_a_reset(open_client_session, end):
    with pytest.raises(aiohttp.ClientPayloadError):
        read_body(open_client_session, end)


@pytest.mark.parametrize("open_client_session", SESSIONS)
def test_body_without_a_length_is_whole_after_an_orderly_close(open_client_session):
    assert read_body(open_client_session, End.CLOSE) == b"body"
