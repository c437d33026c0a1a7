"""Reads engines' answers, in time and as whole events."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from aspenbridge.ports import AttemptError, CallOutcome

from ._events import EventError

if TYPE_CHECKING:
    from collections.abc import AsyncIterator, Callable

    from aspenbridge.ports import RelayedAnswer

    from ._events import EventSplitter, StreamEvent


async def chunks_in_time(
    answer: RelayedAnswer, pause_limit_s: Callable[[], float]
) -> AsyncIterator[bytes]:
    """
    Yield an answer's body as it comes.

    :param pause_limit_s: how long the next part may take.
    :raises AttemptError: when it breaks off or a pause is too long.
    """
    chunks = answer.body()
    while True:
        try:
            async with asyncio.timeout(pause_limit_s()):
                chunk = await anext(chunks)
        except StopAsyncIteration:
            return
        except TimeoutError as error:
            raise AttemptError(CallOutcome.BROKEN, "engine is silent") from error
        yield chunk


async def whole_events(
    chunks: AsyncIterator[bytes], splitter: EventSplitter
) -> AsyncIterator[list[StreamEvent]]:
    """
    Yield the events that arrived together.

    :raises AttemptError: when one can't be read or the last is not whole.
    """
    async for chunk in chunks:
        try:
            events = splitter.feed(chunk)
        except EventError as error:
            raise AttemptError(CallOutcome.BROKEN, str(error)) from error
        if events:
            yield events
    if splitter.pending:
        raise AttemptError(CallOutcome.BROKEN, "stream ended within an event")
