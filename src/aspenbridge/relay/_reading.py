"""Reads the answers of engines, with time limits and as whole events."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from aspenbridge.ports import AttemptError, CallOutcome

from ._events import EventError

if TYPE_CHECKING:
    from collections.abc import AsyncIterator, Callable

    from aspenbridge.limits import HeldMemory
    from aspenbridge.ports import AnswerHead, RelayedAnswer

    from ._events import EventSplitter, StreamEvent

# Each request holds the whole body until it is sent to the caller.
MAX_WHOLE_BODY_BYTES = 2 * 1024 * 1024


async def read_chunks(
    answer: RelayedAnswer, gap_limit_s: Callable[[], float]
) -> AsyncIterator[bytes]:
    """
    Yield the chunks of an answer's body as they arrive.

    :param gap_limit_s: returns how long the next chunk may take, in seconds;
        none may come any more if that is not positive.
    :raises AttemptError: when the answer breaks off, or a chunk takes longer.
    """
    while True:
        try:
            chunk = await _read_within(answer, gap_limit_s())
        except TimeoutError as error:
            raise AttemptError(
                CallOutcome.BROKEN, "engine sent no data in time"
            ) from error
        if not chunk:
            return
        yield chunk


async def _read_within(answer: RelayedAnswer, limit_s: float) -> bytes:
    # A read that need not wait outlasts a limit that has passed.
    if limit_s <= 0:
        raise TimeoutError
    async with asyncio.timeout(limit_s):
        return await answer.read()


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


async def read_whole(
    head: AnswerHead, chunks: AsyncIterator[bytes], memory: HeldMemory
) -> bytes:
    """
    Return the body of an answer that is not a stream.

    :param memory: what the body holds.
    :raises AttemptError: when the answer breaks off, has more than
        ``MAX_WHOLE_BODY_BYTES``, or ``memory`` can't grow any more.
    :raises EmptyAnswerError: when the body is empty, and nothing but the end
        of the connection tells so.
    """
    body = bytearray()
    try:
        async for chunk in chunks:
            if not memory.grow(len(chunk)):
                reason = f"no memory is left behind {len(body)} bytes of a body"
                raise AttemptError(CallOutcome.BROKEN, reason)
            body += chunk
            if len(body) > MAX_WHOLE_BODY_BYTES:
                reason = f"body has more than {MAX_WHOLE_BODY_BYTES} bytes"
                raise AttemptError(CallOutcome.BROKEN, reason)
    except BaseException:
        memory.shrink(len(body))
        body.clear()  # the traceback would keep it
        raise
    if not body and head.needs_body:
        raise EmptyAnswerError
    return bytes(body)
