"""Recall of model versions and adapters: running work and past results."""

from __future__ import annotations

from ._running import RunningGrants

__all__ = ["RunningGrants"]
