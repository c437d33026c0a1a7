"""Configuration: numbered revisions that every host follows."""

from __future__ import annotations

from ._authority import Authority
from ._follower import Follower
from ._objects import (
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
from ._view import View

__all__ = [
    "Authority",
    "Change",
    "ConfigObject",
    "CustomerSpec",
    "DrainSpec",
    "EngineSpec",
    "Follower",
    "ModelSpec",
    "OperatorSpec",
    "RecallSpec",
    "Route",
    "SelectorSpec",
    "ServiceSpec",
    "View",
    "spec_class",
]
