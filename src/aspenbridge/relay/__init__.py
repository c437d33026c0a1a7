"""Relays online requests to engines and the answers to the callers."""

from __future__ import annotations

from ._custody import Custody
from ._events import EventError, EventSplitter, StreamEvent
from ._placement import OnlinePlacement
from ._reading import EmptyAnswerError, read_chunks, read_events
from ._relay import Relay
from ._request import CallerRequest, ResponseWriter

__all__ = [
    "CallerRequest",
    "Custody",
    "EmptyAnswerError",
    "EventError",
    "EventSplitter",
    "OnlinePlacement",
    "Relay",
    "ResponseWriter",
    "StreamEvent",
    "read_chunks",
    "read_events",
]
