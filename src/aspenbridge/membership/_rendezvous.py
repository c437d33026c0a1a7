"""Rendezvous hashing: who should own what, from the member list alone."""

from __future__ import annotations

from typing import TYPE_CHECKING

import xxhash

if TYPE_CHECKING:
    from collections.abc import Iterable


def score(owner: str, thing: str) -> int:
    """Return the weight of an owner for a thing; the highest wins."""
    return xxhash.xxh3_64_intdigest(f"{owner}\0{thing}".encode())


def rank(owners: Iterable[str], thing: str) -> list[str]:
    """Return the owners, the preferred one first."""
    return sorted(owners, key=lambda owner: (score(owner, thing), owner), reverse=True)
