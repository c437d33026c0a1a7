from __future__ import annotations

import pytest
from hypothesis import given
from hypothesis import strategies as st

from aspenbridge.relay import EventError, EventSplitter

STREAM = b"".join(f"id: {n}\ndata: word {n}\n\n".encode() for n in range(6))


@given(st.lists(st.integers(1, 30), max_size=20))
def test_events_are_the_same_however_the_bytes_are_split(sizes):
    splitter, events, rest = EventSplitter(), [], STREAM
    for size in [*sizes, len(STREAM)]:
        chunk, rest = rest[:size], rest[size:]
        events += splitter.feed(chunk)
    assert [event.id for event in events] == list(range(6))
    assert b"".join(event.raw for event in events) == STREAM
    assert not splitter.pending


def test_unfinished_event_is_pending_and_dropped_on_restart():
    splitter = EventSplitter()
    assert splitter.feed(b"id: 0\nda") == []
    assert splitter.pending
    splitter.restart()
    assert [e.data for e in splitter.feed(b"id: 0\ndata: a\n\n")] == ["a"]


@pytest.mark.parametrize(
    "chunk",
    [
        b"id: 3\ndata: x\n\n",
        b"id: 5\ndata: x\n\n",
        b"data: x\n\n",
        b"id: x\ndata: x\n\n",
        b"\xff\xfe\n\n",
    ],
)
def test_event_that_does_not_follow_the_last_is_an_error(chunk):
    with pytest.raises(EventError):
        EventSplitter(last_id=3).feed(chunk)


def test_data_lines_are_joined_and_other_lines_skipped():
    block = b"x-weights: 7\nid: 1\ndata: a\ndata: b\n\n"
    assert EventSplitter().feed(block)[0].data == "a\nb"
