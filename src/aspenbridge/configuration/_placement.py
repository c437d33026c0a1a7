"""Decides where work may run, from drains, recalls and placement rules."""

from __future__ import annotations

from collections import defaultdict
from typing import Any

import attrs

from aspenbridge.ports import ADAPTER_SEPARATOR, Engine
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

STOP = "stop"  # RecallSpec.running: running work is stopped
Rules = frozenset[str]  # names of placement rules


@attrs.frozen
class Reason:
    """A configuration object that keeps work from an engine, and why."""

    kind: str
    name: str
    text: str

    def __str__(self) -> str:
        return f"{self.kind} {self.name!r}: {self.text}"


class Placement:
    """
    Evaluates drains, recalls and placement rules.

    A change evaluates selectors again only for the objects and selectors that
    it changes.
    """

    def __init__(self) -> None:
        self.clear()

    def clear(self) -> None:
        """Remove all objects."""
        self.engines: dict[str, Engine] = {}
        self._objects: dict[tuple[str, str], ConfigObject] = {}
        self._engine_names_by_served: dict[tuple[str, str], set[str]] = defaultdict(set)
        self._engine_names_by_model: dict[str, set[str]] = defaultdict(set)
        self._engine_index = SelectorIndex()
        self._served_index = SelectorIndex()
        self._rule_selectors: dict[str, Selector] = {}
        self._drains: set[str] = set()
        self._recalls: dict[str, RecallSpec] = {}
        self._recall_selectors: dict[str, Selector] = {}
        # By customer, then by model, adapter, class and labels of the work.
        self._matching_rules: dict[str, dict[Any, Rules]] = {}
        self._allowed: dict[tuple[str, str | None, Rules], tuple[Engine, ...]] = {}

    @property
    def has_recalls(self) -> bool:
        """Whether the configuration has any recall."""
        return bool(self._recalls)

    @property
    def evaluations(self) -> int:
        """How many times a configured selector was evaluated on an object."""
        return self._engine_index.evaluations + self._served_index.evaluations

    def put(self, item: ConfigObject, spec: Any) -> None:
        """Add or replace an object, given with its typed spec."""
        self._objects[item.kind, item.name] = item
        match spec:
            case EngineSpec():
                self._put_engine(item, spec)
            case ModelSpec() | AdapterSpec():
                self._reindex(item.kind, item.name)
            case DrainSpec():
                selector = parse_selector(spec.engines, ENGINE).unwrap()
                self._engine_index.put_selector(f"drain/{item.name}", selector)
                self._drains.add(item.name)
                self._allowed.clear()
            case RecallSpec():
                selector = parse_selector(spec.selector, SERVED).unwrap()
                self._served_index.put_selector(item.name, selector)
                self._recalls[item.name] = spec
                self._recall_selectors[item.name] = selector
                self._allowed.clear()
            case SelectorSpec():
                self._put_rule(item.name, spec)
            case _:  # a changed customer may match other rules
                self._matching_rules.pop(item.name, None)

    def remove(self, kind: str, name: str) -> None:
        """Remove an object."""
        self._objects.pop((kind, name), None)
        match kind:
            case "engine":
                self._drop_engine(name)
            case "model" | "adapter":
                self._reindex(kind, name)
            case "drain":
                self._engine_index.drop_selector(f"drain/{name}")
                self._drains.discard(name)
            case "recall":
                self._served_index.drop_selector(name)
                self._recalls.pop(name, None)
                self._recall_selectors.pop(name, None)
            case "placement":
                self._engine_index.drop_selector(f"placement/{name}")
                self._rule_selectors.pop(name, None)
                self._matching_rules.clear()
            case _:  # a removed customer may match other rules
                self._matching_rules.pop(name, None)
        self._allowed.clear()

    def recalls_of(self, served: str) -> list[str]:
        """Return the names of the recalls of a model version or adapter."""
        return self._served_index.matching_selectors(served)

    def stops_running_work(self, served: str) -> bool:
        """
        Return whether a recall stops work that already runs.

        :param served: what the work runs on: a model version, an adapter, or
            both in the form of ``Engine.served_name``.
        """
        parts = served.split(ADAPTER_SEPARATOR)
        names = {name for part in parts for name in self.recalls_of(part)}
        return any(self._recalls[name].running == STOP for name in names)

    def covers(self, recall: str, served: str) -> bool:
        """
        Return whether a recall covers a result.

        :param recall: the name of the recall.
        :param served: what produced the result, in the form of
            ``Engine.served_name``.
        """
        selector = self._recall_selectors.get(recall)
        if selector is None:
            return False
        version, _, adapter = served.partition(ADAPTER_SEPARATOR)
        subject = version_subject(version, self._objects.get(("model", version)))
        if selector.matches(subject):
            return True
        config = self._objects.get(("adapter", adapter))
        return bool(adapter) and selector.matches(adapter_subject(adapter, config))

    def drains_of(self, engine: str) -> list[str]:
        """Return the names of the drains that cover an engine."""
        keys = self._engine_index.matching_selectors(engine)
        return [key.partition("/")[2] for key in keys if key.startswith("drain/")]

    def rules_for(self, work: PlacedWork) -> Rules:
        """Return the names of the placement rules that apply to some work."""
        if not self._rule_selectors:
            return frozenset()
        cached = self._matching_rules.setdefault(work.customer, {})
        labels = tuple(sorted(work.labels.items()))
        key = (work.model, work.adapter, work.online, labels)
        rules = cached.get(key)
        if rules is None:
            customer = self._objects.get(("customer", work.customer))
            subject = work_subject(work, customer)
            rules = frozenset(
                name
                for name, selector in self._rule_selectors.items()
                if selector.matches(subject)
            )
            cached[key] = rules
        return rules

    def engines_serving(self, model: str, adapter: str | None) -> list[Engine]:
        """Return the engines that serve a model, with the adapter if given."""
        names = self._engine_names_by_model.get(model, set())
        engines = [self.engines[name] for name in sorted(names)]
        if adapter is None:
            return engines
        return [engine for engine in engines if adapter in engine.adapters]

    def allowed(
        self, model: str, adapter: str | None, rules: Rules
    ) -> tuple[Engine, ...]:
        """Return the engines that drains and rules allow; ignores recalls."""
        key = (model, adapter, rules)
        allowed = self._allowed.get(key)
        if allowed is None:
            drained = self._drained()
            allowed = tuple(
                engine
                for engine in self.engines_serving(model, adapter)
                if engine.name not in drained
                and not self.forbidding_rules(rules, engine)
            )
            self._allowed[key] = allowed
        return allowed

    def forbidding_rules(self, rules: Rules, engine: Engine) -> list[str]:
        """Return which of the rules forbid an engine."""
        return [
            name
            for name in sorted(rules)
            if engine.name not in self._engine_index.matched_names(f"placement/{name}")
        ]

    def reasons(self, work: PlacedWork, engine: Engine) -> list[Reason]:
        """Return why an engine may not run a piece of work now."""
        reasons = []
        for served in filter(None, (engine.served_name(None), work.adapter)):
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
        """Return the names of the engines that a selector matches."""
        return self._engine_index.evaluate(selector)

    def matching_served(self, selector: Selector) -> list[str]:
        """
        Return the model versions and adapters that a selector matches.

        They include versions and adapters that engines no longer serve.
        """
        return self._served_index.evaluate(selector)

    def _drained(self) -> set[str]:
        """Return the names of the engines that any drain covers."""
        matched = (
            self._engine_index.matched_names(f"drain/{name}") for name in self._drains
        )
        return set().union(*matched)

    def _put_rule(self, name: str, spec: SelectorSpec) -> None:
        engines = parse_selector(spec.engines, ENGINE).unwrap()
        self._engine_index.put_selector(f"placement/{name}", engines)
        self._rule_selectors[name] = parse_selector(spec.work, WORK).unwrap()
        self._matching_rules.clear()
        self._allowed.clear()

    def _put_engine(self, item: ConfigObject, spec: EngineSpec) -> None:
        self._drop_engine(item.name)
        engine = _make_engine(item, spec)
        self.engines[item.name] = engine
        self._engine_names_by_model[engine.model].add(item.name)
        self._engine_names_by_served["model", engine.served_name(None)].add(item.name)
        for adapter in engine.adapters:
            self._engine_names_by_served["adapter", adapter].add(item.name)
        self._index(engine)
        self._allowed.clear()

    def _index(self, engine: Engine) -> None:
        """Evaluate the selectors on an engine and on what it serves."""
        served = engine.served_name(None)
        model = self._objects.get(("model", served))
        adapters = {
            name: self._objects.get(("adapter", name)) for name in engine.adapters
        }
        configured = [adapter for adapter in adapters.values() if adapter is not None]
        subject = engine_subject(engine, model, configured)
        self._engine_index.put_object(engine.name, subject)
        self._served_index.put_object(served, version_subject(served, model))
        for name, adapter in adapters.items():
            self._served_index.put_object(name, adapter_subject(name, adapter))

    def _reindex(self, kind: str, name: str) -> None:
        """Reindex the engines that serve a changed version or adapter."""
        for engine in self._engine_names_by_served.get((kind, name), ()):
            self._index(self.engines[engine])
        self._allowed.clear()

    def _drop_engine(self, name: str) -> None:
        engine = self.engines.pop(name, None)
        if engine is None:
            return
        self._engine_index.drop_object(name)
        self._engine_names_by_model[engine.model].discard(name)
        self._engine_names_by_served["model", engine.served_name(None)].discard(name)
        for adapter in engine.adapters:
            self._engine_names_by_served["adapter", adapter].discard(name)


def _make_engine(item: ConfigObject, spec: EngineSpec) -> Engine:
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
