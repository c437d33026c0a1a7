"""Finds what is wrong with a change before it is accepted."""

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
LABEL_VALUE_LIMIT = 128


def find_fault(
    put: Sequence[ConfigObject], removed: Sequence[tuple[str, str]]
) -> Problem | None:
    """Return the first fault of a change, or None."""
    places = [(item.kind, item.name) for item in put]
    for (kind, name), count in Counter([*places, *removed]).items():
        if count > 1:
            return _bad(f"{kind} {name!r}", f"stands {count} times in the change")
    for item in put:
        fault = _object_fault(item)
        if fault is not None:
            return fault
    return None


def _object_fault(item: ConfigObject) -> Problem | None:
    place = f"{item.kind} {item.name!r}"
    if not NAME_PATTERN.fullmatch(item.name):
        return _bad(place, f"the name does not match {NAME_PATTERN.pattern}")
    for label, value in item.labels.items():
        if not NAME_PATTERN.fullmatch(label):
            return _bad(place, f"label {label!r} does not match {NAME_PATTERN.pattern}")
        if len(value) > LABEL_VALUE_LIMIT:
            return _bad(place, f"label {label!r} is longer than {LABEL_VALUE_LIMIT}")
    return _spec_fault(item, place)


def _spec_fault(item: ConfigObject, place: str) -> Problem | None:
    try:
        known = spec_class(item.kind)
    except KeyError:
        return _bad(place, "there is no such kind")
    fields: Any = attrs.fields_dict(known)
    unknown = sorted(item.spec.keys() - fields.keys())
    if unknown:
        return _bad(place, f"there is no field {unknown[0]!r}")
    try:
        spec: object = msgspec.convert(item.spec, type=known)
    except msgspec.ValidationError as error:
        return _bad(place, str(error))
    for scope, text in _selectors(spec):
        parsed = parse_selector(text, scope)
        if isinstance(parsed, Failure):
            detail = f"{place}: {parsed.failure()}"
            return Problem(ResultCode.BAD_SELECTOR, detail)
    return None


def _selectors(spec: object) -> list[tuple[Scope, str]]:
    match spec:
        case SelectorSpec():
            return [(WORK, spec.work), (ENGINE, spec.engines)]
        case DrainSpec():
            return [(ENGINE, spec.engines)]
        case RecallSpec():
            return [(SERVED, spec.selector)]
        case _:
            return []


def _bad(place: str, reason: str) -> Problem:
    return Problem(ResultCode.BAD_CONFIGURATION, f"{place}: {reason}")
