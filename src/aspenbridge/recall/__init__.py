"""Recall of model versions and adapters: running work and past results."""

from __future__ import annotations

from ._running import PlacedGrants

__all__ = ["PlacedGrants"]
