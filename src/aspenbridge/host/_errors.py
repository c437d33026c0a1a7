"""Errors that occur when a host starts."""

from __future__ import annotations


class StartError(RuntimeError):
    """The host can't start; the message names the cause."""
