"""Tells when the event loop of a host runs late."""

from __future__ import annotations

from typing import TYPE_CHECKING

from ._lines import log_decision
from ._metrics import LOOP_LATENESS_S

if TYPE_CHECKING:
    from aspenbridge.ports import Clock

LOOK_INTERVAL_S = 0.25
LATE_S = 0.25  # a few passes of the loop under load take less


async def watch_lateness(clock: Clock) -> None:
    """
    Measure how late the event loop wakes a task until cancelled.

    A host that runs late handles news, signals and limits of time as late.
    """
    while True:
        due_s = clock.now_s() + LOOK_INTERVAL_S
        await clock.sleep_until(due_s)
        late_s = max(0.0, clock.now_s() - due_s)
        LOOP_LATENESS_S.observe(late_s)
        if late_s > LATE_S:
            log_decision("event loop late", late_ms=round(late_s * 1000))
