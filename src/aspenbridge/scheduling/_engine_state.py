"""The state of one engine, as the owner of its group tracks it."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

import attrs

from aspenbridge.lifecycle import load_chart

if TYPE_CHECKING:
    from aspenbridge.ports import EngineLoad

SLOW_STEP_S = 0.045
FAST_STEP_S = 0.036
FAILURES_TO_EJECT = 3
FIRST_EJECTION_S = 2.0
MAX_EJECTION_S = 60.0
PREFILL_TOKENS_PER_S = 10_000.0
STEP_PER_SEQUENCE_S = 0.0005
OVERCOMMIT_FRACTION = 0.25
ONLINE_GROWTH_FRACTION = 0.25
LENDING_RESERVE_FRACTION = 0.1
_CHART = load_chart("engine")


@attrs.define(eq=False)
class OccupiedSlot:
    """
    A slot in use on an engine.

    ``grant`` is the id of the request's grant and ``origin`` the incarnation
    of the host that runs the request. ``granted_s`` is when the owner granted
    the slot, or first read of it in a report. ``charged`` is the largest
    number of tokens that the request may use, on which the charge in advance
    was based; 0 for a slot known only from reports. ``revoked`` slots have
    been taken back for online work, ``cancelled`` means that the engine has
    stopped the request of a revoked slot, and ``protected`` slots can't be
    revoked.
    """

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
        """Whether the slot may be taken back for online work."""
        return not (self.online or self.revoked or self.protected)


@attrs.define(eq=False)
class EngineState:
    """
    The slots in use on one engine, its concurrency limit and its health.

    ``online_slots`` and ``batch_slots`` leave revoked slots out.
    """

    name: str
    max_sequences: int
    slots: dict[str, OccupiedSlot] = attrs.field(factory=dict)
    online_slots: int = 0
    batch_slots: int = 0
    _cancelled_count: int = 0
    state: str = _CHART.initial
    _limit: float = attrs.field()
    _consecutive_failures: int = 0
    _next_ejection_s: float = FIRST_EJECTION_S
    _ejected_until_s: float = 0.0
    _prefill_ends_s: float = 0.0

    @_limit.default
    def _initial_limit(self) -> float:
        return float(self.max_sequences)

    @property
    def limit(self) -> int:
        """The number of sequences that run without slowing steps too much."""
        return min(self.max_sequences, int(self._limit))

    @property
    def free_slots(self) -> int:
        """
        The number of slots not in use; revoked slots count as free.

        Negative after the limit has dropped below the slots in use.
        """
        return self.limit - self.online_slots - self.batch_slots

    def add(self, slot: OccupiedSlot) -> None:
        """Record a slot as in use."""
        self.slots[slot.grant] = slot
        self._adjust_count(slot, 1)

    def remove(self, grant: str) -> OccupiedSlot | None:
        """Free a slot and return it, or return None if it is not in use."""
        slot = self.slots.pop(grant, None)
        if slot is not None:
            self._cancelled_count -= slot.cancelled
            if not slot.revoked:
                self._adjust_count(slot, -1)
        return slot

    def mark_cancelled(self, grant: str) -> None:
        """Record that the engine has stopped the request of a revoked slot."""
        slot = self.slots.get(grant)
        if slot is not None and not slot.cancelled:
            slot.cancelled = True
            self._cancelled_count += 1

    def revoke(self, slot: OccupiedSlot) -> None:
        """Mark a batch slot as taken back and stop counting it as in use."""
        slot.revoked = True
        self._adjust_count(slot, -1)

    def newest_revocable(self) -> OccupiedSlot | None:
        """
        Return the revocable slot that was granted last, or None.

        Its request has probably generated the least, so revoking it wastes
        the least work.
        """
        revocable = [slot for slot in self.slots.values() if slot.revocable]
        return max(revocable, key=lambda slot: slot.granted_s, default=None)

    def overcommitted(self) -> bool:
        """
        Whether the engine runs too many requests to get another one.

        Until revoked requests have ended, the engine may run more requests
        than its limit: by ``OVERCOMMIT_FRACTION`` of it, and by at least one.
        """
        allowed = self.limit + max(1, int(self.limit * OVERCOMMIT_FRACTION))
        return len(self.slots) - self._cancelled_count >= allowed

    def usable(self, now_s: float) -> bool:
        """
        Return whether the engine may get another request.

        The first call after an ejection has ended also changes the state from
        ``ejected`` to ``trial``. In it, the engine gets one request at a time
        until one succeeds.
        """
        if self.state == "ejected" and now_s >= self._ejected_until_s:
            self.state = _CHART.next_state(self.state, "probe")
        if self.state == "trial":
            return not self.slots
        return self.state == "healthy"

    def free_batch_slots(self, headroom: float, expected_online: float) -> int:
        """
        Return how many more slots batch may use; may be negative.

        Slots are reserved for online work: a fraction ``headroom`` of those
        that online work does not use yet, or the expected growth of online
        work if that is more.

        :param expected_online: online requests expected to arrive before a
            revoked batch slot would be free.
        """
        available = self.limit - self.online_slots
        growth = math.ceil(expected_online + ONLINE_GROWTH_FRACTION * self.online_slots)
        reserve = max(int(headroom * available), growth)
        return available - self.batch_slots - reserve

    def lending_reserve(self) -> int:
        """Return how many slots are kept from customers above their share."""
        return max(1, int(LENDING_RESERVE_FRACTION * self.limit))

    def prefill_done(self, now_s: float) -> bool:
        """Whether the engine has probably processed all prompts sent to it."""
        return now_s >= self._prefill_ends_s

    def add_prefill(self, prompt_tokens: int, now_s: float) -> None:
        """
        Add the estimated prefill time of a prompt.

        Prompts are assumed to be processed one after the other.
        """
        start_s = max(now_s, self._prefill_ends_s)
        self._prefill_ends_s = start_s + prompt_tokens / PREFILL_TOKENS_PER_S

    def first_token_delay_s(self, now_s: float) -> float:
        """Estimate by how long running work delays a new first token."""
        prefill_s = max(0.0, self._prefill_ends_s - now_s)
        return prefill_s + STEP_PER_SEQUENCE_S * (self.online_slots + self.batch_slots)

    def apply_load(self, load: EngineLoad) -> None:
        """
        Adapt the concurrency limit to a load report of the engine.

        If decoding steps take longer than ``SLOW_STEP_S``, the new limit is
        the number of running sequences, reduced in proportion; slow steps of a
        single sequence leave the limit as it is. Each report with steps
        shorter than ``FAST_STEP_S`` raises the limit by one.
        """
        if load.step_s > SLOW_STEP_S and load.running > 1:
            self._limit = max(1.0, load.running * SLOW_STEP_S / load.step_s)
        elif load.step_s < FAST_STEP_S:
            self._limit = min(float(self.max_sequences), self._limit + 1.0)

    def record_outcome(self, *, failed: bool, now_s: float) -> None:
        """
        Record whether a request succeeded or failed on the engine.

        ``FAILURES_TO_EJECT`` failures in a row eject the engine, and so does
        one failure of the request that tries it after an ejection. Until a
        request succeeds, each ejection lasts twice as long as the one before,
        up to ``MAX_EJECTION_S``.
        """
        if not failed:
            self._consecutive_failures = 0
            if _CHART.allows(self.state, "succeed"):
                self.state = _CHART.next_state(self.state, "succeed")
                self._next_ejection_s = FIRST_EJECTION_S
            return
        self._consecutive_failures += 1
        if self.state == "trial" or self._consecutive_failures >= FAILURES_TO_EJECT:
            self._eject(now_s)

    def _eject(self, now_s: float) -> None:
        if not _CHART.allows(self.state, "fail"):
            return
        self.state = _CHART.next_state(self.state, "fail")
        self._ejected_until_s = now_s + self._next_ejection_s
        self._next_ejection_s = min(MAX_EJECTION_S, 2 * self._next_ejection_s)
        self._consecutive_failures = 0

    def _adjust_count(self, slot: OccupiedSlot, change: int) -> None:
        if slot.online:
            self.online_slots += change
        else:
            self.batch_slots += change
