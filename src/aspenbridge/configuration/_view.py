"""The configuration as one host knows it, at one revision."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

import msgspec

from aspenbridge.ports import Engine

from ._objects import (
    Change,
    ConfigObject,
    CustomerSpec,
    EngineSpec,
    RecallSpec,
    ServiceSpec,
    spec_class,
)

if TYPE_CHECKING:
    from collections.abc import Iterable


class View:
    """Objects by kind and name; only ever moves to a higher revision."""

    def __init__(self) -> None:
        self.revision = 0
        self._objects: dict[tuple[str, str], ConfigObject] = {}
        self._specs: dict[tuple[str, str], Any] = {}
        self._engines: dict[str, Engine] = {}

    def replace(self, revision: int, objects: Iterable[ConfigObject]) -> bool:
        """Take over a whole snapshot; return False when it is not newer."""
        if revision <= self.revision:
            return False
        self._objects.clear()
        self._specs.clear()
        self._engines.clear()
        for item in objects:
            self._put(item)
        self.revision = revision
        return True

    def apply(self, change: Change) -> bool:
        """Apply the next change; return False when it is not the next."""
        if change.revision != self.revision + 1:
            return False
        for kind, name in change.removed:
            self._remove(kind, name)
        for item in change.put:
            self._put(item)
        self.revision = change.revision
        return True

    def find(self, kind: str, name: str) -> ConfigObject | None:
        """Return an object, or None."""
        return self._objects.get((kind, name))

    def all_of(self, kind: str) -> tuple[ConfigObject, ...]:
        """Return the objects of a kind."""
        return tuple(item for (k, _), item in self._objects.items() if k == kind)

    def customer(self, name: str) -> CustomerSpec | None:
        """Return a customer's spec, or None."""
        spec: CustomerSpec | None = self._specs.get(("customer", name))
        return spec

    def service(self, name: str) -> ServiceSpec | None:
        """Return a plain service's spec, or None."""
        spec: ServiceSpec | None = self._specs.get(("service", name))
        return spec

    def spec(self, item: ConfigObject) -> Any:
        """Return the typed spec of an object of this view."""
        return self._specs[item.kind, item.name]

    def engines(self) -> tuple[Engine, ...]:
        """Return every engine."""
        return tuple(self._engines.values())

    def recalled(self, engine: Engine) -> bool:
        """Return whether the engine's model version is recalled."""
        served = f"{engine.model}@{engine.version}"
        recalls = (
            spec for spec in self._specs.values() if isinstance(spec, RecallSpec)
        )
        return any(spec.selector == served for spec in recalls)

    def eligible(self, model: str, adapter: str | None) -> tuple[Engine, ...]:
        """Return the engines that may run a model, recalled ones left out."""
        return tuple(
            engine
            for engine in self._engines.values()
            if engine.model == model
            and (adapter is None or adapter in engine.adapters)
            and not self.recalled(engine)
        )

    def has_model(self, model: str) -> bool:
        """Return whether any version of the model is configured."""
        return any(engine.model == model for engine in self._engines.values())

    def _put(self, item: ConfigObject) -> None:
        place = (item.kind, item.name)
        spec: Any = msgspec.convert(item.spec, type=spec_class(item.kind))
        self._objects[place] = item
        self._specs[place] = spec
        if isinstance(spec, EngineSpec):
            self._engines[item.name] = _engine(item, spec)

    def _remove(self, kind: str, name: str) -> None:
        self._objects.pop((kind, name), None)
        self._specs.pop((kind, name), None)
        if kind == "engine":
            self._engines.pop(name, None)


def _engine(item: ConfigObject, spec: EngineSpec) -> Engine:
    return Engine(
        name=item.name,
        address=spec.address,
        region=spec.region,
        failure_domain=spec.failure_domain,
        model=spec.model,
        version=spec.version,
        adapters=spec.adapters,
        fenced_orders=spec.fenced_orders,
        max_sequences=spec.max_sequences,
        labels=item.labels,
    )
