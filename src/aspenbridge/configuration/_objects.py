"""What operators configure, and the changes they make to it."""

from __future__ import annotations

from typing import Any, Literal

import attrs


@attrs.frozen
class EngineSpec:
    """A model engine."""

    address: str
    region: str
    failure_domain: str
    model: str
    version: str
    adapters: tuple[str, ...] = ()
    fenced_orders: bool = False
    max_sequences: int = 32


@attrs.frozen
class ModelSpec:
    """A model version; its name is ``model@version``."""

    model: str
    version: str


@attrs.frozen
class AdapterSpec:
    """An adapter, by the name that engines list it under."""

    model: str


@attrs.frozen
class CustomerSpec:
    """A customer, its API keys as salted hashes and its weight."""

    key_salt: str
    key_digest: str
    weight: float = 1.0


@attrs.frozen
class OperatorSpec:
    """An operator and the salted hash of the API key."""

    key_salt: str
    key_digest: str


@attrs.frozen
class Route:
    """One route of a plain service."""

    method: str
    path: str
    idempotent: bool


@attrs.frozen
class ServiceSpec:
    """A plain service."""

    address: str
    routes: tuple[Route, ...]


@attrs.frozen
class SelectorSpec:
    """A placement rule: work that matches runs only where it says."""

    work: str
    engines: str


@attrs.frozen
class DrainSpec:
    """Engines that get no new work."""

    engines: str


@attrs.frozen
class RecallSpec:
    """
    Model versions or adapters taken out of use.

    Running work is stopped and run again elsewhere, or left to finish.
    """

    selector: str
    running: Literal["stop", "finish"] = "stop"


_SPEC_CLASSES: dict[str, type] = {
    "adapter": AdapterSpec,
    "customer": CustomerSpec,
    "drain": DrainSpec,
    "engine": EngineSpec,
    "model": ModelSpec,
    "operator": OperatorSpec,
    "placement": SelectorSpec,
    "recall": RecallSpec,
    "service": ServiceSpec,
}


def spec_class(kind: str) -> type:
    """
    Return the class of a kind's spec.

    :raises KeyError: when there is no such kind.
    """
    return _SPEC_CLASSES[kind]


@attrs.frozen
class ConfigObject:
    """One named object with its labels."""

    kind: str
    name: str
    spec: dict[str, Any]
    labels: dict[str, str] = attrs.field(factory=dict)
    revision: int = 0


@attrs.frozen
class Change:
    """One accepted change; it made the revision that it names."""

    revision: int
    operator: str
    wall_s: float
    put: tuple[ConfigObject, ...] = ()
    removed: tuple[tuple[str, str], ...] = ()


@attrs.frozen
class Head:
    """The newest revision."""

    revision: int
