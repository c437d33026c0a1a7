"""How a typed record becomes the value of a row."""

from __future__ import annotations

from typing import Generic, TypeVar

import attrs
import msgspec

from aspenbridge.ports import RowKey

Record = TypeVar("Record")
TOKEN_BYTES = 16


@attrs.frozen
class Stored(Generic[Record]):
    """A record as it was read, with what a later check needs."""

    key: RowKey
    record: Record
    version: int


def encode_record(record: object, token: bytes) -> bytes:
    """
    Return the value of a row.

    :param record: an ``attrs`` object of plain fields.
    :param token: names the transaction that writes it.
    """
    return token + msgspec.json.encode(record)


def decode_record(value: bytes, record_class: type[Record]) -> Record:
    """
    Return the record that a row's value holds.

    :raises msgspec.ValidationError: when it is of another class.
    """
    return msgspec.json.decode(value[TOKEN_BYTES:], type=record_class)


def token_of(value: bytes) -> bytes:
    """Return the token of the transaction that wrote a value."""
    return value[:TOKEN_BYTES]
