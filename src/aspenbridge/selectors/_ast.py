"""The syntax tree of a selector; each node evaluates itself."""

from __future__ import annotations

from collections.abc import Iterator, Mapping
from typing import Protocol

import attrs

# The values of each field of the object that a selector is evaluated on.
Subject = Mapping[str, frozenset[str]]
NO_VALUES: frozenset[str] = frozenset()


class Selector(Protocol):
    """A node that matches a subject or not; a field may have many values."""

    def matches(self, subject: Subject) -> bool:
        """Return whether the subject matches."""

    def fields(self) -> Iterator[Field]:
        """Yield every field that the selector names."""


@attrs.frozen
class Field:
    """A field's name, and the 1-based column of the text that names it."""

    name: str
    column: int = attrs.field(eq=False, default=0)


@attrs.frozen
class In:
    """Matches when one of the field's values is among the given values."""

    field: Field
    values: frozenset[str]

    def matches(self, subject: Subject) -> bool:
        """Return whether the subject matches."""
        return not self.values.isdisjoint(subject.get(self.field.name, NO_VALUES))

    def fields(self) -> Iterator[Field]:
        """Yield every field that the selector names."""
        yield self.field


@attrs.frozen
class Exists:
    """Matches when the field has a value."""

    field: Field

    def matches(self, subject: Subject) -> bool:
        """Return whether the subject matches."""
        return bool(subject.get(self.field.name))

    def fields(self) -> Iterator[Field]:
        """Yield every field that the selector names."""
        yield self.field


@attrs.frozen
class Not:
    """Matches when the inner selector does not match."""

    inner: Selector

    def matches(self, subject: Subject) -> bool:
        """Return whether the subject matches."""
        return not self.inner.matches(subject)

    def fields(self) -> Iterator[Field]:
        """Yield every field that the selector names."""
        return self.inner.fields()


@attrs.frozen
class And:
    """Matches when each part matches."""

    parts: tuple[Selector, ...]

    def matches(self, subject: Subject) -> bool:
        """Return whether the subject matches."""
        return all(part.matches(subject) for part in self.parts)

    def fields(self) -> Iterator[Field]:
        """Yield every field that the selector names."""
        for part in self.parts:
            yield from part.fields()


@attrs.frozen
class Or:
    """Matches when at least one part matches."""

    parts: tuple[Selector, ...]

    def matches(self, subject: Subject) -> bool:
        """Return whether the subject matches."""
        return any(part.matches(subject) for part in self.parts)

    def fields(self) -> Iterator[Field]:
        """Yield every field that the selector names."""
        for part in self.parts:
            yield from part.fields()
