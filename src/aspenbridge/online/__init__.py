"""Online work: generations, durable coding requests, service calls."""

from __future__ import annotations

from ._calls import CallRecord, Calls
from ._coding import Coding, CodingRecord
from ._generation import Generation, Generator

__all__ = [
    "CallRecord",
    "Calls",
    "Coding",
    "CodingRecord",
    "Generation",
    "Generator",
]
