"""Reads the answers of engines, with time limits and as whole events."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from aspenbridge.ports import AttemptError, CallOutcome

from ._events import EventError

if TYPE_CHECKING:
    from collections.abc import AsyncIterator, Callable

    from aspenbridge.ports import RelayedAnswer

    from ._events import EventSplitter, StreamEvent


async def read_chunks(
    answer: RelayedAnswer, gap_limit_s: Callable[[], float]
) -> AsyncIterator[bytes]:
    """
    Yield the chunks of an answer's body as they arrive.

    :param gap_limit_s: returns how long the next chunk may take.
    :raises AttemptError: when the answer breaks off, or a chunk takes longer.
    """
    chunks = answer.body()
    while True:
        try:
            async with asyncio.timeout(gap_limit_s()):
                chunk = await anext(chunks)
        except StopAsyncIteration:
            return
        except TimeoutError as error:
            raise AttemptError(
                CallOutcome.BROKEN, "engine sent no data in time"
            ) from error
        yield chunk


async def read_events(
    chunks: AsyncIterator[bytes], splitter: EventSplitter
) -> AsyncIterator[list[StreamEvent]]:
    """
    Yield lists of the events that arrived together.

    :raises AttemptError: when an event can't be parsed or is out of order, or
        the last one is incomplete.
    """
    async for chunk in chunks:
        try:
            events = splitter.feed(chunk)
        except EventError as error:
            raise AttemptError(CallOutcome.BROKEN, str(error)) from error
        if events:
            yield events
    if splitter.pending:
        raise AttemptError(
            CallOutcome.BROKEN,
            "stream ended in the middle of an event",
            connection_lost=True,
        )
