"""Errors of starting a host."""

from __future__ import annotations


class StartError(RuntimeError):
    """The host could not start."""
