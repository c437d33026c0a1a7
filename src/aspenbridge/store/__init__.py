"""Durable records: typed rows, write tokens and group commit."""

from __future__ import annotations

from ._changes import Changes
from ._group import GroupCommitter
from ._records import (
    RecordError,
    Stored,
    decode_record,
    encode_record,
    readable_record,
    record_bytes,
)
from ._store import Store, StoreError

__all__ = [
    "Changes",
    "GroupCommitter",
    "RecordError",
    "Store",
    "StoreError",
    "Stored",
    "decode_record",
    "encode_record",
    "readable_record",
    "record_bytes",
]
