"""Which objects each selector matches, kept as both change."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from ._ast import Selector, Subject


class SelectorIndex:
    """Evaluates again only what a change touches."""

    def __init__(self) -> None:
        self._subjects: dict[str, Subject] = {}
        self._selectors: dict[str, Selector] = {}
        self._matched: dict[str, set[str]] = {}
        self.evaluations = 0

    def put_selector(self, key: str, selector: Selector) -> None:
        """Add or replace a selector; evaluates it on every object."""
        if self._selectors.get(key) == selector:
            return
        self._selectors[key] = selector
        self.evaluations += len(self._subjects)
        self._matched[key] = {
            name
            for name, subject in self._subjects.items()
            if selector.matches(subject)
        }

    def drop_selector(self, key: str) -> None:
        """Remove a selector."""
        self._selectors.pop(key, None)
        self._matched.pop(key, None)

    def put_object(self, name: str, subject: Subject) -> bool:
        """
        Add or replace an object; evaluates every selector on it.

        :return: whether the object differs from what it was.
        """
        if self._subjects.get(name) == subject:
            return False
        self._subjects[name] = subject
        for key, selector in self._selectors.items():
            self.evaluations += 1
            if selector.matches(subject):
                self._matched[key].add(name)
            else:
                self._matched[key].discard(name)
        return True

    def drop_object(self, name: str) -> None:
        """Remove an object."""
        self._subjects.pop(name, None)
        for matched in self._matched.values():
            matched.discard(name)

    def matched(self, key: str) -> set[str]:
        """Return the names that a selector matches."""
        return self._matched.get(key, set())

    def matching(self, selector: Selector) -> list[str]:
        """Return the names that a selector not kept here would match."""
        return [
            name
            for name, subject in self._subjects.items()
            if selector.matches(subject)
        ]

    def matchers(self, name: str) -> list[str]:
        """Return the keys of the selectors that match an object."""
        return [key for key, matched in self._matched.items() if name in matched]
