"""Selectors as trees of typed tests."""

from __future__ import annotations

from collections.abc import Iterator, Mapping
from typing import Protocol

import attrs

Subject = Mapping[str, frozenset[str]]
NO_VALUES: frozenset[str] = frozenset()


class Selector(Protocol):
    """Tells whether a subject matches; a field may have several values."""

    def matches(self, subject: Subject) -> bool:
        """Return whether the subject matches."""

    def fields(self) -> Iterator[Field]:
        """Yield every field that is looked at."""


@attrs.frozen
class Field:
    """The name of a field and where the selector's text names it."""

    name: str
    column: int = attrs.field(eq=False, default=0)


@attrs.frozen
class In:
    """One of the field's values is among those given."""

    field: Field
    values: frozenset[str]

    def matches(self, subject: Subject) -> bool:
        """Return whether the subject matches."""
        return not self.values.isdisjoint(subject.get(self.field.name, NO_VALUES))

    def fields(self) -> Iterator[Field]:
        """Yield every field that is looked at."""
        yield self.field


@attrs.frozen
class Exists:
    """The field has a value."""

    field: Field

    def matches(self, subject: Subject) -> bool:
        """Return whether the subject matches."""
        return bool(subject.get(self.field.name))

    def fields(self) -> Iterator[Field]:
        """Yield every field that is looked at."""
        yield self.field


@attrs.frozen
class Not:
    """The inner selector does not match."""

    inner: Selector

    def matches(self, subject: Subject) -> bool:
        """Return whether the subject matches."""
        return not self.inner.matches(subject)

    def fields(self) -> Iterator[Field]:
        """Yield every field that is looked at."""
        return self.inner.fields()


@attrs.frozen
class And:
    """Each part matches."""

    parts: tuple[Selector, ...]

    def matches(self, subject: Subject) -> bool:
        """Return whether the subject matches."""
        return all(part.matches(subject) for part in self.parts)

    def fields(self) -> Iterator[Field]:
        """Yield every field that is looked at."""
        for part in self.parts:
            yield from part.fields()


@attrs.frozen
class Or:
    """At least one part matches."""

    parts: tuple[Selector, ...]

    def matches(self, subject: Subject) -> bool:
        """Return whether the subject matches."""
        return any(part.matches(subject) for part in self.parts)

    def fields(self) -> Iterator[Field]:
        """Yield every field that is looked at."""
        for part in self.parts:
            yield from part.fields()
