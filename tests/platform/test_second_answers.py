"""What follows a stream that has begun and broke off, over real sockets."""

from __future__ import annotations

import asyncio
import itertools

import attrs
import pytest

from tests.platform.test_answer_ends import (
    EVENTS,
    STREAM,
    TEXT,
    item_result,
    submit_item,
    with_host,
)
from tests.support.engine_scripts import Answer, End, Framing, stream_of

BEGUN = 2  # events of the first answer
REST = stream_of(EVENTS, BEGUN)
CASES_AT_ONCE = 60
STATUSES = (200, 201, 204, 301, 404, 422, 429, 500, 503)
STREAM_TYPES = ("text/event-stream", "Text/Event-Stream; charset=utf-8")
TYPES = (*STREAM_TYPES, "application/json", "text/event-streams")
BODIES = {
    "nothing": b"",
    "a message": b'{"error": "no such model"}',
    "a head": b"HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n",
    "the rest": REST,
    "all events": STREAM,
    "a part of an event": REST[:9],
}
# How the first answer ends: while the caller waits, or so that another engine
# is asked beside the silent one.
BREAKS = (End.RESET, End.SILENCE)


@attrs.frozen
class Case:
    status: int
    content_type: str
    framing: Framing
    body: str
    first_end: End

    @property
    def answer(self) -> Answer:
        return Answer(
            BODIES[self.body],
            self.framing,
            content_type=self.content_type,
            status=self.status,
        )

    @property
    def is_sound(self) -> bool:
        """Whether the second answer can be the rest of the stream."""
        streams = self.status == 200 and self.content_type in STREAM_TYPES
        return streams and self.body in ("the rest", "nothing")


def cases(first_end):
    return [
        Case(*fields, first_end)
        for fields in itertools.product(STATUSES, TYPES, Framing, BODIES)
    ]


async def play(run_case, all_cases):
    results = []
    for first in range(0, len(all_cases), CASES_AT_ONCE):
        some = all_cases[first : first + CASES_AT_ONCE]
        results += zip(some, await asyncio.gather(*map(run_case, some)), strict=True)
    return results


# Guards against a failure whose message stands in the middle of a stream, and
# against a stream that it ends as if it were complete.
@pytest.mark.parametrize("first_end", BREAKS)
def test_stream_that_has_begun_goes_on_with_nothing_but_its_events(first_end):
    async def check(host):
        async def run_case(case):
            begun = Answer(STREAM, end=first_end, sent_bytes=len(stream_of(BEGUN)))
            return await host.call("online", [begun, case.answer])

        def is_right(case, reply):
            if reply.status != 200:
                return reply.body == b"" or not reply.body.startswith(b"id:")
            if not STREAM.startswith(reply.body):
                return False
            return not reply.complete or case.is_sound

        results = await play(run_case, cases(first_end))
        wrong = [
            (case, reply[:3]) for case, reply in results if not is_right(case, reply)
        ]
        assert wrong == []
        whole = [reply for _, reply in results if reply[:3] == (200, STREAM, True)]
        assert whole

    with_host(check)


# Guards against the same in the text of a batch item that goes on elsewhere.
def test_item_that_has_begun_is_completed_by_nothing_but_its_events():
    async def check(host):
        async def run_case(case):
            begun = Answer(STREAM, end=End.RESET, sent_bytes=len(stream_of(BEGUN)))
            rests = [Answer(events=EVENTS)] * 3
            item_id = await submit_item(host, [begun, case.answer, *rests])
            async with asyncio.timeout(30.0):
                return await item_result(host, item_id)

        some = [
            case
            for case in cases(End.RESET)
            if case.status == 200 and not case.is_sound and case.body != "a head"
        ]
        results = await play(run_case, some)
        assert [(case, text) for case, text in results if text != TEXT] == []

    with_host(check)
