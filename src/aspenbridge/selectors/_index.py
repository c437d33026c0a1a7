"""Index of the objects that each selector matches."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from ._ast import Selector, Subject


class SelectorIndex:
    """
    Keeps the matches of selectors up to date as selectors and objects change.

    All selectors are evaluated on a changed object, and a changed selector on
    all objects; nothing else is evaluated again.

    :ivar evaluations: how often an indexed selector was evaluated so far.
    """

    def __init__(self) -> None:
        self._subjects: dict[str, Subject] = {}
        self._selectors: dict[str, Selector] = {}
        self._matched_names: dict[str, set[str]] = {}
        self.evaluations = 0

    def put_selector(self, key: str, selector: Selector) -> None:
        """Add or replace a selector and evaluate it on every object."""
        if self._selectors.get(key) == selector:
            return
        self._selectors[key] = selector
        self.evaluations += len(self._subjects)
        self._matched_names[key] = {
            name
            for name, subject in self._subjects.items()
            if selector.matches(subject)
        }

    def drop_selector(self, key: str) -> None:
        """Remove a selector."""
        self._selectors.pop(key, None)
        self._matched_names.pop(key, None)

    def put_object(self, name: str, subject: Subject) -> bool:
        """
        Add or replace an object and evaluate every selector on it.

        :return: whether the object is new or has changed.
        """
        if self._subjects.get(name) == subject:
            return False
        self._subjects[name] = subject
        for key, selector in self._selectors.items():
            self.evaluations += 1
            if selector.matches(subject):
                self._matched_names[key].add(name)
            else:
                self._matched_names[key].discard(name)
        return True

    def drop_object(self, name: str) -> None:
        """Remove an object."""
        self._subjects.pop(name, None)
        for names in self._matched_names.values():
            names.discard(name)

    def matched_names(self, key: str) -> set[str]:
        """Return the names of the objects that an indexed selector matches."""
        return self._matched_names.get(key, set())

    def evaluate(self, selector: Selector) -> list[str]:
        """Return the names of the objects that a given selector matches."""
        return [
            name
            for name, subject in self._subjects.items()
            if selector.matches(subject)
        ]

    def matching_selectors(self, name: str) -> list[str]:
        """Return the keys of the indexed selectors that match an object."""
        return [key for key, names in self._matched_names.items() if name in names]
