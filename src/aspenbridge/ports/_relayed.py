"""Protocols for requests that are relayed to an engine unchanged."""

from __future__ import annotations

from enum import Enum
from typing import TYPE_CHECKING, Protocol

import attrs

if TYPE_CHECKING:
    from ._backends import CallOutcome

FIRST_NOT_SUCCESS = 300  # the lowest status of a redirect or a failure
Headers = tuple[tuple[str, str], ...]


@attrs.frozen
class RelayedCall:
    """
    A caller's request to relay; only its remaining time is adjusted.

    ``deadline_s`` is in seconds of ``Clock.now_s``.
    """

    request_id: str
    method: str
    target: str  # path and query as the caller sent them
    host: str  # value of the Host header
    headers: Headers
    body: bytes
    deadline_s: float
    resume_after: int | None = None  # id of the last event already received


class BodyEnd(Enum):
    """
    What marks the end of an answer's body.

    ``CONNECTION``: the answer has neither a length nor chunks, and its body
    ends when the engine closes the connection.
    """

    LENGTH = "length"
    CHUNKS = "chunks"
    CONNECTION = "connection"


@attrs.frozen
class AnswerHead:
    """
    The status and headers of an engine's answer.

    ``engine_leaves`` tells that the engine will be shut down.
    """

    status: int
    headers: Headers
    streams: bool  # whether the body is declared as a stream of events
    body_end: BodyEnd
    engine_leaves: bool = False

    @property
    def brings_events(self) -> bool:
        """
        Whether the body holds the events that were asked for.

        A failure may be declared as a stream of events, too. Its body is a
        message about the failure.
        """
        return self.streams and self.status < FIRST_NOT_SUCCESS

    @property
    def needs_body(self) -> bool:
        """
        Whether the answer has broken off if its body turns out to be empty.

        The connection of an engine that crashes may end in an orderly way
        after the head of the answer.
        """
        return self.body_end is BodyEnd.CONNECTION and self.status < FIRST_NOT_SUCCESS


class RelayedAnswer(Protocol):
    """An answer whose body is still being received."""

    head: AnswerHead

    async def read(self) -> bytes:
        """
        Return the next part of the body; empty when the answer is complete.

        A call that is cancelled loses no data: the next one returns them.

        :raises AttemptError: if the answer ends before it is complete.
        """

    def close(self) -> None:
        """Close the connection; the engine stops what it still runs."""


class AttemptError(Exception):
    """
    An engine did not send a complete answer.

    ``connection_lost`` tells that the connection ended in the middle of the
    request, as it does when the engine crashes. ``engine_leaves`` tells that
    the engine refused the request and will be shut down.
    """

    def __init__(
        self,
        outcome: CallOutcome,
        reason: str,
        *,
        connection_lost: bool = False,
        engine_leaves: bool = False,
    ) -> None:
        super().__init__(reason)
        self.outcome = outcome
        self.reason = reason
        self.connection_lost = connection_lost
        self.engine_leaves = engine_leaves


class EngineCaller(Protocol):
    """Sends relayed requests to engines."""

    async def open(
        self, engine_id: str, address: str, call: RelayedCall, answer_deadline_s: float
    ) -> RelayedAnswer:
        """
        Send a request and wait for the head of its answer.

        :param answer_deadline_s: when to stop waiting for the head, in seconds
            of ``Clock.now_s``.
        :raises AttemptError: if there is no head by the deadline; its outcome
            tells whether the engine may have run the request.
        """
