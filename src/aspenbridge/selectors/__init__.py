"""Selectors over labels and built-in fields."""

from __future__ import annotations

from ._ast import And, Exists, Field, In, Not, Or, Selector, Subject
from ._index import SelectorIndex
from ._parser import SelectorError, parse_selector
from ._scopes import ENGINE, SERVED, WORK, Scope

__all__ = [
    "ENGINE",
    "SERVED",
    "WORK",
    "And",
    "Exists",
    "Field",
    "In",
    "Not",
    "Or",
    "Scope",
    "Selector",
    "SelectorError",
    "SelectorIndex",
    "Subject",
    "parse_selector",
]
