"""Clients of the platform's services against scripted replies."""

from __future__ import annotations

import asyncio

import pytest

from aspenbridge.backends import HttpHostList, HttpTable, open_session
from aspenbridge.loop import NumericAddressLoop
from aspenbridge.ports import RowKey, Transaction, Unavailable
from tests.support.engine_scripts import Answer, Framing, ScriptedEngine

TIMEOUT_S = 2.0


@pytest.mark.parametrize(
    ("client_class", "call"),
    [
        (HttpTable, lambda c: c.transact(Transaction((), (), ()))),
        (HttpTable, lambda c: c.read([RowKey("t", "k")])),
        (HttpTable, lambda c: c.scan("t", "k")),
        (HttpHostList, lambda c: c.hosts()),
    ],
)
@pytest.mark.parametrize("status", [200, 409])
def test_reply_that_is_cut_off_counts_as_none(client_class, call, status):
    async def main():
        async with ScriptedEngine() as script, open_session() as session:
            script.scripts[""] = [
                Answer(b'[{"key": 1}]', Framing.NONE, sent_bytes=5, status=status)
            ]
            client = client_class(session, f"127.0.0.1:{script.port}", TIMEOUT_S)
            return await call(client)

    with asyncio.Runner(loop_factory=NumericAddressLoop) as runner:
        error = runner.run(main()).failure()
    assert isinstance(error, Unavailable)
    assert error.maybe_applied
