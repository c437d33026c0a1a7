"""HTTP towards callers and operators."""

from __future__ import annotations

from ._app import make_app

__all__ = ["make_app"]
