"""Reads selectors with lark and checks the fields that they name."""

from __future__ import annotations

import functools
from pathlib import Path
from typing import TYPE_CHECKING, Any

import attrs
from lark import Lark, Token, Transformer
from lark.exceptions import LarkError, UnexpectedInput
from returns.result import Failure, Result, Success

from ._ast import And, Exists, Field, In, Not, Or, Selector

if TYPE_CHECKING:
    from ._scopes import Scope

GRAMMAR_FILE = Path(__file__).with_name("selector.lark")
TEXT_LIMIT = 2_000
NESTING_LIMIT = 50
NAME = "name"


@attrs.frozen
class SelectorError:
    """Why a selector can't be used, and at which column of its text."""

    text: str
    column: int
    reason: str

    def __str__(self) -> str:
        return f"selector {self.text!r}, column {self.column}: {self.reason}"


class _Builder(Transformer[Token, Any]):
    """Turns parse trees into typed tests."""

    def value(self, items: list[Token]) -> Token:
        """Return a value without its quotes."""
        return items[0].update(value=str(items[0]).strip('"'))

    def equal(self, items: list[Token]) -> Selector:
        """Return a test for one value."""
        return In(_field(items[0]), frozenset({str(items[1])}))

    def differ(self, items: list[Token]) -> Selector:
        """Return the opposite of a test for one value."""
        return Not(self.equal(items))

    def member(self, items: list[Token]) -> Selector:
        """Return a test for one of several values."""
        return In(_field(items[0]), frozenset(str(item) for item in items[1:]))

    def exists(self, items: list[Token]) -> Selector:
        """Return a test for any value."""
        return Exists(_field(items[0]))

    def named(self, items: list[Token]) -> Selector:
        """Return a test for the name; a bare value stands for it."""
        field = Field(NAME, items[0].column or 1)
        return In(field, frozenset({str(items[0])}))

    def negated(self, items: list[Selector]) -> Selector:
        """Return the opposite of a selector."""
        return Not(items[0])

    def both(self, items: list[Selector]) -> Selector:
        """Return a selector all of whose parts must match."""
        return And(tuple(items))

    def either(self, items: list[Selector]) -> Selector:
        """Return a selector one of whose parts must match."""
        return Or(tuple(items))


def _field(token: Token) -> Field:
    return Field(str(token), token.column or 1)


@functools.cache
def _parser() -> Lark:
    return Lark(GRAMMAR_FILE.read_text(encoding="utf-8"), parser="lalr")


def parse_selector(text: str, scope: Scope) -> Result[Selector, SelectorError]:
    """
    Read a selector.

    :param scope: what the selector is about, which tells the known fields.
    :return: the selector, or what is wrong and where.
    """
    if len(text) > TEXT_LIMIT:
        reason = f"it has {len(text)} characters, more than {TEXT_LIMIT}"
        return Failure(SelectorError(f"{text[:20]}...", TEXT_LIMIT, reason))
    if text.count("(") + text.count("not") > NESTING_LIMIT:
        return Failure(SelectorError(text, 1, "it is nested too deeply"))
    try:
        selector: Selector = _Builder().transform(_parser().parse(text))
    except UnexpectedInput as error:
        return Failure(SelectorError(text, _column(error, text), "unexpected text"))
    except LarkError as error:
        return Failure(SelectorError(text, 1, str(error)))
    for field in selector.fields():
        if not scope.knows(field.name):
            reason = f"{scope.name} has no field {field.name!r}"
            return Failure(SelectorError(text, field.column, reason))
    return Success(selector)


def _column(error: UnexpectedInput, text: str) -> int:
    token = getattr(error, "token", None)
    if token is not None and token.type == "$END":
        return len(text) + 1
    column = getattr(error, "column", -1)
    return column if isinstance(column, int) and column > 0 else len(text) + 1
