"""The index of open work by the incarnation that owns it."""

from __future__ import annotations

import attrs

from aspenbridge.ports import RowKey

OWNED_TABLE = "owned"
CHUNK = "chunk"
REQUEST = "request"


@attrs.frozen
class OwnedRecord:
    """One piece of open work; removed in the transaction that ends it."""

    kind: str
    name: str


def owned_prefix(incarnation: str) -> str:
    """Return the prefix of the keys of an incarnation's open work."""
    return f"{incarnation}/"


def owned_key(incarnation: str, kind: str, name: str) -> RowKey:
    """Return the index row of one piece of open work."""
    return RowKey(OWNED_TABLE, f"{owned_prefix(incarnation)}{kind}/{name}")
