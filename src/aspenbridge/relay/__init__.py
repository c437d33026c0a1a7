"""Relays online requests to engines and the answers to the callers."""

from __future__ import annotations

from ._events import EventError, EventSplitter, StreamEvent
from ._placement import OnlinePlacement
from ._reading import read_chunks, read_events
from ._relay import Relay
from ._request import CallerRequest, Reply

__all__ = [
    "CallerRequest",
    "EventError",
    "EventSplitter",
    "OnlinePlacement",
    "Relay",
    "Reply",
    "StreamEvent",
    "read_chunks",
    "read_events",
]
