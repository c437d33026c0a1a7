"""Weighted fair queue of the requests that wait for a slot."""

from __future__ import annotations

import heapq
import itertools
from bisect import bisect_left, insort
from typing import TYPE_CHECKING

import attrs

if TYPE_CHECKING:
    from collections.abc import Callable, Iterator

    from aspenbridge.peers import GrantRequest

MAX_HEADS_TRIED = 4


@attrs.define(eq=False)
class QueuedRequest:
    """
    A request for a slot that waits for an answer.

    All times are on the owner's monotonic clock. The request is refused at
    ``expires_s``; its work must be done by ``due_s``.
    """

    request: GrantRequest
    arrived_s: float
    expires_s: float
    due_s: float

    @property
    def tokens(self) -> int:
        """The largest number of tokens that the request may use."""
        return self.request.prompt_tokens + self.request.max_tokens


_Entry = tuple[float, int, QueuedRequest]


class FairQueue:
    """
    Serves the customer with the fewest tokens charged per unit of weight.

    The virtual time is the lowest such value among the customers that waited
    at the latest grant. A customer whose queue was empty starts at that time
    unless its own value is higher, so that the share that it did not use is
    lent to the others and can't be saved up.

    :param weight: returns the weight of a customer.
    :param fair: if false, all customers share one queue.
    """

    def __init__(self, weight: Callable[[str], float], *, fair: bool) -> None:
        self._weight = weight
        self._fair = fair
        self._queues: dict[str, list[_Entry]] = {}
        self._entries: dict[str, _Entry] = {}
        self._expiries: list[tuple[float, str]] = []
        self._weighted_tokens: dict[str, float] = {}
        self._virtual_time = 0.0
        self._sequence = itertools.count()

    def __len__(self) -> int:
        return len(self._entries)

    def __iter__(self) -> Iterator[QueuedRequest]:
        return (queued for _, _, queued in self._entries.values())

    def push(self, queued: QueuedRequest) -> None:
        """Add a request; a customer's requests are ordered by due time."""
        key = self._queue_key(queued.request.customer)
        if key not in self._queues:
            self._queues[key] = []
            self._weighted_tokens[key] = max(
                self._weighted_tokens.get(key, 0.0), self._virtual_time
            )
        entry = (queued.due_s, next(self._sequence), queued)
        insort(self._queues[key], entry)
        self._entries[queued.request.grant] = entry
        heapq.heappush(self._expiries, (queued.expires_s, queued.request.grant))

    def pop(
        self,
        find_engine: Callable[[QueuedRequest], str | None],
        urgency: Callable[[QueuedRequest], float],
    ) -> tuple[QueuedRequest, str] | None:
        """
        Remove and return the next request that an engine has a slot for.

        Of each customer's queue only the first ``MAX_HEADS_TRIED`` requests
        are tried. The customer of the returned request is charged the largest
        number of tokens that the request may use, divided by its urgency.

        :param find_engine: returns the engine for a request, or None.
        :param urgency: returns the factor by which the charge of a request is
            divided.
        :return: the request and its engine, or None if no request has one.
        """
        ordered = sorted(self._queues, key=self._weighted_tokens.__getitem__)
        for key in ordered:
            for entry in self._queues[key][:MAX_HEADS_TRIED]:
                queued = entry[2]
                engine = find_engine(queued)
                if engine is not None:
                    self._virtual_time = self._weighted_tokens[ordered[0]]
                    self._remove_entry(entry)
                    charge = queued.tokens / urgency(queued)
                    self.charge(queued.request.customer, charge)
                    return queued, engine
        return None

    def charge(self, customer: str, tokens: float) -> None:
        """
        Charge tokens to a customer.

        :param tokens: negative to correct an earlier charge that was too high.
        """
        key = self._queue_key(customer)
        weighted_tokens = self._weighted_tokens.get(key, self._virtual_time)
        self._weighted_tokens[key] = weighted_tokens + tokens / self._weight(customer)

    def remove(self, grant: str) -> QueuedRequest | None:
        """Remove and return the request with this grant id, or return None."""
        entry = self._entries.get(grant)
        if entry is None:
            return None
        self._remove_entry(entry)
        return entry[2]

    def expire(self, now_s: float) -> list[QueuedRequest]:
        """Remove and return the requests whose ``expires_s`` has passed."""
        expired = []
        while self._expiries and self._expiries[0][0] <= now_s:
            queued = self.remove(heapq.heappop(self._expiries)[1])
            if queued is not None:
                expired.append(queued)
        return expired

    def requests_ahead(self, customer: str) -> int:
        """
        Estimate how many requests precede a new one of a customer.

        The estimate assumes that customers are served in turn, whatever their
        weights: of each customer's queue, at most as many requests are ahead
        as the position of the new request in its own queue.
        """
        own_position = len(self._queues.get(self._queue_key(customer), ())) + 1
        return sum(min(len(queue), own_position) for queue in self._queues.values())

    def newest_of_longest_queue(self) -> QueuedRequest | None:
        """Return the newest request of the customer with the longest queue."""
        if not self._queues:
            return None
        longest = max(self._queues.values(), key=len)
        return max(longest, key=lambda entry: entry[1])[2]

    def _queue_key(self, customer: str) -> str:
        return customer if self._fair else ""

    def _remove_entry(self, entry: _Entry) -> None:
        request = entry[2].request
        key = self._queue_key(request.customer)
        queue = self._queues[key]
        del queue[bisect_left(queue, entry)]
        del self._entries[request.grant]
        if not queue:
            del self._queues[key]
