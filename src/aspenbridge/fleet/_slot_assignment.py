"""
Assigns the free slots of engines to the batch items of the hosts.

Batch items wait at several hosts, which may all use the same free slots. Every
host computes the allocation from its own load and backlogs and from the load
reports of the other hosts. The engines of each service are allocated by
themselves, to the items that may run there: items of a service without a free
slot must not wait in front of those of another. Hosts get their slots in the
order of ``Backlog.due_wall_s``.

Hosts with equal views compute the same allocation, so that each slot is used
once. While views differ, for example after a lost report, two hosts may use
the same slot, or no host uses it. If an engine gets more requests than it has
slots, the hosts stop as many of its batch items as ``items_to_preempt``
returns.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

if TYPE_CHECKING:
    from collections.abc import Mapping, Sequence

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
    the host gets its slots after those whose items can.
    """

    items: int
    due_wall_s: float


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
    start = items_ahead((own.due_wall_s, own_host), backlogs)
    return list(_most_free_first(free)[start : start + own.items])


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
