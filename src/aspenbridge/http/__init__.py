"""The HTTP API of a host for customers and operators."""

from __future__ import annotations

from ._app import make_app
from ._auth import key_digest

__all__ = ["key_digest", "make_app"]
