"""Encoding of typed records as the values of rows."""

from __future__ import annotations

import logging
from typing import Generic, TypeVar

import attrs
import msgspec

from aspenbridge.ports import RowKey

Record = TypeVar("Record")
logger = logging.getLogger(__name__)
TOKEN_BYTES = 16


class RecordError(ValueError):
    """The value of a row holds no record of the class that is asked for."""


@attrs.frozen
class Stored(Generic[Record]):
    """A record as read, with the key and version that a later check needs."""

    key: RowKey
    record: Record
    version: int


def encode_record(record: object, token: bytes) -> bytes:
    """
    Return the value of a row: the token, then the record as JSON.

    :param record: an ``attrs`` object of plain fields.
    :param token: identifies the transaction that writes the value;
        ``TOKEN_BYTES`` long.
    """
    return token + msgspec.json.encode(record)


def record_bytes(record: object) -> int:
    """Return the size of the value of a row that holds a record, in bytes."""
    return TOKEN_BYTES + len(msgspec.json.encode(record))


def decode_record(value: bytes, record_class: type[Record]) -> Record:
    """
    Return the record in the value of a row.

    :raises RecordError: when the value doesn't hold a record of the class.
    """
    try:
        return msgspec.json.decode(value[TOKEN_BYTES:], type=record_class)
    except (ValueError, RecursionError) as error:
        raise RecordError(f"value is no {record_class.__name__}: {error}") from error


def readable_record(
    key: RowKey, value: bytes, record_class: type[Record]
) -> Record | None:
    """
    Return the record in a row, or None with a warning if it holds none.

    For readers that go on without the row, which may be of another writer or
    of another build.
    """
    try:
        return decode_record(value, record_class)
    except RecordError as error:
        logger.warning("row %r of table %s is skipped: %s", key.key, key.table, error)
        return None


def token_of(value: bytes) -> bytes:
    """Return the token of the transaction that wrote a value."""
    return value[:TOKEN_BYTES]
