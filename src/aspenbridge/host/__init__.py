"""One entry host: assembles its components and runs its background tasks."""

from __future__ import annotations

from ._core import HostCore
from ._errors import StartError
from ._ports import Ports

__all__ = ["HostCore", "Ports", "StartError"]
