"""The configuration that one host has applied, at one revision."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

import msgspec

from ._objects import Change, ConfigObject, CustomerSpec, ServiceSpec, spec_class
from ._placement import Placement

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    from aspenbridge.ports import Engine

    from ._placement import Reason
    from ._subjects import PlacedWork


class View:
    """
    Configuration objects by kind and name, and where they let work run.

    The revision never decreases.
    """

    def __init__(self) -> None:
        self.revision = 0
        self.placement = Placement()
        self._objects: dict[tuple[str, str], ConfigObject] = {}
        self._specs: dict[tuple[str, str], Any] = {}
        self._eligible: dict[
            tuple[str, str | None, frozenset[str]], tuple[Engine, ...]
        ] = {}
        self._watchers: list[Callable[[], None]] = []

    @property
    def _engines(self) -> dict[str, Engine]:
        return self.placement.engines

    def watch(self, watcher: Callable[[], None]) -> None:
        """Call a function each time a higher revision has been applied."""
        self._watchers.append(watcher)

    def replace(self, revision: int, objects: Iterable[ConfigObject]) -> bool:
        """
        Replace all objects with those of a snapshot.

        :return: False, and nothing changes, if the revision is not newer.
        """
        if revision <= self.revision:
            return False
        self._objects.clear()
        self._specs.clear()
        self.placement.clear()
        for item in objects:
            self._put(item)
        self._set_revision(revision)
        return True

    def apply(self, change: Change) -> bool:
        """Apply a change; return False if it does not follow this revision."""
        if change.revision != self.revision + 1:
            return False
        for kind, name in change.removed:
            self._remove(kind, name)
        for item in change.put:
            self._put(item)
        self._set_revision(change.revision)
        return True

    def find(self, kind: str, name: str) -> ConfigObject | None:
        """Return an object, or None if there is none."""
        return self._objects.get((kind, name))

    def all_of(self, kind: str) -> tuple[ConfigObject, ...]:
        """Return all objects of a kind."""
        return tuple(item for (k, _), item in self._objects.items() if k == kind)

    def customer(self, name: str) -> CustomerSpec | None:
        """Return the spec of a customer, or None if not configured."""
        spec: CustomerSpec | None = self._specs.get(("customer", name))
        return spec

    def service(self, name: str) -> ServiceSpec | None:
        """Return the spec of a plain service, or None if not configured."""
        spec: ServiceSpec | None = self._specs.get(("service", name))
        return spec

    def spec(self, item: ConfigObject) -> Any:
        """Return the typed spec of an object of this view."""
        return self._specs[item.kind, item.name]

    def engines(self) -> tuple[Engine, ...]:
        """Return all engines."""
        return tuple(self._engines.values())

    def recalled(self, engine: Engine) -> bool:
        """Return whether the engine's model version is recalled."""
        return bool(self.placement.recalls_of(engine.served_name(None)))

    def eligible(self, model: str, adapter: str | None) -> tuple[Engine, ...]:
        """Return the engines that may run a model; ignores placement rules."""
        return self._eligible_engines(model, adapter, frozenset())

    def eligible_for(self, work: PlacedWork) -> tuple[Engine, ...]:
        """Return the engines that may run a piece of work."""
        rules = self.placement.rules_for(work)
        return self._eligible_engines(work.model, work.adapter, rules)

    def reasons_against(self, work: PlacedWork, engine: Engine) -> list[Reason]:
        """Return why an engine may not run a piece of work."""
        return self.placement.reasons(work, engine)

    def allows(self, work: PlacedWork, engine: Engine) -> bool:
        """Return whether an engine may start a piece of work."""
        return any(item.name == engine.name for item in self.eligible_for(work))

    def must_stop(self, work: PlacedWork, engine: Engine) -> bool:
        """
        Return whether work that already runs on an engine must be stopped.

        A drain lets running work finish, and so does a recall that has
        ``running`` set to ``finish``.
        """
        placement = self.placement
        if placement.stops_running_work(engine.served_name(work.adapter)):
            return True
        return bool(placement.forbidding_rules(placement.rules_for(work), engine))

    def models(self) -> set[str]:
        """Return the names of the models that engines serve."""
        return {engine.model for engine in self._engines.values()}

    def has_model(self, model: str) -> bool:
        """Return whether any engine serves a version of the model."""
        return bool(self.placement.engines_serving(model, None))

    def _eligible_engines(
        self, model: str, adapter: str | None, rules: frozenset[str]
    ) -> tuple[Engine, ...]:
        key = (model, adapter, rules)
        engines = self._eligible.get(key)
        if engines is None:
            engines = self._not_recalled(adapter, self.placement.allowed(*key))
            self._eligible[key] = engines
        return engines

    def _not_recalled(
        self, adapter: str | None, engines: tuple[Engine, ...]
    ) -> tuple[Engine, ...]:
        if not self.placement.has_recalls:
            return engines
        if adapter is not None and self.placement.recalls_of(adapter):
            return ()
        return tuple(engine for engine in engines if not self.recalled(engine))

    def _set_revision(self, revision: int) -> None:
        self.revision = revision
        for watcher in self._watchers:
            watcher()

    def _put(self, item: ConfigObject) -> None:
        object_id = (item.kind, item.name)
        spec: Any = msgspec.convert(item.spec, type=spec_class(item.kind))
        self._objects[object_id] = item
        self._specs[object_id] = spec
        self.placement.put(item, spec)
        self._eligible.clear()

    def _remove(self, kind: str, name: str) -> None:
        self._objects.pop((kind, name), None)
        self._specs.pop((kind, name), None)
        self.placement.remove(kind, name)
        self._eligible.clear()
