"""Batch items whose engines fall silent, for a while or for good."""

from __future__ import annotations

import pytest

from tests.jobs.test_jobs import TEXT, make_job, submit, wait_done, with_fleet
from tests.support.entry_fleet import Fault

SOUND_SILENCE_S = 1.5  # a sound engine may send nothing for this long
DEAD_S = 600.0
# By when an item has left a dead engine and is done at another one.
LEFT_LIMIT_S = 8.0


@pytest.mark.parametrize(
    "silence",
    [
        {"head_pause_s": SOUND_SILENCE_S},
        {"pause_at": 0, "pause_s": SOUND_SILENCE_S},
        {"pause_at": 4, "pause_s": SOUND_SILENCE_S},
        {"head_pause_s": SOUND_SILENCE_S, "pause_at": 0, "pause_s": SOUND_SILENCE_S},
    ],
    ids=["head", "first event", "event", "head and first event"],
)
def test_item_runs_once_when_its_sound_engine_falls_silent(silence):
    async def check(fleet):
        fleet.engines.faults["j1-0"] = [Fault(**silence)]
        await submit(fleet, "h0", make_job(items=1))
        results = await wait_done(fleet, "h0", "j1", 1)
        assert [result.text for result in results] == [TEXT]
        assert len(fleet.engines.runs) == 1

    with_fleet(check)


def test_item_runs_once_when_its_sound_engine_queues_it_and_falls_silent():
    async def check(fleet):
        queued_s = 2.5
        head_s = queued_s + SOUND_SILENCE_S
        fleet.engines.faults["j1-0"] = [Fault(head_pause_s=head_s)]
        await submit(fleet, "h0", make_job(items=1))
        await wait_done(fleet, "h0", "j1", 1)
        assert len(fleet.engines.runs) == 1

    with_fleet(check)


@pytest.mark.parametrize(
    "silence",
    [{"head_pause_s": DEAD_S}, {"pause_at": 4, "pause_s": DEAD_S}],
    ids=["head", "event"],
)
def test_item_leaves_a_dead_engine_in_bounded_time(silence):
    async def check(fleet):
        fleet.engines.faults["j1-0"] = [Fault(**silence)]
        started_s = fleet.clock.now_s()
        await submit(fleet, "h0", make_job(items=1))
        results = await wait_done(fleet, "h0", "j1", 1)
        assert fleet.clock.now_s() - started_s < LEFT_LIMIT_S
        assert [result.text for result in results] == [TEXT]
        assert len(fleet.engines.runs) == 2

    with_fleet(check)


def test_item_leaves_an_engine_that_sends_parts_of_an_event_without_end():
    """Guards against a run whose time limit begins anew with each part."""

    async def check(fleet):
        fleet.engines.faults["j1-0"] = [Fault(trickle_at=4)]
        started_s = fleet.clock.now_s()
        await submit(fleet, "h0", make_job(items=1))
        results = await wait_done(fleet, "h0", "j1", 1)
        assert fleet.clock.now_s() - started_s < LEFT_LIMIT_S
        assert [result.text for result in results] == [TEXT]

    with_fleet(check)
