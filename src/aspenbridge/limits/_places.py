"""
Decides which connections of callers a host gives up when it is full.

The load is a crowd of callers that keep connections open: they send nothing,
never end their requests, or take no answers. Such a caller loses its place
before ordinary ones do.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Protocol

import attrs

if TYPE_CHECKING:
    from collections.abc import Callable

    from ._memory_budget import MemoryBudget

# Of a connection with its parser and task, before a request has come.
PLACE_BYTES = 16 * 1024
# A caller that the host has waited for so long makes no progress.
STALLED_S = 1.0
# How long a search that has found no one to give up stands, for memory and
# for places; a search looks at all places.
MEMORY_SEARCH_INTERVAL_S = 0.1
PLACE_SEARCH_INTERVAL_S = 0.02
# Of all places, one in so many is freed at once.
FREED_SHARE = 64
REPORT_INTERVAL_S = 1.0
RESERVED_FILES = 200  # of the descriptors of a machine
# For the store, other hosts, and the ports of readiness and metrics.
OWN_DESCRIPTORS = 96
# Of its caller, of its engine, and of the engine that takes over.
DESCRIPTORS_PER_REQUEST = 3
MIN_PLACES = 16


@attrs.frozen
class Wait:
    """
    A host's wait for a caller.

    :ivar since_s: when it began, or the caller last made progress.
    :ivar between_requests: whether the caller has got all its answers and has
        sent nothing of a next request.
    """

    since_s: float
    between_requests: bool
    moving: bool = False  # whether a body or an answer is under way


@attrs.define
class Crowding:
    """What became of connections since the last report, for lack of room."""

    refused: int = 0
    given_up: int = 0


class Place(Protocol):
    """The connection of one caller."""

    @property
    def wait(self) -> Wait | None:
        """The wait for the caller, if it is the caller's turn."""

    def give_up(self) -> None:
        """Free at once what the connection holds, and close it."""


def place_limit(max_descriptors: int, connections_bytes: int) -> int:
    """
    Return how many connections callers may have.

    Descriptors are kept back for engines, the store and other hosts.

    :param connections_bytes: what the connections as such may hold.
    """
    usable = max_descriptors - RESERVED_FILES - OWN_DESCRIPTORS
    return max(
        MIN_PLACES,
        min(usable // DESCRIPTORS_PER_REQUEST, connections_bytes // PLACE_BYTES),
    )


class Places:
    """
    The connections that callers have at one time.

    :param limit: how many there may be.
    :param now_s: returns the monotonic time.
    """

    def __init__(
        self, budget: MemoryBudget, limit: int, now_s: Callable[[], float]
    ) -> None:
        self._budget = budget
        self._limit = limit
        self._now_s = now_s
        self._places: dict[Place, None] = {}
        self._next_memory_search_s = self._next_place_search_s = 0.0
        self._crowding = Crowding()
        self._next_report_s = 0.0
        # Called at most once per ``REPORT_INTERVAL_S``.
        self.on_crowding: Callable[[Crowding], None] = lambda crowding: None

    def __len__(self) -> int:
        return len(self._places)

    def add(self, place: Place) -> bool:
        """
        Give a new connection a place, if need be that of another one.

        :return: whether there is a place for it.
        """
        if len(self._places) >= self._limit:
            self._free_places()
        if len(self._places) >= self._limit:
            self._crowding.refused += 1
            self._report()
            return False
        self._places[place] = None
        return True

    def remove(self, place: Place) -> None:
        """Free the place of a connection, if it still has one."""
        self._places.pop(place, None)

    def free_memory(self, needed_bytes: int) -> None:
        """Give up stalled callers until so many bytes are free."""
        now_s = self._now_s()
        if now_s < self._next_memory_search_s:
            return
        for place in self._longest_waiting(now_s - STALLED_S, between_requests=False):
            if needed_bytes <= self._budget.free_bytes:
                return
            self._give_up(place)
        if needed_bytes > self._budget.free_bytes:
            self._next_memory_search_s = now_s + MEMORY_SEARCH_INTERVAL_S

    def _free_places(self) -> None:
        """
        Give up some connections for new ones.

        Stalled callers come first, then those that have sent no whole head for
        the longest time, also if they are between requests.
        """
        now_s, count = self._now_s(), 1 + self._limit // FREED_SHARE
        if now_s < self._next_place_search_s:
            return
        chosen = self._longest_waiting(now_s - STALLED_S, between_requests=False)
        if not chosen:
            chosen = self._longest_waiting(now_s, between_requests=True)
        if not chosen:
            self._next_place_search_s = now_s + PLACE_SEARCH_INTERVAL_S
        for place in chosen[:count]:
            self._give_up(place)

    def _longest_waiting(
        self, until_s: float, *, between_requests: bool
    ) -> list[Place]:
        """
        Return places whose hosts have waited since a time, the longest first.

        :param between_requests: whether to return those that are between
            requests, and leave out those that are under way.
        """
        waits = ((place, place.wait) for place in self._places)
        found = [
            (wait.since_s, place)
            for place, wait in waits
            if wait is not None
            and wait.since_s <= until_s
            and (not wait.moving if between_requests else not wait.between_requests)
        ]
        found.sort(key=lambda entry: entry[0])
        return [place for _, place in found]

    def _give_up(self, place: Place) -> None:
        self.remove(place)
        place.give_up()
        self._crowding.given_up += 1
        self._report()

    def _report(self) -> None:
        now_s = self._now_s()
        if now_s >= self._next_report_s:
            self._next_report_s = now_s + REPORT_INTERVAL_S
            crowding, self._crowding = self._crowding, Crowding()
            self.on_crowding(crowding)


__all__ = [
    "PLACE_BYTES",
    "STALLED_S",
    "Crowding",
    "Place",
    "Places",
    "Wait",
    "place_limit",
]
