"""
Adapter to the users' platform: its names, message formats and calls.

Everything that the platform sends is decoded here, once, into the types of
the other packages. Scheduling and routing decisions are made elsewhere.
"""

from __future__ import annotations

from ._serve import serve_entry
from ._settings import SettingsError

__all__ = ["SettingsError", "serve_entry"]
