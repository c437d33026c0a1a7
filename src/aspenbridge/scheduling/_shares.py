"""Each customer's guaranteed share of the slots of a group."""

from __future__ import annotations

from collections import Counter
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable

ACTIVE_WINDOW_S = 10.0


class Shares:
    """
    The slots that online requests of each customer use, and the fair shares.

    Slots are divided by weight among the customers that requested a slot
    within the last ``ACTIVE_WINDOW_S``; these also get the shares that the
    idle customers do not use.
    """

    def __init__(self, weight: Callable[[str], float]) -> None:
        self._weight = weight
        self._slots_in_use: Counter[str] = Counter()
        self._last_request_s: dict[str, float] = {}

    def record_request(self, customer: str, now_s: float) -> None:
        """Record that a customer requested a slot."""
        self._last_request_s[customer] = now_s

    def adjust_slots(self, customer: str, change: int) -> None:
        """Add to a customer's slots in use; a negative change frees slots."""
        self._slots_in_use[customer] += change

    def exceeds_share(self, customer: str, slots: int, now_s: float) -> bool:
        """
        Return whether one more slot would exceed the customer's share.

        :param slots: the number of slots of the whole group.
        """
        self._drop_idle(now_s)
        weights = {name: self._weight(name) for name in self._last_request_s}
        own = weights.setdefault(customer, self._weight(customer))
        share = slots * own / sum(weights.values())
        return self._slots_in_use[customer] + 1 > share

    def _drop_idle(self, now_s: float) -> None:
        idle_customers = [
            name
            for name, last_s in self._last_request_s.items()
            if last_s < now_s - ACTIVE_WINDOW_S
        ]
        for name in idle_customers:
            del self._last_request_s[name]
