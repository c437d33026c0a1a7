"""Grouping of engines by model and region, and hints of cached prefixes."""

from __future__ import annotations

from ._groups import EngineGroup, group_engines, region_of
from ._prefixes import PrefixIndex, prefix_hashes

__all__ = ["EngineGroup", "PrefixIndex", "group_engines", "prefix_hashes", "region_of"]
