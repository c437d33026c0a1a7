"""A budget of retries that only new work fills."""

from __future__ import annotations

BURST = 64.0


class RetryBudget:
    """
    Allows a number of retries for each new request, on average.

    Nothing fills the budget with time, so retries can't keep a fleet busy
    that does no new work.
    """

    def __init__(self, per_request: float, burst: float = BURST) -> None:
        self._per_request = per_request
        self._burst = burst
        self._left = burst
        self.refused = 0

    def count_request(self) -> None:
        """Count a new request."""
        self._left = min(self._burst, self._left + self._per_request)

    def take(self) -> bool:
        """Use one retry; return False when there is none left."""
        if self._left < 1.0:
            self.refused += 1
            return False
        self._left -= 1.0
        return True
