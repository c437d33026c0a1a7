"""Whole answers that came too fast to show that their engine lived on."""

from __future__ import annotations

from collections import deque
from typing import TYPE_CHECKING

import attrs

from ._ledger import ALIVE_S

if TYPE_CHECKING:
    from collections.abc import Callable

    from aspenbridge.fleet import EngineEntry

    from ._subjects import RunSubjects

MAX_ANSWERS = 256
# An engine that crashes ends all its connections within this time.
SAME_END_S = 0.3
# A crash is shown by connections that the engine refuses so soon after it;
# later ones may be due to another crash.
REFUSAL_S = 1.0


@attrs.frozen
class ShortAnswer:
    """An answer that has ended at ``at_s``, in monotonic seconds."""

    subjects: RunSubjects
    engine: EngineEntry
    at_s: float


class ShortAnswers:
    """
    The last such answers, until it is clear whether their engine crashed.

    An engine may crash right after it wrote a short answer on a part that
    crashes it. Where only the end of its connection marks the end of an
    answer, it may crash in the middle of one that looks whole.
    """

    def __init__(self) -> None:
        self._answers: deque[ShortAnswer] = deque(maxlen=MAX_ANSWERS)

    def add(self, subjects: RunSubjects, engine: EngineEntry, at_s: float) -> None:
        """Keep an answer; the oldest one makes room."""
        self._answers.append(ShortAnswer(subjects, engine, at_s))

    def take_lost(self, engine: EngineEntry, now_s: float) -> list[ShortAnswer]:
        """Take those that ended as a connection to their engine was lost."""
        return self._take(engine, lambda age_s: age_s <= SAME_END_S, now_s)

    def take_unreachable(self, engine: EngineEntry, now_s: float) -> list[ShortAnswer]:
        """Take those after which their engine refuses connections."""
        return self._take(engine, lambda age_s: age_s <= REFUSAL_S, now_s)

    def take_alive(self, engine: EngineEntry, now_s: float) -> list[ShortAnswer]:
        """Take those that an engine outlived, since it answers now."""
        from_s, until_s = ALIVE_S
        return self._take(engine, lambda age_s: from_s <= age_s <= until_s, now_s)

    def take_before(self, until_s: float) -> list[ShortAnswer]:
        """Take those of which the list of engines tells what they were."""
        taken = []
        while self._answers and self._answers[0].at_s < until_s:
            taken.append(self._answers.popleft())
        return taken

    def _take(
        self, engine: EngineEntry, matches: Callable[[float], bool], now_s: float
    ) -> list[ShortAnswer]:
        taken = [
            answer
            for answer in self._answers
            if (answer.engine.id, answer.engine.started_ms)
            == (engine.id, engine.started_ms)
            and matches(now_s - answer.at_s)
        ]
        for answer in taken:
            self._answers.remove(answer)
        return taken
