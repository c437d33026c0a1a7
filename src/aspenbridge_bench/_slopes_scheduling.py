"""Measures the cost of assigning a slot at the owner of an engine group."""

from __future__ import annotations

import itertools
from functools import partial
from typing import TYPE_CHECKING

from aspenbridge.peers import GrantRequest
from aspenbridge.scheduling import Group, GroupPolicy

from ._fit import Point, Slope, fit
from ._measure import cpu_s, resident_bytes

if TYPE_CHECKING:
    from collections.abc import Iterator

ENGINES = tuple(f"engine-{number:05d}" for number in range(16))
SLOTS = 32
IN_USE = (32, 128, 480)
WAITING = (16, 64, 240)
NOW_S = 1_000.0
CALLS = 300


def _request(number: int, *, online: bool = True) -> GrantRequest:
    return GrantRequest(
        grant=f"grant-{number:024x}",
        group="model-1/region-0/03",
        online=online,
        customer=f"customer-{number % 40:05d}",
        prompt_tokens=420,
        max_tokens=256,
        prefix_hashes=(number % 64, 1_000 + number % 64),
        engines=ENGINES,
        wait_s=30.0,
        origin=f"host-{number % 420:03d}",
        due_in_s=3_600.0,
    )


def _group(in_use: int) -> Group:
    group = Group(GroupPolicy(), lambda _: SLOTS, lambda _: 1.0, NOW_S, grace_s=0.0)
    for number in range(in_use):
        group.request(_request(number), NOW_S)
        group.assign_slots(NOW_S)
    return group


def _slot_cost(in_use: int) -> float:
    """Return the processor seconds to request, assign and release a slot."""
    group, numbers = _group(in_use), itertools.count(in_use)

    def assign_one() -> None:
        _assign_and_release(group, numbers)

    return cpu_s(assign_one, CALLS)


def _assign_and_release(group: Group, numbers: Iterator[int]) -> None:
    request = _request(next(numbers))
    group.request(request, NOW_S)
    group.assign_slots(NOW_S)
    group.release(request.grant, NOW_S, tokens=180, failed=False)


def _queue_cost(waiting: int) -> float:
    """Return the processor seconds of one assignment run in a full group."""
    group = _group(len(ENGINES) * SLOTS)
    for number in range(10_000, 10_000 + waiting):
        group.request(_request(number), NOW_S)
    return cpu_s(lambda: group.assign_slots(NOW_S), CALLS)


def scheduling_slopes() -> list[Slope]:
    """Return the slopes over slots in use and over waiting requests."""
    cost = [Point(n, _slot_cost(n)) for n in IN_USE]
    state = [Point(n, resident_bytes(partial(_group, n))) for n in IN_USE]
    queue = [Point(n, _queue_cost(n)) for n in WAITING]
    return [
        fit("place given and released", "s", "places in use", cost),
        fit("group state", "bytes", "places in use", state),
        fit("full group settled", "s", "requests waiting", queue),
    ]
