"""Index of open work items by the incarnation that owns them."""

from __future__ import annotations

import attrs

from aspenbridge.ports import RowKey

OWNED_TABLE = "owned"
CHUNK = "chunk"
REQUEST = "request"


@attrs.frozen
class OwnedRecord:
    """One open work item; the commit that ends it deletes the row."""

    kind: str
    name: str


def owned_prefix(incarnation: str) -> str:
    """Return the key prefix of an incarnation's open work items."""
    return f"{incarnation}/"


def owned_key(incarnation: str, kind: str, name: str) -> RowKey:
    """Return the key of the index row of one open work item."""
    return RowKey(OWNED_TABLE, f"{owned_prefix(incarnation)}{kind}/{name}")
