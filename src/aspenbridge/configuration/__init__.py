"""Configuration: numbered revisions that every host follows."""

from __future__ import annotations

from ._authority import Authority
from ._follower import Follower
from ._freshness import FreshnessPolicy, Knowledge, Verdict
from ._objects import (
    AdapterSpec,
    Change,
    ConfigObject,
    CustomerSpec,
    DrainSpec,
    EngineSpec,
    ModelSpec,
    OperatorSpec,
    RecallSpec,
    Route,
    SelectorSpec,
    ServiceSpec,
    spec_class,
)
from ._placement import Reason
from ._spread import Notified, Spread
from ._subjects import work_subject
from ._validation import find_fault
from ._view import View

__all__ = [
    "AdapterSpec",
    "Authority",
    "Change",
    "ConfigObject",
    "CustomerSpec",
    "DrainSpec",
    "EngineSpec",
    "Follower",
    "FreshnessPolicy",
    "Knowledge",
    "ModelSpec",
    "Notified",
    "OperatorSpec",
    "Reason",
    "RecallSpec",
    "Route",
    "SelectorSpec",
    "ServiceSpec",
    "Spread",
    "Verdict",
    "View",
    "find_fault",
    "spec_class",
    "work_subject",
]
