"""Reads the answers of engines, with time limits and as whole events."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from aspenbridge.ports import AttemptError, CallOutcome

from ._events import EventError

if TYPE_CHECKING:
    from collections.abc import AsyncIterator, Callable

    from aspenbridge.ports import AnswerHead, RelayedAnswer

    from ._events import EventSplitter, StreamEvent

# Each request holds the whole body until it is sent to the caller.
MAX_WHOLE_BODY_BYTES = 2 * 1024 * 1024


async def read_chunks(
    answer: RelayedAnswer, gap_limit_s: Callable[[], float]
) -> AsyncIterator[bytes]:
    """
    Yield the chunks of an answer's body as they arrive.

    :param gap_limit_s: returns how long the next chunk may take.
    :raises AttemptError: when the answer breaks off, or a chunk takes longer.
    """
    while True:
        try:
            async with asyncio.timeout(gap_limit_s()):
                chunk = await answer.read()
        except TimeoutError as error:
            raise AttemptError(
                CallOutcome.BROKEN, "engine sent no data in time"
            ) from error
        if not chunk:
            return
        yield chunk


class EmptyAnswerError(AttemptError):
    """An answer ended before its body began, and may have broken off."""

    def __init__(self) -> None:
        super().__init__(
            CallOutcome.BROKEN,
            "connection ended before the body of the answer",
            connection_lost=True,
        )


async def read_events(
    head: AnswerHead, chunks: AsyncIterator[bytes], splitter: EventSplitter
) -> AsyncIterator[list[StreamEvent]]:
    """
    Yield lists of the events that arrived together.

    :raises AttemptError: when an event can't be parsed or is out of order, or
        the last one is incomplete.
    :raises EmptyAnswerError: when there is no event, and nothing but the end
        of the connection tells that there is none.
    """
    empty = True
    async for chunk in chunks:
        try:
            events = splitter.feed(chunk)
        except EventError as error:
            raise AttemptError(CallOutcome.BROKEN, str(error)) from error
        if events:
            empty = False
            yield events
    if splitter.pending:
        raise AttemptError(
            CallOutcome.BROKEN,
            "stream ended in the middle of an event",
            connection_lost=True,
        )
    if empty and head.needs_body:
        raise EmptyAnswerError


async def read_whole(head: AnswerHead, chunks: AsyncIterator[bytes]) -> bytes:
    """
    Return the body of an answer that is not a stream.

    :raises AttemptError: when the answer breaks off, or has more than
        ``MAX_WHOLE_BODY_BYTES``.
    :raises EmptyAnswerError: when the body is empty, and nothing but the end
        of the connection tells so.
    """
    body = bytearray()
    async for chunk in chunks:
        body += chunk
        if len(body) > MAX_WHOLE_BODY_BYTES:
            reason = f"body has more than {MAX_WHOLE_BODY_BYTES} bytes"
            raise AttemptError(CallOutcome.BROKEN, reason)
    if not body and head.needs_body:
        raise EmptyAnswerError
    return bytes(body)
