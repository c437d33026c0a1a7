"""Where work may run: drains, recalls and placement rules together."""

from __future__ import annotations

from collections import defaultdict
from typing import Any

import attrs

from aspenbridge.ports import ADAPTER_MARK, Engine
from aspenbridge.selectors import (
    ENGINE,
    SERVED,
    WORK,
    Selector,
    SelectorIndex,
    parse_selector,
)

from ._objects import (
    AdapterSpec,
    ConfigObject,
    DrainSpec,
    EngineSpec,
    ModelSpec,
    RecallSpec,
    SelectorSpec,
)
from ._subjects import (
    PlacedWork,
    adapter_subject,
    engine_subject,
    version_subject,
    work_subject,
)

STOP = "stop"
Rules = frozenset[str]


@attrs.frozen
class Reason:
    """Why an engine may not run a piece of work."""

    kind: str
    name: str
    text: str

    def __str__(self) -> str:
        return f"{self.kind} {self.name!r}: {self.text}"


class Placement:
    """Evaluates selectors incrementally as the configuration changes."""

    def __init__(self) -> None:
        self.clear()

    def clear(self) -> None:
        """Forget everything."""
        self.engines: dict[str, Engine] = {}
        self._objects: dict[tuple[str, str], ConfigObject] = {}
        self._carriers: dict[tuple[str, str], set[str]] = defaultdict(set)
        self._by_model: dict[str, set[str]] = defaultdict(set)
        self._engine_index = SelectorIndex()
        self._served_index = SelectorIndex()
        self._work_selectors: dict[str, Selector] = {}
        self._drains: set[str] = set()
        self._recalls: dict[str, RecallSpec] = {}
        self._recalled: dict[str, Selector] = {}
        self._rules: dict[str, dict[Any, Rules]] = {}
        self._eligible: dict[tuple[str, str | None, Rules], tuple[Engine, ...]] = {}

    @property
    def has_recalls(self) -> bool:
        """Whether anything is recalled."""
        return bool(self._recalls)

    @property
    def evaluations(self) -> int:
        """How often a selector was evaluated on an object."""
        return self._engine_index.evaluations + self._served_index.evaluations

    def put(self, item: ConfigObject, spec: Any) -> None:
        """Take in a new or changed object."""
        self._objects[item.kind, item.name] = item
        match spec:
            case EngineSpec():
                self._put_engine(item, spec)
            case ModelSpec() | AdapterSpec():
                self._relabel(item.kind, item.name)
            case DrainSpec():
                selector = parse_selector(spec.engines, ENGINE).unwrap()
                self._engine_index.put_selector(f"drain/{item.name}", selector)
                self._drains.add(item.name)
                self._eligible.clear()
            case RecallSpec():
                selector = parse_selector(spec.selector, SERVED).unwrap()
                self._served_index.put_selector(item.name, selector)
                self._recalls[item.name] = spec
                self._recalled[item.name] = selector
                self._eligible.clear()
            case SelectorSpec():
                self._put_rule(item.name, spec)
            case _:
                self._rules.pop(item.name, None)

    def remove(self, kind: str, name: str) -> None:
        """Take out an object."""
        self._objects.pop((kind, name), None)
        match kind:
            case "engine":
                self._drop_engine(name)
            case "model" | "adapter":
                self._relabel(kind, name)
            case "drain":
                self._engine_index.drop_selector(f"drain/{name}")
                self._drains.discard(name)
            case "recall":
                self._served_index.drop_selector(name)
                self._recalls.pop(name, None)
                self._recalled.pop(name, None)
            case "placement":
                self._engine_index.drop_selector(f"placement/{name}")
                self._work_selectors.pop(name, None)
                self._rules.clear()
            case _:
                self._rules.pop(name, None)
        self._eligible.clear()

    def recalls_of(self, served: str) -> list[str]:
        """Return the recalls of a model version or adapter."""
        return self._served_index.matching_selectors(served)

    def withdrawn(self, served: str) -> bool:
        """
        Return whether running work on something served must stop.

        :param served: a model version, an adapter, or both as
            ``Engine.serving`` writes them.
        """
        parts = served.split(ADAPTER_MARK)
        names = {name for part in parts for name in self.recalls_of(part)}
        return any(self._recalls[name].running == STOP for name in names)

    def covers(self, recall: str, served: str) -> bool:
        """Return whether a recall covers what a result was served by."""
        selector = self._recalled.get(recall)
        if selector is None:
            return False
        version, _, adapter = served.partition(ADAPTER_MARK)
        subject = version_subject(version, self._objects.get(("model", version)))
        if selector.matches(subject):
            return True
        labelled = self._objects.get(("adapter", adapter))
        return bool(adapter) and selector.matches(adapter_subject(adapter, labelled))

    def drains_of(self, engine: str) -> list[str]:
        """Return the drains that cover an engine."""
        keys = self._engine_index.matching_selectors(engine)
        return [key.partition("/")[2] for key in keys if key.startswith("drain/")]

    def rules_for(self, work: PlacedWork) -> Rules:
        """Return the placement rules that a piece of work falls under."""
        if not self._work_selectors:
            return frozenset()
        known = self._rules.setdefault(work.customer, {})
        labels = tuple(sorted(work.labels.items()))
        key = (work.model, work.adapter, work.online, labels)
        found = known.get(key)
        if found is None:
            customer = self._objects.get(("customer", work.customer))
            subject = work_subject(work, customer)
            found = frozenset(
                name
                for name, selector in self._work_selectors.items()
                if selector.matches(subject)
            )
            known[key] = found
        return found

    def carriers(self, model: str, adapter: str | None) -> list[Engine]:
        """Return the engines that carry a model and an adapter."""
        names = self._by_model.get(model, set())
        engines = [self.engines[name] for name in sorted(names)]
        if adapter is None:
            return engines
        return [engine for engine in engines if adapter in engine.adapters]

    def allowed(
        self, model: str, adapter: str | None, rules: Rules
    ) -> tuple[Engine, ...]:
        """Return the carriers that no drain or rule keeps work away from."""
        key = (model, adapter, rules)
        found = self._eligible.get(key)
        if found is None:
            drained = self._drained()
            found = tuple(
                engine
                for engine in self.carriers(model, adapter)
                if engine.name not in drained
                and not self.forbidding_rules(rules, engine)
            )
            self._eligible[key] = found
        return found

    def forbidding_rules(self, rules: Rules, engine: Engine) -> list[str]:
        """Return those rules that keep work away from an engine."""
        return [
            name
            for name in sorted(rules)
            if engine.name not in self._engine_index.matched_names(f"placement/{name}")
        ]

    def reasons(self, work: PlacedWork, engine: Engine) -> list[Reason]:
        """Return why an engine may not run a piece of work now."""
        reasons = []
        for served in filter(None, (engine.serving(None), work.adapter)):
            for name in self.recalls_of(served):
                reasons.append(Reason("recall", name, f"{served} is recalled"))
        for name in self.drains_of(engine.name):
            reasons.append(Reason("drain", name, "the engine gets no new work"))
        for name in self.forbidding_rules(self.rules_for(work), engine):
            spec = self._objects["placement", name].spec
            text = f"work only runs on engines {spec['engines']!r}"
            reasons.append(Reason("placement", name, text))
        return reasons

    def matching_engines(self, selector: Selector) -> list[str]:
        """Return the engines that a selector would match."""
        return self._engine_index.evaluate(selector)

    def matching_served(self, selector: Selector) -> list[str]:
        """Return the model versions and adapters that one would match."""
        return self._served_index.evaluate(selector)

    def _drained(self) -> set[str]:
        matched = (
            self._engine_index.matched_names(f"drain/{name}") for name in self._drains
        )
        return set().union(*matched)

    def _put_rule(self, name: str, spec: SelectorSpec) -> None:
        engines = parse_selector(spec.engines, ENGINE).unwrap()
        self._engine_index.put_selector(f"placement/{name}", engines)
        self._work_selectors[name] = parse_selector(spec.work, WORK).unwrap()
        self._rules.clear()
        self._eligible.clear()

    def _put_engine(self, item: ConfigObject, spec: EngineSpec) -> None:
        self._drop_engine(item.name)
        engine = _engine(item, spec)
        self.engines[item.name] = engine
        self._by_model[engine.model].add(item.name)
        self._carriers["model", engine.serving(None)].add(item.name)
        for adapter in engine.adapters:
            self._carriers["adapter", adapter].add(item.name)
        self._index(engine)
        self._eligible.clear()

    def _index(self, engine: Engine) -> None:
        served = engine.serving(None)
        model = self._objects.get(("model", served))
        named = {name: self._objects.get(("adapter", name)) for name in engine.adapters}
        labelled = [adapter for adapter in named.values() if adapter is not None]
        subject = engine_subject(engine, model, labelled)
        self._engine_index.put_object(engine.name, subject)
        self._served_index.put_object(served, version_subject(served, model))
        for name, adapter in named.items():
            self._served_index.put_object(name, adapter_subject(name, adapter))

    def _relabel(self, kind: str, name: str) -> None:
        """Index again the engines that carry a changed version or adapter."""
        for engine in self._carriers.get((kind, name), ()):
            self._index(self.engines[engine])
        self._eligible.clear()

    def _drop_engine(self, name: str) -> None:
        engine = self.engines.pop(name, None)
        if engine is None:
            return
        self._engine_index.drop_object(name)
        self._by_model[engine.model].discard(name)
        self._carriers["model", engine.serving(None)].discard(name)
        for adapter in engine.adapters:
            self._carriers["adapter", adapter].discard(name)


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
