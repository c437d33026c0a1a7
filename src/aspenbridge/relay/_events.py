"""Splits the bytes of a stream into server-sent events."""

from __future__ import annotations

import attrs

EVENT_END = b"\n\n"
MAX_EVENT_BYTES = 64 * 1024  # an event holds some tokens


class EventError(ValueError):
    """Bytes that are not a valid event, or an event out of order."""


@attrs.frozen
class StreamEvent:
    """A complete event: its bytes, its id and the text of its data lines."""

    raw: bytes
    id: int
    data: str


class EventSplitter:
    """
    Splits received bytes into events, whose ids must be consecutive.

    ``last_id`` is the id of the last complete event. Before the first one it
    is the id after which the stream resumes, or None.
    """

    def __init__(self, last_id: int | None = None) -> None:
        self.last_id = last_id
        self._partial = bytearray()

    @property
    def pending(self) -> bool:
        """Whether the end of an event is still missing."""
        return bool(self._partial)

    def restart(self) -> None:
        """Drop an unfinished event; another engine resumes the stream."""
        self._partial = bytearray()

    def feed(self, chunk: bytes) -> list[StreamEvent]:
        """
        Add received bytes and return the events that they complete.

        :raises EventError: when an event can't be parsed, its id does not
            follow the last one, or it exceeds ``MAX_EVENT_BYTES``. Events
            that the same call completed don't count as received.
        """
        # What was received before has been searched already.
        searched_bytes = max(0, len(self._partial) - len(EVENT_END) + 1)
        self._partial += chunk
        begin, end = 0, self._partial.find(EVENT_END, searched_bytes)
        events: list[StreamEvent] = []
        last_id = self.last_id
        while end >= 0:
            event = _parse_event(bytes(self._partial[begin:end]))
            if last_id is not None and event.id != last_id + 1:
                raise EventError(f"event {event.id} came after {last_id}")
            last_id = event.id
            events.append(event)
            begin = end + len(EVENT_END)
            end = self._partial.find(EVENT_END, begin)
        del self._partial[:begin]
        if len(self._partial) > MAX_EVENT_BYTES:
            raise EventError(f"no event in {len(self._partial)} bytes")
        self.last_id = last_id
        return events


def _parse_event(block: bytes) -> StreamEvent:
    event_id: int | None = None
    data: list[str] = []
    try:
        for line in block.decode().split("\n"):
            name, _, value = line.partition(":")
            if name == "id":
                event_id = int(value)
            elif name == "data":
                data.append(value.removeprefix(" "))
    except ValueError as error:
        raise EventError(f"event can't be parsed: {error}") from error
    if event_id is None:
        raise EventError(f"event without an id: {block[:80]!r}")
    return StreamEvent(block + EVENT_END, event_id, "\n".join(data))
