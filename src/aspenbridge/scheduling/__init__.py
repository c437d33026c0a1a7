"""Who puts how much work on which engine."""

from __future__ import annotations

from ._local import LocalAdmission

__all__ = ["LocalAdmission"]
