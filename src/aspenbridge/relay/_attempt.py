"""One send of a request to an engine."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

from aspenbridge.quarantine import EventArrivals

if TYPE_CHECKING:
    import asyncio

    from aspenbridge.fleet import EngineEntry, LoadView
    from aspenbridge.ports import AnswerHead, AttemptError, RelayedAnswer


@attrs.define(eq=False)
class Attempt:
    """
    A request at an engine; counts in the load of this host until closed.

    ``opening`` sends the request and ends with the head of the answer, or with
    an ``AttemptError``. ``found_load`` holds the online requests and batch
    items on the engine just before.
    """

    engine: EngineEntry
    opening: asyncio.Task[RelayedAnswer]
    found_load: tuple[int, int]
    _load_view: LoadView
    asked_again: bool = False  # whether its engine was silent on it before
    arrivals: EventArrivals = attrs.field(factory=EventArrivals)
    may_be_left: bool = True  # while its engine is silent, for another one
    _closed: bool = False

    def __attrs_post_init__(self) -> None:
        self._load_view.add(self.engine.id, online=1)

    @property
    def answer(self) -> RelayedAnswer:
        """The answer whose head has arrived."""
        return self.opening.result()

    @property
    def head(self) -> AnswerHead | None:
        """The head of the answer, if it has arrived."""
        opening = self.opening
        arrived = opening.done() and not opening.cancelled() and not opening.exception()
        return self.answer.head if arrived else None

    def close(self) -> None:
        """Close the connection; the engine stops what it still runs."""
        if self._closed:
            return
        self._closed = True
        self._load_view.add(self.engine.id, online=-1)
        if not self.opening.done():
            self.opening.cancel()
        elif self.head is not None:
            self.answer.close()


class HandedOverError(Exception):
    """
    Another engine serves the request from now on.

    ``reason`` tells what the engine before it did.
    """

    def __init__(self, successor: Attempt, reason: AttemptError) -> None:
        super().__init__(f"handed over to {successor.engine.id}")
        self.successor = successor
        self.reason = reason
