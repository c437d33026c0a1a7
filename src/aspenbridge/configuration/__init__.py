"""
Configuration that is shared by all hosts.

Each accepted change creates a numbered revision in the table service. Every
host follows the revisions and derives from the newest where work may run.
"""

from __future__ import annotations

from ._authority import Authority
from ._follower import Follower
from ._freshness import Freshness, FreshnessInputs, FreshnessPolicy
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
from ._propagation import AnnounceResult, RevisionPropagation
from ._subjects import work_subject
from ._validation import find_problem
from ._view import View

__all__ = [
    "AdapterSpec",
    "AnnounceResult",
    "Authority",
    "Change",
    "ConfigObject",
    "CustomerSpec",
    "DrainSpec",
    "EngineSpec",
    "Follower",
    "Freshness",
    "FreshnessInputs",
    "FreshnessPolicy",
    "ModelSpec",
    "OperatorSpec",
    "Reason",
    "RecallSpec",
    "RevisionPropagation",
    "Route",
    "SelectorSpec",
    "ServiceSpec",
    "View",
    "find_problem",
    "spec_class",
    "work_subject",
]
