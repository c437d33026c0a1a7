"""
Selectors: boolean expressions over labels and built-in fields.

A selector picks engines, served models or work by their fields, as in
``region = a and not labels.pool = batch``.
"""

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
