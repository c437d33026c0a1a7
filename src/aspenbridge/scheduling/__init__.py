"""Assignment of engine slots to requests, shared by all hosts."""

from __future__ import annotations

from ._group import Group, GroupPolicy
from ._local import LocalAdmission
from ._origin import OwnerAdmission
from ._owner import Owner
from ._scheduler import Scheduler

__all__ = [
    "Group",
    "GroupPolicy",
    "LocalAdmission",
    "Owner",
    "OwnerAdmission",
    "Scheduler",
]
