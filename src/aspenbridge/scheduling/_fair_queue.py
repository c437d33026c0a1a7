"""Requests that wait for a place, shared fairly between customers."""

from __future__ import annotations

import heapq
import itertools
from bisect import bisect_left, insort
from typing import TYPE_CHECKING

import attrs

if TYPE_CHECKING:
    from collections.abc import Callable, Iterator

    from aspenbridge.peers import GrantRequest

HEADS_TRIED = 4


@attrs.define(eq=False)
class Waiter:
    """One request for a place that has not been answered."""

    request: GrantRequest
    arrived_s: float
    expires_s: float
    due_s: float

    @property
    def tokens(self) -> int:
        """What the request may use at most."""
        return self.request.prompt_tokens + self.request.max_tokens


_Entry = tuple[float, int, Waiter]


class FairQueue:
    """
    Serves the customer that was given the fewest tokens for its weight.

    A customer that comes back after a pause starts level with the others, so
    that an idle share is lent and can't be saved up.
    """

    def __init__(self, weight: Callable[[str], float], *, fair: bool) -> None:
        self._weight = weight
        self._fair = fair
        self._waiting: dict[str, list[_Entry]] = {}
        self._entries: dict[str, _Entry] = {}
        self._expiry: list[tuple[float, str]] = []
        self._served: dict[str, float] = {}
        self._floor = 0.0
        self._order = itertools.count()

    def __len__(self) -> int:
        return len(self._entries)

    def __iter__(self) -> Iterator[Waiter]:
        return (waiter for _, _, waiter in self._entries.values())

    def push(self, waiter: Waiter) -> None:
        """Add a request; those due first of one customer go first."""
        name = self._name(waiter.request.customer)
        if name not in self._waiting:
            self._waiting[name] = []
            self._served[name] = max(self._served.get(name, 0.0), self._floor)
        entry = (waiter.due_s, next(self._order), waiter)
        insort(self._waiting[name], entry)
        self._entries[waiter.request.grant] = entry
        heapq.heappush(self._expiry, (waiter.expires_s, waiter.request.grant))

    def pop(
        self, place: Callable[[Waiter], str | None], urgency: Callable[[Waiter], float]
    ) -> tuple[Waiter, str] | None:
        """
        Take the next request for which there is a place.

        :param place: returns the engine for a request, or None.
        :param urgency: factor by which a request counts for less.
        """
        ordered = sorted(self._waiting, key=self._served.__getitem__)
        for name in ordered:
            for entry in self._waiting[name][:HEADS_TRIED]:
                waiter = entry[2]
                engine = place(waiter)
                if engine is not None:
                    self._floor = self._served[ordered[0]]
                    self._take(entry)
                    charge = waiter.tokens / urgency(waiter)
                    self.charge(waiter.request.customer, charge)
                    return waiter, engine
        return None

    def charge(self, customer: str, tokens: float) -> None:
        """Count tokens as given; negative when fewer were used."""
        name = self._name(customer)
        served = self._served.get(name, self._floor)
        self._served[name] = served + tokens / self._weight(customer)

    def remove(self, grant: str) -> Waiter | None:
        """Take out the request with this grant id, if it waits."""
        entry = self._entries.get(grant)
        if entry is None:
            return None
        self._take(entry)
        return entry[2]

    def expire(self, now_s: float) -> list[Waiter]:
        """Take out the requests that have waited too long."""
        late = []
        while self._expiry and self._expiry[0][0] <= now_s:
            waiter = self.remove(heapq.heappop(self._expiry)[1])
            if waiter is not None:
                late.append(waiter)
        return late

    def ahead_of(self, customer: str) -> int:
        """Return how many requests would be served before a new one."""
        own = len(self._waiting.get(self._name(customer), ())) + 1
        return sum(min(len(waiting), own) for waiting in self._waiting.values())

    def newest_of_largest(self) -> Waiter | None:
        """Return the newest request of the customer with most waiting."""
        if not self._waiting:
            return None
        largest = max(self._waiting.values(), key=len)
        return max(largest, key=lambda entry: entry[1])[2]

    def _name(self, customer: str) -> str:
        return customer if self._fair else ""

    def _take(self, entry: _Entry) -> None:
        request = entry[2].request
        name = self._name(request.customer)
        waiting = self._waiting[name]
        del waiting[bisect_left(waiting, entry)]
        del self._entries[request.grant]
        if not waiting:
            del self._waiting[name]
