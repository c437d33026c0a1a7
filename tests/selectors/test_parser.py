"""Parsing of selectors, and rejection with the column of the error."""

from __future__ import annotations

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from returns.result import Failure, Success

from aspenbridge.selectors import ENGINE, WORK, parse_selector

SUBJECT = {
    "name": frozenset({"engine-1"}),
    "region": frozenset({"savo"}),
    "adapter": frozenset({"tone@1", "tone@2"}),
    "labels.order": frozenset({"first"}),
}


@pytest.mark.parametrize(
    ("text", "expected"),
    [
        ("engine-1", True),
        ("region = savo", True),
        ('region = "savo"', True),
        ("region != savo", False),
        ("adapter = tone@2", True),
        ("adapter in (tone@3, tone@1)", True),
        ("exists labels.order", True),
        ("not exists labels.pool", True),
        ("region = a or region = savo and labels.order = first", True),
        ("(region = a or region = savo) and labels.order = last", False),
        ("not region = savo or not labels.order = first", False),
        ("labels.order = order or labels.order = android", False),
    ],
)
def test_selector_matches_the_subject_as_expected(text, expected) -> None:
    selector = parse_selector(text, ENGINE).unwrap()
    assert selector.matches(SUBJECT) is expected


@pytest.mark.parametrize(
    ("text", "column", "reason"),
    [
        ("regoin = savo", 1, "an engine has no field 'regoin'"),
        ("region = savo and customer = x", 19, "no field 'customer'"),
        ("region = ", 10, "unexpected"),
        ("region = savo region = a", 15, "unexpected"),
        ("adapter in ()", 13, "unexpected"),
        ("labels. = x", 1, "no field 'labels.'"),
        ("", 1, "unexpected"),
        ("(" * 60 + "a" + ")" * 60, 1, "nested"),
    ],
)
def test_invalid_selector_is_rejected_with_the_column(text, column, reason) -> None:
    error = parse_selector(text, ENGINE).failure()
    assert reason in error.reason
    assert error.column == column


@settings(max_examples=200, deadline=None, derandomize=True)
@given(st.text(alphabet='ab=!()",. \nornotadi\\é\0', max_size=60))
def test_parser_returns_a_result_for_arbitrary_text(text) -> None:
    assert isinstance(parse_selector(text, WORK), Success | Failure)
