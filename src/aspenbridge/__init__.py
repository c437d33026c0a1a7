"""Serves online and batch inference on a fleet shared by many customers."""

from __future__ import annotations

__version__ = "0.1.0"

__all__ = ["__version__"]
