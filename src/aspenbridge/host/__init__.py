"""One entry host: its parts joined, and the loops that keep it going."""

from __future__ import annotations

from ._core import HostCore
from ._errors import StartError
from ._ports import Ports

__all__ = ["HostCore", "Ports", "StartError"]
