"""Encodes messages as Cap'n Proto structs and decodes them."""

from __future__ import annotations

import functools
from enum import Enum
from pathlib import Path
from typing import Any, get_args, get_origin, get_type_hints

import attrs
import capnp

from . import _messages
from ._messages import Message

SCHEMA: Any = capnp.load(str(Path(__file__).with_name("messages.capnp")))
ENVELOPE: Any = SCHEMA.Envelope


class _Kind(Enum):
    """What a field of a message holds."""

    PLAIN = "a number, a text or bytes"
    PLAIN_LIST = "a tuple of plain values"
    STRUCT = "a message"
    STRUCT_LIST = "a tuple of messages"


@attrs.frozen
class _Field:
    """
    A field of a message class, and its name in the Cap'n Proto struct.

    ``nested`` is the class of the messages that the field holds; None if its
    values are plain.
    """

    name: str
    struct_name: str
    kind: _Kind
    nested: Any


def _camel_case(name: str) -> str:
    head, *rest = name.split("_")
    return head + "".join(part.capitalize() for part in rest)


def _union_name(message_class: type) -> str:
    name = message_class.__name__
    return name[0].lower() + name[1:]


@functools.cache
def _fields(message_class: Any) -> tuple[_Field, ...]:
    hints = get_type_hints(message_class, vars(_messages))
    return tuple(
        _Field(field.name, _camel_case(field.name), *_kind_of(hints[field.name]))
        for field in attrs.fields(message_class)
    )


def _kind_of(hint: Any) -> tuple[_Kind, Any]:
    is_list = get_origin(hint) is tuple
    inner = get_args(hint)[0] if is_list else hint
    if isinstance(inner, type) and attrs.has(inner):
        return (_Kind.STRUCT_LIST if is_list else _Kind.STRUCT), inner
    return (_Kind.PLAIN_LIST if is_list else _Kind.PLAIN), None


_CLASS_BY_UNION_NAME = {_union_name(item): item for item in get_args(Message)}
_UNION_NAMES = {item: name for name, item in _CLASS_BY_UNION_NAME.items()}


def encode_message(message: Message) -> bytes:
    """Return a message as the packed bytes of an ``Envelope``."""
    envelope = ENVELOPE.new_message()
    _fill_struct(envelope.init(_UNION_NAMES[type(message)]), message)
    body: bytes = envelope.to_bytes_packed()
    return body


def decode_message(body: bytes) -> Message:
    """
    Return the message in the packed bytes of an ``Envelope``.

    :raises capnp.KjException: if the bytes are not a valid envelope, or this
        release does not know the kind of message.
    """
    envelope = ENVELOPE.from_bytes_packed(body)
    kind = str(envelope.which())
    message: Message = _read_struct(_CLASS_BY_UNION_NAME[kind], getattr(envelope, kind))
    return message


def _fill_struct(struct: Any, message: Any) -> None:
    """Set the fields that are not zero or empty, which is their default."""
    message_class: Any = type(message)
    for field in _fields(message_class):
        value = getattr(message, field.name)
        if field.kind is _Kind.STRUCT:
            _fill_struct(struct.init(field.struct_name), value)
        elif not value:
            continue
        elif field.kind is _Kind.STRUCT_LIST:
            items = struct.init(field.struct_name, len(value))
            for index, item in enumerate(value):
                _fill_struct(items[index], item)
        elif field.kind is _Kind.PLAIN_LIST:
            setattr(struct, field.struct_name, list(value))
        else:
            setattr(struct, field.struct_name, value)


def _read_struct(message_class: Any, struct: Any) -> Any:
    """Return the message that a struct holds, nested messages included."""
    values = []
    for field in _fields(message_class):
        value = getattr(struct, field.struct_name)
        if field.kind is _Kind.STRUCT:
            value = _read_struct(field.nested, value)
        elif field.kind is _Kind.STRUCT_LIST:
            value = tuple(_read_struct(field.nested, item) for item in value)
        elif field.kind is _Kind.PLAIN_LIST:
            value = tuple(value)
        values.append(value)
    return message_class(*values)
