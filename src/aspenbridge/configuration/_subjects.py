"""How configured objects and work look to selectors."""

from __future__ import annotations

from typing import TYPE_CHECKING, Protocol

if TYPE_CHECKING:
    from collections.abc import Iterable, Mapping

    from aspenbridge.ports import Engine
    from aspenbridge.selectors import Subject

    from ._objects import ConfigObject

ONLINE = "online"
BATCH = "batch"
VERSION_MARK = "@"


class PlacedWork(Protocol):
    """The fields of work that placement looks at."""

    @property
    def customer(self) -> str:
        """The customer that asked for it."""

    @property
    def model(self) -> str:
        """The model that it names."""

    @property
    def adapter(self) -> str | None:
        """The adapter that it names, if any."""

    @property
    def online(self) -> bool:
        """Whether a caller waits for it."""

    @property
    def labels(self) -> Mapping[str, str]:
        """The labels of its job."""


def engine_subject(
    engine: Engine, model: ConfigObject | None, adapters: Iterable[ConfigObject]
) -> Subject:
    """Return an engine with the labels of what it carries."""
    subject = {
        "name": _one(engine.name),
        "region": _one(engine.region),
        "failure_domain": _one(engine.failure_domain),
        "model": _one(engine.model),
        "version": _one(engine.version),
        "model_version": _one(engine.serving(None)),
        "adapter": frozenset(engine.adapters),
    }
    _add_labels(subject, "labels.", engine.labels)
    _add_labels(subject, "model.labels.", model.labels if model else {})
    for adapter in adapters:
        _add_labels(subject, "adapter.labels.", adapter.labels)
    return subject


def version_subject(served: str, model: ConfigObject | None) -> Subject:
    """Return a model version, by its name."""
    name, _, version = served.rpartition(VERSION_MARK)
    subject = {
        "name": _one(served),
        "model": _one(name),
        "version": _one(version),
        "model_version": _one(served),
    }
    _add_labels(subject, "model.labels.", model.labels if model else {})
    return subject


def adapter_subject(name: str, adapter: ConfigObject | None) -> Subject:
    """Return an adapter."""
    subject = {"name": _one(name), "adapter": _one(name)}
    _add_labels(subject, "adapter.labels.", adapter.labels if adapter else {})
    return subject


def work_subject(work: PlacedWork, customer: ConfigObject | None) -> Subject:
    """Return a piece of work with the labels of its job and customer."""
    subject = {
        "customer": _one(work.customer),
        "model": _one(work.model),
        "class": _one(ONLINE if work.online else BATCH),
    }
    if work.adapter is not None:
        subject["adapter"] = _one(work.adapter)
    _add_labels(subject, "labels.", work.labels)
    _add_labels(subject, "customer.labels.", customer.labels if customer else {})
    return subject


def _one(value: str) -> frozenset[str]:
    return frozenset((value,))


def _add_labels(
    subject: dict[str, frozenset[str]], prefix: str, labels: Mapping[str, str]
) -> None:
    for name, value in labels.items():
        field = prefix + name
        subject[field] = subject.get(field, frozenset()) | {value}
