"""Tests of who loses a place when callers crowd a host."""

from __future__ import annotations

import attrs
import pytest

from aspenbridge.limits import (
    KeyedShares,
    MemoryBudget,
    MemoryShares,
    Places,
    Wait,
    place_limit,
)

SMALLEST_MACHINE_BYTES = 88_000_000
LARGEST_BODY_BYTES = 4 * 1024 * 1024


@attrs.define(eq=False)
class Caller:
    memory: object = None
    wait: Wait | None = None
    given_up: bool = False

    def give_up(self) -> None:
        self.given_up = True
        if self.memory is not None:
            self.memory.close()


@attrs.define
class Clock:
    now_s: float = 100.0

    def read_s(self) -> float:
        return self.now_s


def waiting(since_s, *, between_requests=False, moving=False) -> Caller:
    return Caller(wait=Wait(since_s, between_requests, moving))


def full_places(*callers):
    places = Places(MemoryBudget(), len(callers), Clock().read_s)
    assert all(places.add(caller) for caller in callers)
    return places


def test_stalled_caller_loses_its_place_before_idle_ones():
    idle = waiting(50.0, between_requests=True)
    stalled, served = waiting(90.0, moving=True), Caller()
    places = full_places(idle, served, stalled)
    assert places.add(Caller())
    assert (idle.given_up, served.given_up, stalled.given_up) == (False, False, True)


def test_longest_idle_connection_loses_its_place_when_none_is_stalled():
    fresh = waiting(99.9)
    idle = [waiting(since_s, between_requests=True) for since_s in (80.0, 70.0)]
    places = full_places(fresh, *idle)
    assert places.add(Caller())
    assert [caller.given_up for caller in (fresh, *idle)] == [False, False, True]


def test_new_connections_find_no_place_beside_requests_under_way():
    crowding = []
    sending, served = waiting(99.5, moving=True), Caller()
    places = full_places(sending, served)
    places.on_crowding = crowding.append
    assert not places.add(Caller())
    assert not (sending.given_up or served.given_up)
    assert [entry.refused for entry in crowding] == [1]


def test_place_is_free_once_its_connection_has_ended():
    caller = Caller()
    places = full_places(caller)
    places.remove(caller)
    places.remove(caller)
    assert places.add(Caller())


def test_memory_is_taken_from_the_callers_that_stalled_first():
    clock, budget = Clock(), MemoryBudget(1000)
    places = Places(budget, 10, clock.read_s)
    budget.on_short = places.free_memory
    callers = [Caller(budget.hold(), Wait(s, False, True)) for s in (90, 80, 99.5)]
    idle = Caller(budget.hold(), Wait(10.0, True))
    for caller in (*callers, idle):
        assert places.add(caller)
        assert caller.memory.reserve(240)
    assert budget.hold().reserve(200)
    assert [caller.given_up for caller in callers] == [False, True, False]
    assert not budget.hold().reserve(500)  # one has not stalled for long enough
    clock.now_s += 2.0
    assert budget.hold().reserve(500)
    assert all(caller.given_up for caller in callers)
    assert not idle.given_up


def test_memory_of_a_connection_that_has_ended_is_not_held_again():
    budget = MemoryBudget(1000)
    share = budget.hold()
    assert share.grow(100)
    share.close()
    assert not share.grow(1)
    assert not share.reserve(1)
    assert budget.free_bytes == 1000


@pytest.mark.parametrize("machine_mb", [88, 128, 170, 330, 552])
def test_shares_stay_within_the_machine_and_hold_one_large_body(machine_mb):
    shares = MemoryShares.of(machine_mb * 1_000_000)
    held = shares.requests_bytes + shares.connections_bytes + shares.jobs_bytes
    assert held < machine_mb * 1_000_000 - 50_000_000
    assert MemoryBudget(shares.requests_bytes).hold().grow(LARGEST_BODY_BYTES)


@pytest.mark.parametrize("descriptors", [600, 4100, 8200])
def test_descriptors_are_kept_back_for_engines_and_the_store(descriptors):
    places = place_limit(descriptors, 10**9)
    assert places > descriptors // 10
    assert 3 * places < descriptors - 200


def test_route_holds_no_more_than_half_of_the_memory_and_of_the_connections():
    budget = MemoryBudget(1000)
    shares = KeyedShares(budget, max_requests=5)
    requests = []
    for _ in range(20):
        held = budget.hold()
        hold = shares.hold("slow", 100)
        if held.reserve(100) and hold.__enter__():
            requests.append((held, hold))
        else:
            hold.__exit__(None, None, None)
            held.close()
    assert len(requests) == 5
    with shares.hold("other", 100) as allowed:
        assert allowed


def test_route_may_hold_memory_again_after_its_requests_are_answered():
    shares = KeyedShares(MemoryBudget(1000), max_requests=1)
    with shares.hold("r", 100) as first, shares.hold("r", 100) as second:
        assert (first, second) == (True, False)
    with shares.hold("r", 100) as again:
        assert again
