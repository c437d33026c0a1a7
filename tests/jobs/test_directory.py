"""A host's copy of the heads of all batch jobs."""

from __future__ import annotations

import attrs

from aspenbridge.jobs import JobDirectory
from aspenbridge.jobs._records import JobHead, JobState, head_key
from aspenbridge.ports import Row, RowChange
from aspenbridge.store import Stored, encode_record

HEAD = JobHead("j1", "a.example", "h1-0", JobState.OPEN, 1, 0.0, 9.0, 99.0)
KEY = head_key("j1")


def value(state=JobState.OPEN) -> bytes:
    return encode_record(attrs.evolve(HEAD, state=state), bytes(16))


def test_open_heads_are_those_of_the_jobs_that_are_not_over():
    directory = JobDirectory()
    lists = []
    for change in (
        lambda: directory.replace((Row(KEY, value(), 1),)),
        lambda: directory.apply_change(RowChange(KEY, value(JobState.ENDED), 2)),
        lambda: directory.apply_head(Stored(KEY, HEAD, 3)),
        lambda: directory.apply_change(RowChange(KEY, None, 4)),
        lambda: directory.apply_head(Stored(KEY, HEAD, 5)),
        lambda: directory.replace(()),
    ):
        change()
        lists.append([stored.version for stored in directory.open_heads()])
    assert lists == [[1], [], [3], [], [5], []]
