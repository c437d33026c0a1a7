"""Answers that only the end of their connection tells to be whole."""

from __future__ import annotations

from collections import deque
from typing import TYPE_CHECKING

import attrs

if TYPE_CHECKING:
    from collections.abc import Callable

    from aspenbridge.fleet import EngineEntry

    from ._subjects import RunSubjects

MAX_ENDS = 64
# An engine that crashes ends all its connections within this time.
SAME_END_S = 0.3
# A crash is shown by connections that the engine refuses so soon after it.
REFUSAL_S = 2.0
# An engine that answers in this time after an end has not crashed there: later
# than what was on its way, and before it could have started again.
ALIVE_S = (0.2, 1.0)


@attrs.frozen
class OrderlyEnd:
    """The end of an answer, and of its connection."""

    subjects: RunSubjects
    engine: EngineEntry
    at_s: float


class OrderlyEnds:
    """
    The last such answers, until it is clear whether their engine crashed.

    An engine that crashes while it writes on a part of a prompt may look as if
    it had come to the end of its answer.
    """

    def __init__(self) -> None:
        self._ends: deque[OrderlyEnd] = deque(maxlen=MAX_ENDS)

    def __len__(self) -> int:
        return len(self._ends)

    def add(self, subjects: RunSubjects, engine: EngineEntry, at_s: float) -> None:
        """Keep the end of an answer; the oldest one makes room."""
        self._ends.append(OrderlyEnd(subjects, engine, at_s))

    def take_lost(self, engine: EngineEntry, now_s: float) -> list[OrderlyEnd]:
        """Take the ends that came with a lost connection to their engine."""
        return self._take(
            lambda end: end.engine.id == engine.id and now_s - end.at_s <= SAME_END_S
        )

    def take_unreachable(self, engine_id: str, now_s: float) -> list[OrderlyEnd]:
        """Take the ends after which their engine refuses connections."""
        return self._take(
            lambda end: end.engine.id == engine_id and now_s - end.at_s <= REFUSAL_S
        )

    def take_alive(self, engine: EngineEntry, now_s: float) -> list[OrderlyEnd]:
        """Take the ends that an engine outlived, since it answers now."""
        from_s, until_s = ALIVE_S
        return self._take(
            lambda end: (
                end.engine.id == engine.id
                and end.engine.started_ms == engine.started_ms
                and from_s <= now_s - end.at_s <= until_s
            )
        )

    def expire(self, now_s: float) -> None:
        """Drop the ends of which nothing more will be learnt."""
        self._take(lambda end: now_s - end.at_s > REFUSAL_S)

    def _take(self, matches: Callable[[OrderlyEnd], bool]) -> list[OrderlyEnd]:
        taken = [end for end in self._ends if matches(end)]
        if taken:
            rest = [end for end in self._ends if end not in taken]
            self._ends = deque(rest, maxlen=MAX_ENDS)
        return taken
