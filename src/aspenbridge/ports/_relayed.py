"""Requests that an engine gets as their caller made them."""

from __future__ import annotations

from typing import TYPE_CHECKING, Protocol

import attrs

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

    from ._backends import CallOutcome

Headers = tuple[tuple[str, str], ...]


@attrs.frozen
class RelayedCall:
    """A request on its way to an engine, unchanged but for its deadline."""

    request_id: str
    method: str
    target: str  # path and query as the caller wrote them
    host: str
    headers: Headers
    body: bytes
    deadline_s: float
    resume_after: int | None = None  # the last event that need not come again


@attrs.frozen
class AnswerHead:
    """Status and headers of an engine's answer."""

    status: int
    headers: Headers
    streams: bool  # the body is a series of events


class RelayedAnswer(Protocol):
    """An answer that is still coming in."""

    head: AnswerHead

    def body(self) -> AsyncIterator[bytes]:
        """
        Yield the body as it comes; its normal end is the answer's end.

        :raises AttemptError: when the answer breaks off.
        """

    def close(self) -> None:
        """End the connection; the engine drops what it still runs."""


class AttemptError(Exception):
    """An engine did not give a whole answer."""

    def __init__(self, outcome: CallOutcome, reason: str) -> None:
        super().__init__(reason)
        self.outcome = outcome
        self.reason = reason


class EngineCaller(Protocol):
    """Sends requests to engines."""

    async def open(
        self, engine_id: str, address: str, call: RelayedCall, answer_deadline_s: float
    ) -> RelayedAnswer:
        """
        Send a request and wait for the head of its answer.

        :param answer_deadline_s: when to give up the wait.
        :raises AttemptError: telling how much the engine may have done.
        """
