"""Runs one item of a batch job on one engine."""

from __future__ import annotations

from enum import Enum
from typing import TYPE_CHECKING

import attrs

from aspenbridge.ports import AttemptError, CallOutcome, RelayedCall
from aspenbridge.quarantine import EventArrivals
from aspenbridge.relay import EmptyAnswerError, EventSplitter, read_chunks, read_events

if TYPE_CHECKING:
    from collections.abc import Callable

    from aspenbridge.fleet import EngineEntry
    from aspenbridge.ports import (
        BodyEnd,
        Clock,
        EngineCaller,
        RelayedAnswer,
    )

    from ._messages import SubmittedItem
    from ._owned import ItemState

# A sound engine sends nothing for up to 1.5 s, and a run that is left for that
# is work done in vain; a run is left a second later.
EVENT_GAP_LIMIT_S = 2.5
# An engine may besides queue a request behind others for two seconds.
ANSWER_LIMIT_S = 4.5
# Of the events of one item in memory, each counted with what holds it.
MAX_ITEM_BYTES = 1024 * 1024
EVENT_OVERHEAD_BYTES = 64
ITEM_METHOD = "POST"
UNPROCESSABLE = 422
OK = 200


class ItemOutcome(Enum):
    """
    How one run of an item ended.

    ``COMPLETE``: all events were read. ``IMPOSSIBLE``: the engine rejected the
    item as unprocessable, so a retry can't succeed. ``FAILED``: the engine
    answered with any other status than 200. ``INTERRUPTED``: the attempt
    brought no whole answer, so the item may go on after its last event.
    """

    COMPLETE = "complete"
    IMPOSSIBLE = "impossible"
    FAILED = "failed"
    INTERRUPTED = "interrupted"


@attrs.frozen
class ItemRunResult:
    """
    How a run ended and why.

    ``call_outcome`` tells how an interrupted attempt failed; it is None if the
    engine answered. ``connection_lost`` is that of ``AttemptError``.
    ``body_end`` is None if no head of an answer came.
    """

    outcome: ItemOutcome
    reason: str = ""
    call_outcome: CallOutcome | None = None
    connection_lost: bool = False
    body_end: BodyEnd | None = None
    arrivals: EventArrivals = attrs.field(factory=EventArrivals)


async def run_item(
    engine_caller: EngineCaller,
    clock: Clock,
    engine: EngineEntry,
    host: str,
    item: SubmittedItem,
    state: ItemState,
    deadline_s: float,
    on_events: Callable[[EventArrivals], None] = lambda arrivals: None,
) -> ItemRunResult:
    """
    Run an item from its last event on and add new events to its state.

    :param host: the virtual host of the item's route.
    :param state: is changed as events arrive, also if the run fails later.
    :param deadline_s: when the item expires, in monotonic seconds.
    :param on_events: called when events of this run have arrived.
    """
    arrivals = EventArrivals()
    call = RelayedCall(
        request_id=item.id,
        method=ITEM_METHOD,
        target=item.target,
        host=host,
        headers=item.headers,
        body=item.body,
        deadline_s=deadline_s,
        resume_after=state.last_event_id,
    )
    body_end = None
    try:
        answer = await engine_caller.open(
            engine.id, engine.address, call, clock.now_s() + ANSWER_LIMIT_S
        )
        body_end = answer.head.body_end
        try:
            run = await _read_answer(answer, state, clock, arrivals, on_events)
        finally:
            answer.close()
    except AttemptError as error:
        if isinstance(error, EmptyAnswerError):
            # A run that had nothing left to generate looks the same, so the
            # next one begins an event earlier.
            state.drop_last_event()
        run = ItemRunResult(
            ItemOutcome.INTERRUPTED,
            error.reason,
            error.outcome,
            error.connection_lost,
        )
    return attrs.evolve(run, body_end=body_end, arrivals=arrivals)


async def _read_answer(
    answer: RelayedAnswer,
    state: ItemState,
    clock: Clock,
    arrivals: EventArrivals,
    on_events: Callable[[EventArrivals], None],
) -> ItemRunResult:
    """
    Read the events of an answer into the state of its item.

    :raises AttemptError: when the answer breaks off or is no stream, no whole
        event comes in ``EVENT_GAP_LIMIT_S``, or the events exceed
        ``MAX_ITEM_BYTES``; the item then starts anew, since one of its runs
        was not sound.
    """
    status = answer.head.status
    if status == UNPROCESSABLE:
        return ItemRunResult(ItemOutcome.IMPOSSIBLE, f"status {status}")
    if status != OK:
        return ItemRunResult(ItemOutcome.FAILED, f"status {status}")
    if not answer.head.brings_events:
        # An empty one would look like the end of the item.
        raise AttemptError(CallOutcome.BROKEN, "answer brings no events")
    splitter = EventSplitter(state.last_event_id)
    gap_deadline_s = clock.now_s() + EVENT_GAP_LIMIT_S
    item_bytes = sum(map(_event_bytes, state.events))
    chunks = read_chunks(answer, lambda: gap_deadline_s - clock.now_s())
    async for events in read_events(answer.head, chunks, splitter):
        for event in events:
            state.events.append(event.data)
            state.last_event_id = event.id
            item_bytes += _event_bytes(event.data)
        if item_bytes > MAX_ITEM_BYTES:
            state.drop_events()
            reason = f"events of the item have more than {MAX_ITEM_BYTES} bytes"
            raise AttemptError(CallOutcome.BROKEN, reason)
        arrivals.add(len(events), clock.now_s())
        on_events(arrivals)
        gap_deadline_s = clock.now_s() + EVENT_GAP_LIMIT_S
    return ItemRunResult(ItemOutcome.COMPLETE)


def _event_bytes(data: str) -> int:
    return len(data) + EVENT_OVERHEAD_BYTES
