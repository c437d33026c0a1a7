"""
Draws the few engines among which a host places an online request.

Answers the load of many hosts that choose by the same late news. If each of
them takes the engine with the lowest load, all take the same one until the
next reports come, and requests queue there while other engines stand idle.
Hosts that each choose between a few engines of their own draw rarely meet.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Protocol, TypeVar

if TYPE_CHECKING:
    from collections.abc import Sequence
    from random import Random

    from ._engines import EngineEntry


class Drawable(Protocol):
    """An engine with the load that this host knows of."""

    @property
    def entry(self) -> EngineEntry:
        """The engine."""

    @property
    def online(self) -> int:
        """Its online requests."""

    @property
    def batch(self) -> int:
        """Its batch items."""

    @property
    def network_delay_s(self) -> float:
        """The delay of the network to it and back."""


Drawn = TypeVar("Drawn", bound=Drawable)

DRAWS = 2  # one meets full engines too often; with more, hosts meet each other
NEAR_DRAWS = 1  # of them among the nearest engines


def draw_engines(engines: Sequence[Drawn], random: Random) -> list[Drawn]:
    """
    Return the engines to choose from in a random order, one of them near.

    They have a free slot, if any engine has one. Otherwise they have one that
    a batch item would give up, if any has; else they may be any.
    """
    pool = _with_room(engines)
    if len(pool) <= DRAWS:
        return random.sample(pool, len(pool))
    nearest_s = min(engine.network_delay_s for engine in pool)
    near = [engine for engine in pool if engine.network_delay_s == nearest_s]
    drawn = random.sample(near, min(NEAR_DRAWS, len(near)))
    others = [engine for engine in pool if engine not in drawn]
    return drawn + random.sample(others, DRAWS - len(drawn))


def _with_room(engines: Sequence[Drawn]) -> Sequence[Drawn]:
    free = [e for e in engines if e.online + e.batch < e.entry.slots]
    return free or [e for e in engines if e.online < e.entry.slots] or engines
