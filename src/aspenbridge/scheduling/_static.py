"""Places that a host may use while it can't reach a group's owner."""

from __future__ import annotations

from collections import Counter
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable

    from aspenbridge.ports import Engine
    from aspenbridge.routing import EngineGroup

BATCH_PART = 4


class StaticShare:
    """An equal part of each engine for each live host, mostly for online."""

    def __init__(self, hosts: Callable[[], int]) -> None:
        self._hosts = hosts
        self._online: Counter[str] = Counter()
        self._batch: Counter[str] = Counter()

    def take(self, group: EngineGroup, *, online: bool) -> Engine | None:
        """Return an engine with a place left in this host's part."""
        used = self._online if online else self._batch
        engine = min(group.engines, key=lambda item: used[item.name])
        if used[engine.name] >= self._part(engine, online=online):
            return None
        used[engine.name] += 1
        return engine

    def give_back(self, engine: str, *, online: bool) -> None:
        """Count a place as free again."""
        used = self._online if online else self._batch
        used[engine] -= 1

    def _part(self, engine: Engine, *, online: bool) -> int:
        part = engine.max_sequences // max(1, self._hosts())
        return max(1, part) if online else part // BATCH_PART
