"""Pauses work for engines that are unreachable or refuse requests."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

from aspenbridge.observability import log_decision

if TYPE_CHECKING:
    from aspenbridge.ports import Clock

FIRST_PAUSE_S = 0.4  # about one connect timeout
MAX_PAUSE_S = 3.0  # a crashed engine is back after a few seconds
FULL_PAUSE_S = 0.1  # a few engine steps; a slot may be free again
RETRY_PAUSE_S = FIRST_PAUSE_S  # by then the connection is made or has failed


@attrs.frozen
class _Pause:
    """
    The time in which an engine gets no requests.

    ``length_s`` is 0 for an engine that can be reached. ``retried`` tells that
    a request is on its way that was sent after an earlier pause.
    """

    until_s: float
    length_s: float
    retried: bool = False


class EngineHealth:
    """
    Pauses an engine after a failed request.

    The pause of an unreachable engine doubles if a request that is sent after
    the pause fails, too. Failures of those sent before it count once.
    The pause of an engine that refused a request is short and always the same.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._pauses: dict[str, _Pause] = {}

    def is_paused(self, engine_id: str) -> bool:
        """Whether an engine must not get requests now."""
        pause = self._pauses.get(engine_id)
        return pause is not None and self._clock.now_s() < pause.until_s

    def paused(self) -> set[str]:
        """Return the ids of the engines that must not get requests now."""
        return {engine_id for engine_id in self._pauses if self.is_paused(engine_id)}

    def unreachable(self) -> frozenset[str]:
        """
        Return the ids of the engines that accepted no connection of late.

        The end of its pause does not make an engine reachable, only an answer.
        """
        return frozenset(
            engine_id for engine_id, pause in self._pauses.items() if pause.length_s
        )

    def record_unreachable(self, engine_id: str) -> None:
        """Record that a request could not be sent."""
        previous = self._pauses.get(engine_id)
        length_s = FIRST_PAUSE_S
        if previous is not None:
            if previous.length_s and self.is_paused(engine_id) and not previous.retried:
                return  # it was sent before the pause
            length_s = min(max(previous.length_s, FIRST_PAUSE_S / 2) * 2, MAX_PAUSE_S)
        self._pauses[engine_id] = _Pause(self._clock.now_s() + length_s, length_s)
        if previous is None or not previous.length_s:
            log_decision("engine can't be reached", engine=engine_id)

    def record_retry(self, engine_id: str) -> None:
        """Record that one request tries an engine that was unreachable."""
        previous = self._pauses.get(engine_id)
        if previous is not None and previous.length_s:
            self._pauses[engine_id] = _Pause(
                self._clock.now_s() + RETRY_PAUSE_S, previous.length_s, retried=True
            )

    def record_refusal(self, engine_id: str) -> None:
        """
        Record that an engine refused a request.

        Starts a short pause unless the engine is paused already.
        """
        pause = self._pauses.get(engine_id)
        if not self.is_paused(engine_id) or (pause and pause.retried):
            until_s = self._clock.now_s() + FULL_PAUSE_S
            self._pauses[engine_id] = _Pause(until_s, 0.0)

    def record_answer(self, engine_id: str) -> None:
        """Record that an engine answered; end its pause."""
        previous = self._pauses.pop(engine_id, None)
        if previous is not None and previous.length_s:
            log_decision("engine is reached again", engine=engine_id)

    def keep_only(self, engine_ids: frozenset[str]) -> None:
        """Drop the pauses of engines that are no longer registered."""
        for engine_id in [name for name in self._pauses if name not in engine_ids]:
            del self._pauses[engine_id]
