"""What the owner of a group knows of one of its engines."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

import attrs

from aspenbridge.lifecycle import load_chart

if TYPE_CHECKING:
    from aspenbridge.ports import EngineLoad

STEP_LIMIT_S = 0.045
STEP_RELAXED_S = 0.036
FAILURES_TO_EJECT = 3
EJECTED_FIRST_S = 2.0
EJECTED_MOST_S = 60.0
PREFILL_TOKENS_PER_S = 10_000.0
STEP_PER_SEQUENCE_S = 0.0005
OVERCOMMIT = 0.25
GROWTH_PART = 0.25
LENT_PART = 0.1
_CHART = load_chart("engine")


@attrs.define(eq=False)
class Holding:
    """One place in use."""

    grant: str
    engine: str
    online: bool
    customer: str
    origin: str
    granted_s: float
    charged: float = 0.0
    prefix_hashes: tuple[int, ...] = ()
    prompt_tokens: int = 0
    revoked: bool = False
    cancelled: bool = False
    protected: bool = False

    @property
    def revocable(self) -> bool:
        """Whether online work may have the place."""
        return not (self.online or self.revoked or self.protected)


@attrs.define(eq=False)
class EngineState:
    """Places in use on one engine, its limit and its health."""

    name: str
    max_sequences: int
    holdings: dict[str, Holding] = attrs.field(factory=dict)
    online: int = 0
    batch: int = 0
    _cancelled: int = 0
    state: str = _CHART.initial
    _limit: float = attrs.field()
    _failures: int = 0
    _ejected_for_s: float = EJECTED_FIRST_S
    _ejected_until_s: float = 0.0
    _prefill_free_s: float = 0.0

    @_limit.default
    def _whole_limit(self) -> float:
        return float(self.max_sequences)

    @property
    def limit(self) -> int:
        """How many sequences may run without slowing the steps too far."""
        return min(self.max_sequences, int(self._limit))

    @property
    def free(self) -> int:
        """Places not in use; those that batch was told to leave count."""
        return self.limit - self.online - self.batch

    def add(self, holding: Holding) -> None:
        """Count a place as in use."""
        self.holdings[holding.grant] = holding
        self._count(holding, 1)

    def remove(self, grant: str) -> Holding | None:
        """Count a place as free again; None when it was already."""
        holding = self.holdings.pop(grant, None)
        if holding is not None:
            self._cancelled -= holding.cancelled
            if not holding.revoked:
                self._count(holding, -1)
        return holding

    def cancelled(self, grant: str) -> None:
        """Take in that the engine has stopped the work of a revoked place."""
        holding = self.holdings.get(grant)
        if holding is not None and not holding.cancelled:
            holding.cancelled = True
            self._cancelled += 1

    def revoke(self, holding: Holding) -> None:
        """Stop counting a batch place whose holder is told to leave."""
        holding.revoked = True
        self._count(holding, -1)

    def newest_batch(self) -> Holding | None:
        """Return the batch place that has least to lose."""
        batch = [x for x in self.holdings.values() if x.revocable]
        return max(batch, key=lambda item: item.granted_s, default=None)

    def overcommitted(self) -> bool:
        """Whether too many revoked places are still running."""
        most = self.limit + max(1, int(self.limit * OVERCOMMIT))
        return len(self.holdings) - self._cancelled >= most

    def usable(self, now_s: float) -> bool:
        """Whether new work may go here; one sequence tries a sick engine."""
        if self.state == "ejected" and now_s >= self._ejected_until_s:
            self.state = _CHART.next_state(self.state, "probe")
        if self.state == "trial":
            return not self.holdings
        return self.state == "healthy"

    def batch_room(self, headroom: float, expected_online: float) -> int:
        """Return the room that online work will not need soon."""
        left = self.limit - self.online
        growth = math.ceil(expected_online + GROWTH_PART * self.online)
        reserve = max(int(headroom * left), growth)
        return left - self.batch - reserve

    def lending_reserve(self) -> int:
        """Return the places that no customer gets beyond its share."""
        return max(1, int(LENT_PART * self.limit))

    def prefill_ready(self, now_s: float) -> bool:
        """Whether the prompts sent here have probably been read."""
        return now_s >= self._prefill_free_s

    def prefill(self, prompt_tokens: int, now_s: float) -> None:
        """Count a prompt as being read; one is read after the other."""
        start_s = max(now_s, self._prefill_free_s)
        self._prefill_free_s = start_s + prompt_tokens / PREFILL_TOKENS_PER_S

    def slowness_s(self, now_s: float) -> float:
        """Return by how much running work delays a new first token."""
        reading_s = max(0.0, self._prefill_free_s - now_s)
        return reading_s + STEP_PER_SEQUENCE_S * (self.online + self.batch)

    def report(self, load: EngineLoad) -> None:
        """Bring the limit down while steps are slow, and up again after."""
        if load.step_s > STEP_LIMIT_S and load.running > 1:
            self._limit = max(1.0, load.running * STEP_LIMIT_S / load.step_s)
        elif load.step_s < STEP_RELAXED_S:
            self._limit = min(float(self.max_sequences), self._limit + 1.0)

    def outcome(self, *, failed: bool, now_s: float) -> None:
        """Count a success or a failure of work that ran here."""
        if not failed:
            self._failures = 0
            if _CHART.allows(self.state, "succeed"):
                self.state = _CHART.next_state(self.state, "succeed")
                self._ejected_for_s = EJECTED_FIRST_S
            return
        self._failures += 1
        if self.state == "trial" or self._failures >= FAILURES_TO_EJECT:
            self._eject(now_s)

    def _eject(self, now_s: float) -> None:
        if not _CHART.allows(self.state, "fail"):
            return
        self.state = _CHART.next_state(self.state, "fail")
        self._ejected_until_s = now_s + self._ejected_for_s
        self._ejected_for_s = min(EJECTED_MOST_S, 2 * self._ejected_for_s)
        self._failures = 0

    def _count(self, holding: Holding, change: int) -> None:
        if holding.online:
            self.online += change
        else:
            self.batch += change
