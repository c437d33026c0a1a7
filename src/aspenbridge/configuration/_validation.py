"""Validates a configuration change before it is accepted."""

from __future__ import annotations

import re
from collections import Counter
from typing import TYPE_CHECKING, Any

import attrs
import msgspec
from returns.result import Failure

from aspenbridge.result_codes import Problem, ResultCode
from aspenbridge.selectors import ENGINE, SERVED, WORK, Scope, parse_selector

from ._objects import ConfigObject, DrainSpec, RecallSpec, SelectorSpec, spec_class

if TYPE_CHECKING:
    from collections.abc import Sequence

NAME_PATTERN = re.compile(r"[A-Za-z0-9_][A-Za-z0-9_.@+-]{0,127}")
MAX_LABEL_VALUE_CHARS = 128


def find_problem(
    put: Sequence[ConfigObject], removed: Sequence[tuple[str, str]]
) -> Problem | None:
    """Return the first problem of a change, or None if the change is valid."""
    put_ids = [(item.kind, item.name) for item in put]
    for (kind, name), count in Counter([*put_ids, *removed]).items():
        if count > 1:
            return _invalid(f"{kind} {name!r}", f"occurs {count} times in the change")
    for item in put:
        problem = _object_problem(item)
        if problem is not None:
            return problem
    return None


def _object_problem(item: ConfigObject) -> Problem | None:
    object_name = f"{item.kind} {item.name!r}"
    if not NAME_PATTERN.fullmatch(item.name):
        return _invalid(object_name, f"the name does not match {NAME_PATTERN.pattern}")
    for label, value in item.labels.items():
        if not NAME_PATTERN.fullmatch(label):
            return _invalid(
                object_name, f"label {label!r} does not match {NAME_PATTERN.pattern}"
            )
        if len(value) > MAX_LABEL_VALUE_CHARS:
            return _invalid(
                object_name,
                f"the value of label {label!r} is longer than "
                f"{MAX_LABEL_VALUE_CHARS} characters",
            )
    return _spec_problem(item, object_name)


def _spec_problem(item: ConfigObject, object_name: str) -> Problem | None:
    try:
        expected = spec_class(item.kind)
    except KeyError:
        return _invalid(object_name, "there is no such kind of object")
    fields: Any = attrs.fields_dict(expected)
    unknown = sorted(item.spec.keys() - fields.keys())
    if unknown:
        return _invalid(object_name, f"the spec has no field {unknown[0]!r}")
    try:
        spec: object = msgspec.convert(item.spec, type=expected)
    except msgspec.ValidationError as error:
        return _invalid(object_name, str(error))
    for scope, text in _selectors(spec):
        parsed = parse_selector(text, scope)
        if isinstance(parsed, Failure):
            detail = f"{object_name}: {parsed.failure()}"
            return Problem(ResultCode.BAD_SELECTOR, detail)
    return None


def _selectors(spec: object) -> list[tuple[Scope, str]]:
    """Return the selector texts of a spec, each with its scope."""
    match spec:
        case SelectorSpec():
            return [(WORK, spec.work), (ENGINE, spec.engines)]
        case DrainSpec():
            return [(ENGINE, spec.engines)]
        case RecallSpec():
            return [(SERVED, spec.selector)]
        case _:
            return []


def _invalid(object_name: str, reason: str) -> Problem:
    return Problem(ResultCode.BAD_CONFIGURATION, f"{object_name}: {reason}")
