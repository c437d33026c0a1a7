"""Parses selectors with lark and checks the fields that they name."""

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
MAX_TEXT_LENGTH = 2_000
# Limits how many "(" and "not" a text has in all, which is at least its depth.
MAX_NESTING = 50
NAME_FIELD = "name"


@attrs.frozen
class SelectorError:
    """Why a selector is invalid, and the 1-based column of the error."""

    text: str
    column: int
    reason: str

    def __str__(self) -> str:
        return f"selector {self.text!r}, column {self.column}: {self.reason}"


class _TreeBuilder(Transformer[Token, Any]):
    """
    Turns the parse tree into the tree of ``_ast``.

    Each method has the name of a rule or an alias in ``selector.lark``.
    """

    def value(self, items: list[Token]) -> Token:
        """Return a value without its quotation marks."""
        return items[0].update(value=str(items[0]).strip('"'))

    def equal(self, items: list[Token]) -> Selector:
        """Return a test for one value."""
        return In(_make_field(items[0]), frozenset({str(items[1])}))

    def differ(self, items: list[Token]) -> Selector:
        """Return the negation of a test for one value."""
        return Not(self.equal(items))

    def member(self, items: list[Token]) -> Selector:
        """Return a test for one of several values."""
        return In(_make_field(items[0]), frozenset(str(item) for item in items[1:]))

    def exists(self, items: list[Token]) -> Selector:
        """Return a test that the field has a value."""
        return Exists(_make_field(items[0]))

    def named(self, items: list[Token]) -> Selector:
        """Return a test for the object's name, given as a bare value."""
        field = Field(NAME_FIELD, items[0].column or 1)
        return In(field, frozenset({str(items[0])}))

    def negated(self, items: list[Selector]) -> Selector:
        """Return the negation of a selector."""
        return Not(items[0])

    def both(self, items: list[Selector]) -> Selector:
        """Return the conjunction of selectors."""
        return And(tuple(items))

    def either(self, items: list[Selector]) -> Selector:
        """Return the disjunction of selectors."""
        return Or(tuple(items))


def _make_field(token: Token) -> Field:
    return Field(str(token), token.column or 1)


@functools.cache
def _parser() -> Lark:
    return Lark(GRAMMAR_FILE.read_text(encoding="utf-8"), parser="lalr")


def parse_selector(text: str, scope: Scope) -> Result[Selector, SelectorError]:
    """
    Parse a selector.

    :param scope: the kind of subject, which determines the allowed fields.
    :return: the selector, or the error with its column.
    """
    if len(text) > MAX_TEXT_LENGTH:
        reason = f"it has {len(text)} characters, more than {MAX_TEXT_LENGTH}"
        return Failure(SelectorError(f"{text[:20]}...", MAX_TEXT_LENGTH, reason))
    if text.count("(") + text.count("not") > MAX_NESTING:
        return Failure(SelectorError(text, 1, "it is nested too deeply"))
    try:
        selector: Selector = _TreeBuilder().transform(_parser().parse(text))
    except UnexpectedInput as error:
        return Failure(
            SelectorError(text, _error_column(error, text), "unexpected text")
        )
    except LarkError as error:
        return Failure(SelectorError(text, 1, str(error)))
    for field in selector.fields():
        if not scope.has_field(field.name):
            reason = f"{scope.name} has no field {field.name!r}"
            return Failure(SelectorError(text, field.column, reason))
    return Success(selector)


def _error_column(error: UnexpectedInput, text: str) -> int:
    token = getattr(error, "token", None)
    if token is not None and token.type == "$END":
        return len(text) + 1
    column = getattr(error, "column", -1)
    return column if isinstance(column, int) and column > 0 else len(text) + 1
