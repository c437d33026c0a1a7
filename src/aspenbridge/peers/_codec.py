"""Turns messages into Cap'n Proto structs and back."""

from __future__ import annotations

import functools
from pathlib import Path
from typing import Any, get_args, get_type_hints

import attrs
import capnp

from . import _messages
from ._messages import Message

SCHEMA: Any = capnp.load(str(Path(__file__).with_name("messages.capnp")))


def _camel(name: str) -> str:
    head, *rest = name.split("_")
    return head + "".join(part.capitalize() for part in rest)


def _union_name(message_class: type) -> str:
    name = message_class.__name__
    return name[0].lower() + name[1:]


@functools.cache
def _field_names(message_class: Any) -> tuple[tuple[str, str, type | None], ...]:
    hints = get_type_hints(message_class, vars(_messages))
    fields = attrs.fields(message_class)
    return tuple((f.name, _camel(f.name), _nested(hints[f.name])) for f in fields)


def _nested(hint: Any) -> type | None:
    """Return the message class inside a type hint, if there is one."""
    for candidate in (hint, *get_args(hint)):
        if isinstance(candidate, type) and attrs.has(candidate):
            return candidate
    return None


_BY_UNION_NAME = {_union_name(item): item for item in get_args(Message)}


def encode(message: Message) -> dict[str, Any]:
    """Return the fields of an ``Envelope`` that carries the message."""
    return {_union_name(type(message)): _plain(message)}


def _plain(value: Any) -> Any:
    if isinstance(value, tuple):
        return [_plain(item) for item in value]
    message_class: Any = type(value)
    if not attrs.has(message_class):
        return value
    names = _field_names(message_class)
    return {camel: _plain(getattr(value, name)) for name, camel, _ in names}


def decode(envelope: Any) -> Message:
    """
    Return the message that an ``Envelope`` carries.

    :raises KeyError: when it carries a kind that this release does not know.
    """
    kind = envelope.which()
    message_class = _BY_UNION_NAME[str(kind)]
    message: Message = _typed(message_class, getattr(envelope, str(kind)))
    return message


def _typed(message_class: type, struct: Any) -> Any:
    values = {
        name: _value(getattr(struct, camel), nested)
        for name, camel, nested in _field_names(message_class)
    }
    return message_class(**values)


def _value(value: Any, nested: type | None) -> Any:
    if isinstance(value, bool | int | float | str | bytes):
        return value
    if nested is None:
        return tuple(value)
    if hasattr(value, "schema") and not hasattr(value, "__len__"):
        return _typed(nested, value)
    return tuple(_typed(nested, item) for item in value)
