"""Takes engines out of use that will be shut down."""

from __future__ import annotations

from typing import TYPE_CHECKING

from aspenbridge.observability import log_decision
from aspenbridge.ports import AttemptError

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    from aspenbridge.fleet import EngineDirectory, EngineEntry
    from aspenbridge.ports import EngineCaller, RelayedAnswer, RelayedCall


class LeavingEngines:
    """
    Marks engines in the directory that say in an answer that they leave.

    Is the ``EngineCaller`` of online requests and batch items, so that a mark
    is set before an answer's body is read. Other hosts report their marks.
    """

    def __init__(self, engine_caller: EngineCaller, directory: EngineDirectory) -> None:
        self._engine_caller = engine_caller
        self._directory = directory
        self.on_news: Callable[[], None] = lambda: None

    async def open(
        self, engine_id: str, address: str, call: RelayedCall, answer_deadline_s: float
    ) -> RelayedAnswer:
        """
        Send a request and wait for the head of its answer.

        :raises AttemptError: as ``EngineCaller.open`` does.
        """
        engine = self._directory.get(engine_id)
        try:
            answer = await self._engine_caller.open(
                engine_id, address, call, answer_deadline_s
            )
        except AttemptError as error:
            if error.engine_leaves:
                self._apply_answer(engine_id, engine)
            raise
        if answer.head.engine_leaves:
            self._apply_answer(engine_id, engine)
        return answer

    def apply_report(self, engines: Iterable[tuple[str, int]]) -> None:
        """
        Apply what another host knows.

        :param engines: ids of engines and the starts, in milliseconds of Unix
            time, to which the marks apply.
        """
        for engine_id, started_ms in engines:
            self._mark(engine_id, started_ms, "host")

    def _apply_answer(self, engine_id: str, sent_to: EngineEntry | None) -> None:
        engine = self._directory.get(engine_id) or sent_to
        if engine is None:
            return  # it is not used while it has no entry
        if self._mark(engine_id, engine.started_ms, "answer"):
            self.on_news()

    def _mark(self, engine_id: str, started_ms: int, told_by: str) -> bool:
        marked = self._directory.mark_leaving(engine_id, started_ms)
        if marked:
            log_decision(
                "engine says it leaves",
                engine=engine_id,
                started_ms=started_ms,
                told_by=told_by,
            )
        return marked
