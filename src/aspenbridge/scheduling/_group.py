"""Assignment of the slots of one engine group, made by its owner."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

from aspenbridge.routing import PrefixIndex

from ._engine_state import EngineState, OccupiedSlot
from ._fair_queue import FairQueue, QueuedRequest
from ._rates import Rate
from ._slot_table import SlotTable

if TYPE_CHECKING:
    from collections.abc import Callable

    from aspenbridge.peers import GrantRequest

ONLINE_WAIT_LIMIT_S = 1.0
# Assumed time until the request of a revoked batch slot has ended. The online
# request that gets the slot does not wait for that: it is granted at once, and
# the engine may run both requests until then.
REVOCATION_TIME_S = 0.1
NEW_OWNER_GRACE_S = 1.5
URGENT_BEFORE_DUE_S = 600.0
# A batch request that is due soon is charged its largest possible number of
# tokens divided by this.
URGENT_CHARGE_DIVISOR = 4.0
BATCH_STARVED_AFTER_S = 10.0
# With affinity, an engine is left out if it runs more requests than one plus
# this many times the average of the candidates.
LOAD_BOUND_FACTOR = 1.25


@attrs.frozen
class GroupPolicy:
    """
    Settings for the assignment of slots.

    :param isolation: whether online requests go before batch requests and may
        take slots back from them. Otherwise all requests share one queue.
    :param fairness: whether customers are served by weight instead of in the
        order of due times. If so, customers above their share of the group's
        slots also have to leave some slots of each engine free (see
        ``EngineState.lending_reserve``).
    :param affinity: whether requests prefer engines that have cached a prefix
        of their prompt.
    :param online_headroom: the fraction of the slots not used by online
        requests that batch leaves free on each engine.
    :param queue_limit: the largest number of online requests that may wait;
        without isolation, batch requests count as well.
    """

    isolation: bool = True
    fairness: bool = True
    affinity: bool = True
    online_headroom: float = 0.1
    queue_limit: int = 256


@attrs.define
class SlotChanges:
    """Slots granted and revoked, and requests refused, by one assignment."""

    granted: list[tuple[QueuedRequest, str]] = attrs.field(factory=list)
    revoked: list[OccupiedSlot] = attrs.field(factory=list)
    refused: list[QueuedRequest] = attrs.field(factory=list)


class Group:
    """
    The slots in use and the queued requests of one engine group; does no I/O.

    The owner passes the hosts' reports of the slots that they use to
    ``slots.apply_report``. For the first ``grace_s`` seconds some reports may
    be missing, so half of the slots of each engine are left free, and batch
    gets no slot. Batch may still get one of the other half if isolation is
    off, or if ``grace_s`` exceeds ``BATCH_STARVED_AFTER_S``.

    :param max_sequences: returns the number of slots of an engine.
    :param weight: returns the weight of a customer.
    """

    def __init__(
        self,
        policy: GroupPolicy,
        max_sequences: Callable[[str], int],
        weight: Callable[[str], float],
        now_s: float,
        *,
        grace_s: float = NEW_OWNER_GRACE_S,
    ) -> None:
        self._policy = policy
        # Without isolation, this queue also holds the batch requests.
        self._online = FairQueue(weight, fair=policy.fairness)
        batch = FairQueue(weight, fair=policy.fairness)
        self._batch = batch if policy.isolation else self._online
        self._arrivals = Rate(now_s)
        self._releases = Rate(now_s)
        self._grace_until_s = now_s + grace_s
        # The creation of the group counts as a grant.
        self._last_batch_grant_s = now_s
        self.slots = SlotTable(max_sequences, weight)
        self.prefixes = PrefixIndex()

    @property
    def running(self) -> int:
        """The number of slots in use, revoked ones included."""
        return len(self.slots)

    @property
    def queue_length(self) -> int:
        """The number of queued requests."""
        batch = 0 if self._batch is self._online else len(self._batch)
        return len(self._online) + batch

    def request(self, request: GrantRequest, now_s: float) -> QueuedRequest:
        """Queue a request; ``assign_slots`` later grants or refuses it."""
        # Creates the states of new engines, whose slots then count when the
        # shares of customers are computed.
        for engine in request.engines:
            self.slots.engine(engine)
        wait_s = request.wait_s
        if request.online:
            self._arrivals.count(now_s)
            self.slots.shares.record_request(request.customer, now_s)
            wait_s = min(wait_s, ONLINE_WAIT_LIMIT_S)
        queued = QueuedRequest(request, now_s, now_s + wait_s, now_s + request.due_in_s)
        self._queue_for(request.online).push(queued)
        return queued

    def queued_requests(self) -> list[QueuedRequest]:
        """Return all queued requests."""
        if self._batch is self._online:
            return list(self._online)
        return [*self._online, *self._batch]

    def withdraw(self, grant_id: str) -> None:
        """
        Remove a queued request that its origin no longer waits for.

        :param grant_id: the id that the origin gave to the request; a slot
            granted for it has the same id.
        """
        if self._online.remove(grant_id) is None:
            self._batch.remove(grant_id)

    def release(
        self, grant_id: str, now_s: float, *, tokens: int, failed: bool
    ) -> OccupiedSlot | None:
        """
        Free a slot, record the request's outcome and correct its charge.

        Unless the slot was revoked, it counts for the rate of releases, and
        for the engine's health if the request failed or generated tokens. If
        tokens were generated, the engine is assumed to cache the prompt.

        The correction is the tokens used minus the largest possible number,
        also if only a part of that number was charged because the request was
        urgent. Slots known only from reports have no charge to correct.

        :param grant_id: the id of the request for which the slot was granted.
        :param tokens: the number of generated tokens.
        :return: the slot, or None if it was not in use.
        """
        slot = self.slots.remove(grant_id)
        if slot is None:
            return None
        if not slot.revoked:
            self._releases.count(now_s)
            if failed or tokens:
                state = self.slots.engine(slot.engine)
                state.record_outcome(failed=failed, now_s=now_s)
        if tokens:
            self.prefixes.record(slot.engine, slot.prefix_hashes)
        if slot.charged:
            queue = self._queue_for(slot.online)
            used_tokens = tokens + slot.prompt_tokens
            queue.charge(slot.customer, used_tokens - slot.charged)
        return slot

    def expected_wait_s(self, customer: str, now_s: float) -> float:
        """
        Estimate how long a new online request would wait.

        ``ONLINE_WAIT_LIMIT_S`` is returned while there is no rate of releases
        to compute an estimate from. It is not an upper bound of the estimate.
        """
        ahead = self._online.requests_ahead(customer)
        if not ahead:
            return 0.0
        rate = self._releases.per_s(now_s)
        return ahead / rate if rate > 0 else ONLINE_WAIT_LIMIT_S

    def assign_slots(self, now_s: float) -> SlotChanges:
        """Assign free slots to queued requests and refuse expired requests."""
        changes = SlotChanges()
        changes.refused += self._online.expire(now_s)
        if self._batch is not self._online:
            changes.refused += self._batch.expire(now_s)
        if self._policy.isolation:
            self._assign_starved_batch(changes, now_s)
        self._assign_online(changes, now_s)
        self._refuse_excess(changes)
        if self._policy.isolation:
            self._assign_batch(changes, now_s)
        return changes

    def _assign_online(self, changes: SlotChanges, now_s: float) -> None:
        # If no slot is free, the search for an engine revokes a batch slot.
        def find_engine(queued: QueuedRequest) -> str | None:
            engine = self._online_engine(queued, now_s)
            if engine is None and self._policy.isolation:
                engine = self._revoke_batch_slot(queued, changes, now_s)
            return engine

        # The divisor 1.0 charges each request in full.
        while (popped := self._online.pop(find_engine, lambda _: 1.0)) is not None:
            self._occupy(*popped, changes, now_s)

    def _assign_starved_batch(self, changes: SlotChanges, now_s: float) -> None:
        """
        If batch is starved, grant it one slot that can't be revoked.

        Without it, continuous online load could keep batch from running. The
        slot is chosen by the rules for online requests, so that batch may also
        use the slots that it otherwise leaves to them. No slot is revoked.
        """
        if not len(self._batch) or not self._batch_starved(now_s):
            return

        def find_engine(queued: QueuedRequest) -> str | None:
            return self._online_engine(queued, now_s)

        # The divisor 1.0 charges the request in full, even if it is urgent.
        popped = self._batch.pop(find_engine, lambda _: 1.0)
        if popped is not None:
            self._occupy(*popped, changes, now_s, protected=True)

    def _assign_batch(self, changes: SlotChanges, now_s: float) -> None:
        # Online requests go before batch requests, so batch gets no slot while
        # an online request is queued.
        if now_s < self._grace_until_s or len(self._online):
            return
        if not any(
            state.free_batch_slots(0.0, 0.0) > 0 for state in self.slots.engines()
        ):
            return

        def find_engine(queued: QueuedRequest) -> str | None:
            return self._batch_engine(queued, now_s)

        def urgency(queued: QueuedRequest) -> float:
            return URGENT_CHARGE_DIVISOR if _urgent(queued, now_s) else 1.0

        while (popped := self._batch.pop(find_engine, urgency)) is not None:
            self._occupy(*popped, changes, now_s)

    def _occupy(
        self,
        queued: QueuedRequest,
        engine: str,
        changes: SlotChanges,
        now_s: float,
        *,
        protected: bool = False,
    ) -> None:
        request = queued.request
        self.slots.add(
            OccupiedSlot(
                request.grant,
                engine,
                request.online,
                request.customer,
                request.origin,
                now_s,
                charged=queued.tokens,
                prompt_tokens=request.prompt_tokens,
                prefix_hashes=request.prefix_hashes,
                protected=protected,
            )
        )
        if not request.online:
            self._last_batch_grant_s = now_s
        self.slots.engine(engine).add_prefill(request.prompt_tokens, now_s)
        changes.granted.append((queued, engine))

    def _online_engine(self, queued: QueuedRequest, now_s: float) -> str | None:
        in_grace = now_s < self._grace_until_s

        # A customer's share is its part of the group's slots by weight among
        # the active customers. Slots that no other customer uses are lent to
        # customers above their share, except the lending reserve of an engine.
        customer = queued.request.customer
        above_share = self._policy.fairness and self.slots.exceeds_share(
            customer, now_s
        )

        def has_free_slot(state: EngineState) -> bool:
            reserved = state.limit // 2 if in_grace else 0
            reserved += state.lending_reserve() if above_share else 0
            return state.free_slots > reserved and not state.overcommitted()

        return self._choose_engine(queued, has_free_slot, now_s)

    def _batch_engine(self, queued: QueuedRequest, now_s: float) -> str | None:
        headroom = 0.0 if _urgent(queued, now_s) else self._policy.online_headroom
        per_engine = self._arrivals.per_s(now_s) / max(1, len(self.slots.engines()))
        expected_online = per_engine * REVOCATION_TIME_S

        def has_free_slot(state: EngineState) -> bool:
            accepts_batch = state.prefill_done(now_s) and not state.overcommitted()
            return (
                accepts_batch and state.free_batch_slots(headroom, expected_online) > 0
            )

        return self._choose_engine(queued, has_free_slot, now_s)

    def _choose_engine(
        self,
        queued: QueuedRequest,
        has_free_slot: Callable[[EngineState], bool],
        now_s: float,
    ) -> str | None:
        """
        Choose the engine with the longest cached prefix of the prompt.

        Among engines with equally long prefixes, or all without affinity,
        the one with the shortest estimated delay of a first token is chosen.
        With affinity, engines that run many more requests than the average are
        left out, so that a popular prefix does not overload one engine.

        :return: the engine, or None if no usable one has a free slot.
        """
        states = (self.slots.engine(name) for name in queued.request.engines)
        candidates = [
            state for state in states if state.usable(now_s) and has_free_slot(state)
        ]
        if not candidates:
            return None
        occupied = {
            state.name: state.online_slots + state.batch_slots for state in candidates
        }
        if self._policy.affinity and queued.request.prefix_hashes:
            occupied_limit = 1 + LOAD_BOUND_FACTOR * sum(occupied.values()) / len(
                occupied
            )
            below_bound = [
                state for state in candidates if occupied[state.name] <= occupied_limit
            ]
            candidates = below_bound or candidates

        def cost(state: EngineState) -> tuple[int, float, int, str]:
            cached_blocks = self._cached_blocks(state, queued)
            return (
                -cached_blocks,
                state.first_token_delay_s(now_s),
                state.online_slots,
                state.name,
            )

        return min(candidates, key=cost).name

    def _cached_blocks(self, state: EngineState, queued: QueuedRequest) -> int:
        """Return how many prompt blocks the engine has probably cached."""
        if not self._policy.affinity:
            return 0
        return self.prefixes.cached_blocks(state.name, queued.request.prefix_hashes)

    def _revoke_batch_slot(
        self, queued: QueuedRequest, changes: SlotChanges, now_s: float
    ) -> str | None:
        """Revoke a batch slot and return its engine, or None without one."""
        states = [self.slots.engine(name) for name in queued.request.engines]
        revocable = [
            slot
            for state in states
            if state.usable(now_s) and not state.overcommitted()
            if (slot := state.newest_revocable()) is not None
        ]
        if not revocable:
            return None
        slot = min(revocable, key=self._revocation_cost)
        self.slots.engine(slot.engine).revoke(slot)
        changes.revoked.append(slot)
        return slot.engine

    def _revocation_cost(self, slot: OccupiedSlot) -> tuple[int, float]:
        """Sort key: the least online work first, then the newest slot."""
        return self.slots.engine(slot.engine).online_slots, -slot.granted_s

    def _refuse_excess(self, changes: SlotChanges) -> None:
        """
        Refuse online requests beyond the queue limit.

        The newest request of the customer with the longest queue is refused
        first.
        """
        while len(self._online) > self._policy.queue_limit:
            queued = self._online.newest_of_longest_queue()
            if queued is None:
                return
            self._online.remove(queued.request.grant)
            changes.refused.append(queued)

    def _batch_starved(self, now_s: float) -> bool:
        """
        Whether batch has no slot and was granted none for too long.

        The time since the last grant includes times when no batch request was
        queued. After such a time the next one may count as starved at once.
        """
        since_grant_s = now_s - self._last_batch_grant_s
        return since_grant_s > BATCH_STARVED_AFTER_S and not any(
            state.batch_slots for state in self.slots.engines()
        )

    def _queue_for(self, online: bool) -> FairQueue:
        return self._online if online else self._batch


def _urgent(queued: QueuedRequest, now_s: float) -> bool:
    """
    Whether a batch request is due soon.

    It may then use the slots that ``online_headroom`` reserves for online
    work, but not those reserved for the expected growth of online work. Its
    customer is charged less for it.
    """
    return queued.due_s - now_s < URGENT_BEFORE_DUE_S
