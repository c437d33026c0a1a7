"""Answers of engines that leave, over real sockets."""

from __future__ import annotations

import asyncio

import pytest

from aspenbridge.loop import NumericAddressLoop
from tests.support.engine_scripts import Answer, End, Framing
from tests.support.scripted_host import ENGINES, HostUnderTest

LEAVING = ("Server-Leaving: 1",)
REFUSED = ("Server-Leaving: 1", "X-Aspenbridge-Not-Executed: 1")
EVENTS = 4


def with_host(check):
    async def main():
        async with HostUnderTest() as under_test:
            return await check(under_test)

    with asyncio.Runner(loop_factory=NumericAddressLoop) as runner:
        return runner.run(main())


def leaving_answer(**changes):
    return Answer(**({"events": EVENTS, "headers": LEAVING} | changes))


@pytest.mark.parametrize(
    ("status", "answer"),
    [
        (200, leaving_answer()),
        (200, leaving_answer(framing=Framing.NONE)),
        (500, leaving_answer(status=500, body=b"failed", content_type="text/plain")),
        (200, leaving_answer(sent_bytes=0, end=End.RESET)),
        (503, leaving_answer(status=503, headers=REFUSED, body=b"", events=0)),
    ],
)
def test_host_sends_nothing_to_engines_that_said_in_an_answer_that_they_leave(
    status, answer
):
    async def check(host):
        for _ in range(ENGINES):
            reply = await host.call("once", [answer])
        assert reply.status in (status, 502)
        await asyncio.sleep(0.5)  # longer than an engine is paused after a refusal
        for path in ("once", "online"):
            reply = await host.call(path, [Answer(events=EVENTS)])
            assert reply.status == 503
            assert "Retry-After" in reply.headers
        assert len(host.engine.resumed_after) == ENGINES

    with_host(check)


def test_answer_that_says_that_its_engine_leaves_reaches_the_caller():
    async def check(host):
        reply = await host.call("once", [leaving_answer()])
        assert (reply.status, reply.complete) == (200, True)
        assert reply.headers["Server-Leaving"] == "1"

    with_host(check)
