"""
Which batch items leave an engine that has more work than places.

Answers an online burst on engines that several hosts filled with batch items:
every host computes the same order, so that together they stop as many items
as there are requests too many.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Mapping

    from ._load import EngineLoad


def items_to_stop(
    slots: int, own_host: str, own: EngineLoad, others: Mapping[str, EngineLoad]
) -> int:
    """
    Return how many batch items this host has to take off an engine.

    :param slots: the requests that the engine runs at once.
    :param own_host: the name that orders this host among the others.
    :param own: what this host has on the engine.
    :param others: what the other hosts have on it.
    """
    hosts = dict(others) | {own_host: own}
    excess = sum(load.total for load in hosts.values()) - slots
    if excess <= 0 or not own.batch:
        return 0
    for host in sorted(hosts, key=lambda name: (-hosts[name].batch, name)):
        share = min(excess, hosts[host].batch)
        if host == own_host:
            return share
        excess -= share
    return 0
