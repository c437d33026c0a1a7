"""Runs one item of a batch job on one engine."""

from __future__ import annotations

from enum import Enum
from typing import TYPE_CHECKING

import attrs

from aspenbridge.ports import AttemptError, RelayedCall
from aspenbridge.relay import EventSplitter, read_chunks, read_events

if TYPE_CHECKING:
    from aspenbridge.fleet import EngineEntry
    from aspenbridge.ports import CallOutcome, Clock, EngineCaller, RelayedAnswer

    from ._messages import SubmittedItem
    from ._owned import ItemState

ANSWER_LIMIT_S = 3.0  # an engine queues a request behind others for this long
PAUSE_LIMIT_S = 1.5  # a hundred usual pauses between two events
UNPROCESSABLE = 422
OK = 200


class ItemOutcome(Enum):
    """What became of one run of an item."""

    COMPLETE = "complete"
    IMPOSSIBLE = "impossible"
    FAILED = "failed"
    INTERRUPTED = "interrupted"


@attrs.frozen
class ItemRun:
    """The end of a run and why it ended."""

    outcome: ItemOutcome
    reason: str = ""
    call_outcome: CallOutcome | None = None


async def run_item(
    caller: EngineCaller,
    clock: Clock,
    engine: EngineEntry,
    host: str,
    item: SubmittedItem,
    state: ItemState,
    deadline_s: float,
) -> ItemRun:
    """
    Run an item from its last event on; its events are added to its state.

    :param host: the virtual host of the item's route.
    :param deadline_s: when the item expires.
    """
    call = RelayedCall(
        request_id=item.id,
        method="POST",
        target=item.target,
        host=host,
        headers=item.headers,
        body=item.body,
        deadline_s=deadline_s,
        resume_after=state.last_event_id,
    )
    try:
        answer = await caller.open(
            engine.id, engine.address, call, clock.now_s() + ANSWER_LIMIT_S
        )
        try:
            return await _read(answer, state)
        finally:
            answer.close()
    except AttemptError as error:
        return ItemRun(ItemOutcome.INTERRUPTED, error.reason, error.outcome)


async def _read(answer: RelayedAnswer, state: ItemState) -> ItemRun:
    status = answer.head.status
    if status == UNPROCESSABLE:
        return ItemRun(ItemOutcome.IMPOSSIBLE, f"status {status}")
    if status != OK:
        return ItemRun(ItemOutcome.FAILED, f"status {status}")
    splitter = EventSplitter(state.last_event_id)
    chunks = read_chunks(answer, lambda: PAUSE_LIMIT_S)
    async for events in read_events(chunks, splitter):
        for event in events:
            state.events.append(event.data)
            state.last_event_id = event.id
    return ItemRun(ItemOutcome.COMPLETE)
