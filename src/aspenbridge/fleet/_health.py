"""Keeps work away from engines that can't be reached or turn it away."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

if TYPE_CHECKING:
    from aspenbridge.ports import Clock

FIRST_PAUSE_S = 0.4  # about one connect limit
LONGEST_PAUSE_S = 3.0  # an engine that crashed is back after some seconds
FULL_PAUSE_S = 0.1  # a few steps of an engine; a place may be free again


@attrs.frozen
class _Pause:
    until_s: float
    length_s: float


class EngineHealth:
    """Pauses after failures, longer with each failure in a row."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._pauses: dict[str, _Pause] = {}

    def paused(self, engine_id: str) -> bool:
        """Whether an engine is to be left alone for now."""
        pause = self._pauses.get(engine_id)
        return pause is not None and self._clock.now_s() < pause.until_s

    def unreachable(self, engine_id: str) -> None:
        """Note that no connection was made, or that one fell silent."""
        last = self._pauses.get(engine_id)
        length_s = FIRST_PAUSE_S
        if last is not None:
            length_s = min(max(last.length_s, FIRST_PAUSE_S / 2) * 2, LONGEST_PAUSE_S)
        self._pauses[engine_id] = _Pause(self._clock.now_s() + length_s, length_s)

    def full(self, engine_id: str) -> None:
        """Note that an engine turned a request away."""
        if not self.paused(engine_id):
            until_s = self._clock.now_s() + FULL_PAUSE_S
            self._pauses[engine_id] = _Pause(until_s, 0.0)

    def answered(self, engine_id: str) -> None:
        """Note that an engine serves."""
        self._pauses.pop(engine_id, None)

    def keep_only(self, engine_ids: frozenset[str]) -> None:
        """Forget engines that are no longer registered."""
        for engine_id in [known for known in self._pauses if known not in engine_ids]:
            del self._pauses[engine_id]
