"""
Adapter to the users' platform: its names, message formats and calls.

Everything that the platform sends is decoded here, once, into the types of
the other packages. Scheduling and routing decisions are made elsewhere.

``__main__`` runs an entry host. This module imports nothing, so that the
process can take its signals before the imports, which take half a second.
"""

from __future__ import annotations

__all__: list[str] = []
