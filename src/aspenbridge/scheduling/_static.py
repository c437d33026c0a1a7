"""Slots that a host may use while the owner of a group does not answer."""

from __future__ import annotations

from collections import Counter
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable

    from aspenbridge.ports import Engine
    from aspenbridge.routing import EngineGroup

BATCH_DIVISOR = 4


class StaticShare:
    """
    A fixed share of each engine's slots for this host.

    Online requests may use the slots of an engine divided by the number of
    live hosts, and at least one; batch requests a quarter of that, rounded
    down.

    :param live_hosts: returns the number of live hosts.
    """

    def __init__(self, live_hosts: Callable[[], int]) -> None:
        self._live_hosts = live_hosts
        self._online: Counter[str] = Counter()
        self._batch: Counter[str] = Counter()

    def acquire_slot(self, group: EngineGroup, *, online: bool) -> Engine | None:
        """
        Use a slot of the least used engine of a group.

        :return: the engine, or None if this host already uses its whole share
            of that engine.
        """
        in_use = self._online if online else self._batch
        engine = min(group.engines, key=lambda candidate: in_use[candidate.name])
        if in_use[engine.name] >= self._slot_limit(engine, online=online):
            return None
        in_use[engine.name] += 1
        return engine

    def release_slot(self, engine: str, *, online: bool) -> None:
        """Free a slot of this host's share."""
        in_use = self._online if online else self._batch
        in_use[engine] -= 1

    def _slot_limit(self, engine: Engine, *, online: bool) -> int:
        share = engine.max_sequences // max(1, self._live_hosts())
        return max(1, share) if online else share // BATCH_DIVISOR
