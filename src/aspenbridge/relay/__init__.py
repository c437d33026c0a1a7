"""Online requests: their way to an engine and the answer's way back."""

from __future__ import annotations

from ._events import EventError, EventSplitter, StreamEvent
from ._placing import OnlinePlacing
from ._reading import chunks_in_time, whole_events
from ._relay import Relay
from ._request import CallerRequest, Reply

__all__ = [
    "CallerRequest",
    "EventError",
    "EventSplitter",
    "OnlinePlacing",
    "Relay",
    "Reply",
    "StreamEvent",
    "chunks_in_time",
    "whole_events",
]
