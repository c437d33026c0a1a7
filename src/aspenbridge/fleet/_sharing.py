"""
Which free places of the engines this host may give to its batch items.

Answers batch items that wait at several hosts which all see the same free
places: every host computes the same deal, so that a place is taken once. The
host whose job is due first is dealt first.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

if TYPE_CHECKING:
    from collections.abc import Mapping, Sequence


@attrs.frozen
class Backlog:
    """Batch items of one host that wait for a place."""

    items: int
    due_wall_s: float  # of the job that is due first


def deal_places(
    own_host: str, backlogs: Mapping[str, Backlog], free: Mapping[str, int]
) -> list[str]:
    """
    Return the engines that this host may start an item on, one entry a place.

    :param own_host: the name that orders this host among the others.
    :param backlogs: what waits at each host, this one included.
    :param free: the free places of each engine.
    """
    places = _spread(free)
    first = 0
    for host in sorted(backlogs, key=lambda name: (backlogs[name].due_wall_s, name)):
        last = first + backlogs[host].items
        if host == own_host:
            return list(places[first:last])
        first = last
    return []


def _spread(free: Mapping[str, int]) -> Sequence[str]:
    """Return all places, those of the emptiest engines first."""
    places = [
        (left, engine_id)
        for engine_id, count in free.items()
        for left in range(count, 0, -1)
    ]
    return [engine_id for _, engine_id in sorted(places, key=lambda p: (-p[0], p[1]))]
