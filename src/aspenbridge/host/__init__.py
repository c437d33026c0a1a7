"""One entry host: its parts joined, and the loops that keep it going."""

from __future__ import annotations

from ._core import HostCore, Ports
from ._errors import StartError

__all__ = ["HostCore", "Ports", "StartError"]
