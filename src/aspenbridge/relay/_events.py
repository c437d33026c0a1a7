"""Server-sent events, cut out of the bytes of a stream."""

from __future__ import annotations

import attrs

EVENT_END = b"\n\n"


class EventError(ValueError):
    """Bytes that are not an event, or an event out of order."""


@attrs.frozen
class StreamEvent:
    """One whole event: its bytes, its id and the text of its data lines."""

    raw: bytes
    id: int
    data: str


class EventSplitter:
    """Collects bytes and hands out whole events in the order of their ids."""

    def __init__(self, last_id: int | None = None) -> None:
        self.last_id = last_id
        self._rest = b""

    @property
    def pending(self) -> bool:
        """Whether an event has begun and not ended."""
        return bool(self._rest)

    def restart(self) -> None:
        """Drop an unfinished event; the stream goes on from another engine."""
        self._rest = b""

    def feed(self, chunk: bytes) -> list[StreamEvent]:
        """
        Return the events that are whole now.

        :raises EventError: when one can't be read or does not follow the last.
        """
        *whole, self._rest = (self._rest + chunk).split(EVENT_END)
        events = []
        for block in whole:
            event = _event(block)
            if self.last_id is not None and event.id != self.last_id + 1:
                raise EventError(f"event {event.id} came after {self.last_id}")
            self.last_id = event.id
            events.append(event)
        return events


def _event(block: bytes) -> StreamEvent:
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
        raise EventError(f"event can't be read: {error}") from error
    if event_id is None:
        raise EventError(f"event without an id: {block[:80]!r}")
    return StreamEvent(block + EVENT_END, event_id, "\n".join(data))
