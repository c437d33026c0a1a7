"""Configuration objects that operators define, and changes to them."""

from __future__ import annotations

from typing import Any, Literal

import attrs


@attrs.frozen
class EngineSpec:
    """
    A model engine and what it serves.

    ``max_sequences`` is the number of slots of the engine.
    """

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
    """An adapter of a model; its name is the one that engines list."""

    model: str


@attrs.frozen
class CustomerSpec:
    """A customer: the salted hash of its API key and its share of capacity."""

    key_salt: str
    key_digest: str
    weight: float = 1.0


@attrs.frozen
class OperatorSpec:
    """An operator: the salted hash of its API key."""

    key_salt: str
    key_digest: str


@attrs.frozen
class Route:
    """A route of a plain service; idempotent calls may be repeated."""

    method: str
    path: str
    idempotent: bool


@attrs.frozen
class ServiceSpec:
    """A plain service and the routes that customers may call."""

    address: str
    routes: tuple[Route, ...]


@attrs.frozen
class SelectorSpec:
    """A placement rule: work that matches runs only on matching engines."""

    work: str
    engines: str


@attrs.frozen
class DrainSpec:
    """A selector of engines that get no new work."""

    engines: str


@attrs.frozen
class RecallSpec:
    """
    A selector of model versions or adapters that are taken out of use.

    Running work is stopped and run again elsewhere, or allowed to finish.
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
    Return the spec class of a kind of configuration object.

    :raises KeyError: if there is no such kind.
    """
    return _SPEC_CLASSES[kind]


@attrs.frozen
class ConfigObject:
    """
    A named configuration object with its labels.

    ``revision`` is the one that last changed the object; 0 before acceptance.
    """

    kind: str
    name: str
    spec: dict[str, Any]
    labels: dict[str, str] = attrs.field(factory=dict)
    revision: int = 0


@attrs.frozen
class Change:
    """An accepted change and the revision that it created."""

    revision: int
    operator: str
    wall_s: float
    put: tuple[ConfigObject, ...] = ()
    removed: tuple[tuple[str, str], ...] = ()


@attrs.frozen
class Head:
    """The row that holds the number of the newest revision."""

    revision: int
