"""The platform's names, formats and calls; decides nothing."""

from __future__ import annotations

from ._serve import serve_entry
from ._settings import SettingsError

__all__ = ["SettingsError", "serve_entry"]
