"""Generations, durable coding requests and calls to plain services."""

from __future__ import annotations

from ._calls import ServiceCaller
from ._coding import CodingRecord, CodingService
from ._coding_runs import CodingRuns
from ._generation import Generation, Generator
from ._journal import CallRecord
from ._retryable import LIMITED_RETRY_CODES, TRANSIENT_CODES

__all__ = [
    "LIMITED_RETRY_CODES",
    "TRANSIENT_CODES",
    "CallRecord",
    "CodingRecord",
    "CodingRuns",
    "CodingService",
    "Generation",
    "Generator",
    "ServiceCaller",
]
