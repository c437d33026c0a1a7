"""Which part of a group's places each customer may count on."""

from __future__ import annotations

from collections import Counter
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable

ACTIVE_S = 10.0


class Shares:
    """Places by customer; the share of an idle customer is lent."""

    def __init__(self, weight: Callable[[str], float]) -> None:
        self._weight = weight
        self._held: Counter[str] = Counter()
        self._seen_s: dict[str, float] = {}

    def seen(self, customer: str, now_s: float) -> None:
        """Take in that a customer asks for places."""
        self._seen_s[customer] = now_s

    def hold(self, customer: str, change: int) -> None:
        """Count places that a customer got or gave back."""
        self._held[customer] += change

    def beyond(self, customer: str, places: int, now_s: float) -> bool:
        """Return whether one more place would be beyond the share."""
        self._forget(now_s)
        weights = {name: self._weight(name) for name in self._seen_s}
        own = weights.setdefault(customer, self._weight(customer))
        share = places * own / sum(weights.values())
        return self._held[customer] + 1 > share

    def _forget(self, now_s: float) -> None:
        idle = [x for x, seen_s in self._seen_s.items() if seen_s < now_s - ACTIVE_S]
        for name in idle:
            del self._seen_s[name]
