"""Recognises requests that crash engines, whatever host they reach."""

from __future__ import annotations

from ._fingerprint import request_fingerprint

__all__ = ["request_fingerprint"]
