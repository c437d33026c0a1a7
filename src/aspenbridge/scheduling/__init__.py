"""Who puts how much work on which engine."""

from __future__ import annotations

from ._group import Group, GroupPolicy
from ._local import LocalAdmission
from ._owner import Owner

__all__ = ["Group", "GroupPolicy", "LocalAdmission", "Owner"]
