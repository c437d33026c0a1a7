"""Rendezvous hashing: selects owners from the member list alone."""

from __future__ import annotations

from typing import TYPE_CHECKING

import xxhash

if TYPE_CHECKING:
    from collections.abc import Iterable


def score(owner: str, key: str) -> int:
    """Return the weight of an owner for a key; the highest weight wins."""
    return xxhash.xxh3_64_intdigest(f"{owner}\0{key}".encode())


def rank(owners: Iterable[str], key: str) -> list[str]:
    """Return the owners by descending weight for a key."""
    return sorted(owners, key=lambda owner: (score(owner, key), owner), reverse=True)
