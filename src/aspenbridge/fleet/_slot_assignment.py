"""
Assigns the free slots of engines to the batch items of the hosts.

Batch items wait at several hosts, which may all use the same free slots. Every
host computes the allocation from its own load and backlogs and from the load
reports of the other hosts. The engines of each service are allocated by
themselves, to the items that may run there: items of a service without a free
slot must not wait in front of those of another. Hosts get their slots in the
order of ``Backlog.due_wall_s``, each on the engines that it reaches. Slots
that a host can't use are left to the next one.

Hosts with equal views compute the same allocation, so that each slot is used
once. While views differ, for example after a lost report, two hosts may use
the same slot, or no host uses it, until the next report. If an engine gets
more requests than it has slots, the hosts stop as many of its batch items as
``items_to_preempt`` returns.
"""

from __future__ import annotations

import heapq
from typing import TYPE_CHECKING

import attrs

if TYPE_CHECKING:
    from collections.abc import Iterable, Mapping, Sequence

HEADROOM_SLOTS = 1  # slots of each engine reserved for online requests


def batch_slots(slots: int) -> int:
    """
    Return how many slots of an engine batch items may take.

    An item may take the only slot of an engine; an online request preempts it.
    """
    return max(slots - HEADROOM_SLOTS, 1)


@attrs.frozen
class Backlog:
    """
    Batch items of one host that wait for a slot of one service.

    An item of a route with several services counts for each of them.
    ``due_wall_s`` is the due time of the job whose item starts first at the
    host. A penalty is added to it if that item can't complete in time, so that
    the host gets its slots after those whose items can. ``unreachable`` holds
    the ids of the engines that accept no connection of the host.
    """

    items: int
    due_wall_s: float
    unreachable: frozenset[str] = frozenset()


def assign_slots(
    own_host: str, backlogs: Mapping[str, Backlog], free: Mapping[str, int]
) -> list[str]:
    """
    Return the engines of the slots assigned to this host, one entry per slot.

    :param own_host: the key of this host in ``backlogs``. Hosts with the same
        ``due_wall_s`` are ordered by key.
    :param backlogs: the waiting items of one service by host, this host
        included.
    :param free: the number of free slots by engine of that service.
    """
    own = backlogs.get(own_host)
    if own is None:
        return []
    if any(backlog.unreachable for backlog in backlogs.values()):
        turns = sorted((backlog.due_wall_s, host) for host, backlog in backlogs.items())
        ahead = turns[: turns.index((own.due_wall_s, own_host))]
        return _reachable_slots(own, [backlogs[host] for _, host in ahead], free)
    start = items_ahead((own.due_wall_s, own_host), backlogs)
    return list(_most_free_first(free)[start : start + own.items])


def _reachable_slots(
    own: Backlog, ahead: Iterable[Backlog], free: Mapping[str, int]
) -> list[str]:
    """
    Return the engines of a host's slots if not all hosts reach all engines.

    :param ahead: the backlogs that come before its own, in their order.
    """
    # The engine with the most free slots left comes first, as in
    # ``_most_free_first``.
    engines = [(-count, engine_id) for engine_id, count in free.items()]
    heapq.heapify(engines)
    taken: list[str] = []
    for backlog in (*ahead, own):
        taken = _take_slots(backlog, engines)
    return taken


def _take_slots(backlog: Backlog, engines: list[tuple[int, str]]) -> list[str]:
    """Take the slots of one backlog from a heap; return their engines."""
    taken: list[str] = []
    skipped: list[tuple[int, str]] = []
    while engines and len(taken) < backlog.items:
        free, engine_id = heapq.heappop(engines)
        if engine_id in backlog.unreachable:
            skipped.append((free, engine_id))
            continue
        taken.append(engine_id)
        if free < -1:
            heapq.heappush(engines, (free + 1, engine_id))
    for engine in skipped:
        heapq.heappush(engines, engine)
    return taken


def items_ahead(turn: tuple[float, str], backlogs: Mapping[str, Backlog]) -> int:
    """
    Return the number of items that get their slots before those of a host.

    :param turn: the due time of the host's backlog, and the host.
    """
    return sum(
        backlog.items
        for host, backlog in backlogs.items()
        if (backlog.due_wall_s, host) < turn
    )


def _most_free_first(free: Mapping[str, int]) -> Sequence[str]:
    """
    Return the engine of each free slot, in the order of assignment.

    Each slot is taken from the engine that has the most free slots left; ties
    are broken by engine id.
    """
    slots = [
        (remaining, engine_id)
        for engine_id, count in free.items()
        for remaining in range(count, 0, -1)
    ]
    return [engine_id for _, engine_id in sorted(slots, key=lambda s: (-s[0], s[1]))]
