from __future__ import annotations

import asyncio
import logging

import pytest

from aspenbridge.observability import watch_lateness
from aspenbridge.observability._lateness import LOOK_INTERVAL_S


class LateClock:
    """Wakes each sleeper later than asked, by the next of some times."""

    def __init__(self, late_s):
        self._time_s = 0.0
        self._late_s = list(late_s)

    def now_s(self):
        return self._time_s

    async def sleep_until(self, deadline_s):
        if not self._late_s:
            raise asyncio.CancelledError
        self._time_s = deadline_s + self._late_s.pop(0)


def test_lateness_of_the_loop_is_logged_beyond_a_few_passes(caplog):
    caplog.set_level(logging.INFO)
    clock = LateClock([0.0, 0.1, 1.5, 0.0])
    with pytest.raises(asyncio.CancelledError):
        asyncio.run(watch_lateness(clock))
    lines = [record.decision for record in caplog.records]
    assert lines == [{"late_ms": 1500}]
    assert clock.now_s() == 4 * LOOK_INTERVAL_S + 1.6
