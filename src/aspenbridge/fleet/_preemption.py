"""
How many batch items are preempted on an engine with too many requests.

A burst of online requests may reach engines that several hosts filled with
batch items. Every host computes the same order of hosts, so that together they
stop as many items as the engine has requests beyond its slots.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Mapping

    from ._load import EngineLoad


def items_to_preempt(
    slots: int, own_host: str, own: EngineLoad, others: Mapping[str, EngineLoad]
) -> int:
    """
    Return how many batch items this host has to stop on an engine.

    :param slots: the requests that the engine runs at once.
    :param own_host: the name that orders this host among the others.
    :param own: this host's load on the engine.
    :param others: the other hosts' load on it, by host.
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
