"""A retry budget that only new requests refill."""

from __future__ import annotations

DEFAULT_BURST = 64.0  # the most retries that a budget holds


class RetryBudget:
    """
    Allows an average number of retries for each new request.

    The budget does not grow with time, so that retries can't keep a fleet busy
    that gets no new requests.
    """

    def __init__(self, per_request: float, burst: float = DEFAULT_BURST) -> None:
        self._per_request = per_request
        self._burst = burst
        self._available = burst
        self.refused = 0  # retries for which the budget was too small

    def count_request(self) -> None:
        """Refill the budget for a new request."""
        self._available = min(self._burst, self._available + self._per_request)

    def try_spend(self) -> bool:
        """Use one retry; return False if none is available."""
        if self._available < 1.0:
            self.refused += 1
            return False
        self._available -= 1.0
        return True
