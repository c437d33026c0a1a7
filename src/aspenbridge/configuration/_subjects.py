"""Builds the subjects that selectors match, such as engines and work."""

from __future__ import annotations

from typing import TYPE_CHECKING, Protocol

if TYPE_CHECKING:
    from collections.abc import Iterable, Mapping

    from aspenbridge.ports import Engine
    from aspenbridge.selectors import Subject

    from ._objects import ConfigObject

ONLINE = "online"
BATCH = "batch"
VERSION_SEPARATOR = "@"


class PlacedWork(Protocol):
    """The fields of a piece of work that decide where it may run."""

    @property
    def customer(self) -> str:
        """The customer that submitted the work."""

    @property
    def model(self) -> str:
        """The model that the work requests."""

    @property
    def adapter(self) -> str | None:
        """The adapter that the work requests, if any."""

    @property
    def online(self) -> bool:
        """Whether a caller waits for the result; else it is batch work."""

    @property
    def labels(self) -> Mapping[str, str]:
        """The labels of the job."""


def engine_subject(
    engine: Engine, model: ConfigObject | None, adapters: Iterable[ConfigObject]
) -> Subject:
    """Return the subject of an engine, with the labels of what it serves."""
    subject = {
        "name": _single(engine.name),
        "region": _single(engine.region),
        "failure_domain": _single(engine.failure_domain),
        "model": _single(engine.model),
        "version": _single(engine.version),
        "model_version": _single(engine.served_name(None)),
        "adapter": frozenset(engine.adapters),
    }
    _add_labels(subject, "labels.", engine.labels)
    _add_labels(subject, "model.labels.", model.labels if model else {})
    for adapter in adapters:
        _add_labels(subject, "adapter.labels.", adapter.labels)
    return subject


def version_subject(served: str, model: ConfigObject | None) -> Subject:
    """Return the subject of a model version, named ``model@version``."""
    name, _, version = served.rpartition(VERSION_SEPARATOR)
    subject = {
        "name": _single(served),
        "model": _single(name),
        "version": _single(version),
        "model_version": _single(served),
    }
    _add_labels(subject, "model.labels.", model.labels if model else {})
    return subject


def adapter_subject(name: str, adapter: ConfigObject | None) -> Subject:
    """Return the subject of an adapter."""
    subject = {"name": _single(name), "adapter": _single(name)}
    _add_labels(subject, "adapter.labels.", adapter.labels if adapter else {})
    return subject


def work_subject(work: PlacedWork, customer: ConfigObject | None) -> Subject:
    """Return the subject of work, with the labels of its job and customer."""
    subject = {
        "customer": _single(work.customer),
        "model": _single(work.model),
        "class": _single(ONLINE if work.online else BATCH),
    }
    if work.adapter is not None:
        subject["adapter"] = _single(work.adapter)
    _add_labels(subject, "labels.", work.labels)
    _add_labels(subject, "customer.labels.", customer.labels if customer else {})
    return subject


def _single(value: str) -> frozenset[str]:
    return frozenset((value,))


def _add_labels(
    subject: dict[str, frozenset[str]], prefix: str, labels: Mapping[str, str]
) -> None:
    for name, value in labels.items():
        field = prefix + name
        subject[field] = subject.get(field, frozenset()) | {value}
