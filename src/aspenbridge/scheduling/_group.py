"""Places on the engines of one group, as its owner hands them out."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

from aspenbridge.routing import PrefixIndex

from ._engine_state import EngineState, Holding
from ._fair_queue import FairQueue, Waiter
from ._rates import Rate
from ._slot_table import Places

if TYPE_CHECKING:
    from collections.abc import Callable

    from aspenbridge.peers import GrantRequest

ONLINE_WAIT_LIMIT_S = 1.0
REVOKE_TIME_S = 0.1
GRACE_S = 1.5
URGENT_S = 600.0
URGENT_FACTOR = 4.0
STARVED_S = 10.0
LOAD_BOUND = 1.25


@attrs.frozen
class GroupPolicy:
    """What a group's owner goes by."""

    isolation: bool = True
    fairness: bool = True
    affinity: bool = True
    online_headroom: float = 0.1
    queue_limit: int = 256


@attrs.define
class Settled:
    """What changed: places given, taken back, and requests turned away."""

    granted: list[tuple[Waiter, str]] = attrs.field(factory=list)
    revoked: list[Holding] = attrs.field(factory=list)
    refused: list[Waiter] = attrs.field(factory=list)


class Group:
    """Exact load and queues of one group; does no I/O."""

    def __init__(
        self,
        policy: GroupPolicy,
        capacity: Callable[[str], int],
        weight: Callable[[str], float],
        now_s: float,
        *,
        grace_s: float = GRACE_S,
    ) -> None:
        self._policy = policy
        self._online = FairQueue(weight, fair=policy.fairness)
        batch = FairQueue(weight, fair=policy.fairness)
        self._batch = batch if policy.isolation else self._online
        self._arrivals = Rate(now_s)
        self._releases = Rate(now_s)
        self._grace_until_s = now_s + grace_s
        self._batch_granted_s = now_s
        self.slots = Places(capacity, weight)
        self.prefixes = PrefixIndex()

    @property
    def running(self) -> int:
        """Places in use."""
        return len(self.slots)

    @property
    def queued(self) -> int:
        """Requests that wait."""
        batch = 0 if self._batch is self._online else len(self._batch)
        return len(self._online) + batch

    def request(self, request: GrantRequest, now_s: float) -> Waiter:
        """Queue a request; ``assign_slots`` tells what becomes of it."""
        for name in request.engines:
            self.slots.engine(name)
        wait_s = request.wait_s
        if request.online:
            self._arrivals.count(now_s)
            self.slots.shares.seen(request.customer, now_s)
            wait_s = min(wait_s, ONLINE_WAIT_LIMIT_S)
        waiter = Waiter(request, now_s, now_s + wait_s, now_s + request.due_in_s)
        self._queue(request.online).push(waiter)
        return waiter

    def waiting(self) -> list[Waiter]:
        """Return every request that waits."""
        if self._batch is self._online:
            return list(self._online)
        return [*self._online, *self._batch]

    def withdraw(self, grant: str) -> None:
        """Forget a request whose caller has gone."""
        if self._online.remove(grant) is None:
            self._batch.remove(grant)

    def release(
        self, grant: str, now_s: float, *, tokens: int, failed: bool
    ) -> Holding | None:
        """Take a place back and settle what it was charged."""
        holding = self.slots.remove(grant)
        if holding is None:
            return None
        if not holding.revoked:
            self._releases.count(now_s)
            if failed or tokens:
                state = self.slots.engine(holding.engine)
                state.outcome(failed=failed, now_s=now_s)
        if tokens:
            self.prefixes.record(holding.engine, holding.prefix_hashes)
        if holding.charged:
            queue = self._queue(holding.online)
            used = tokens + holding.prompt_tokens
            queue.charge(holding.customer, used - holding.charged)
        return holding

    def expected_wait_s(self, customer: str, now_s: float) -> float:
        """Return how long a new online request would wait."""
        ahead = self._online.ahead_of(customer)
        if not ahead:
            return 0.0
        rate = self._releases.per_s(now_s)
        return ahead / rate if rate > 0 else ONLINE_WAIT_LIMIT_S

    def assign_slots(self, now_s: float) -> Settled:
        """Give out what there is room for and turn away what can't wait."""
        settled = Settled()
        settled.refused += self._online.expire(now_s)
        if self._batch is not self._online:
            settled.refused += self._batch.expire(now_s)
        if self._policy.isolation:
            self._feed_starved(settled, now_s)
        self._give_online(settled, now_s)
        self._refuse_excess(settled)
        if self._policy.isolation:
            self._give_batch(settled, now_s)
        return settled

    def _give_online(self, settled: Settled, now_s: float) -> None:
        def place(waiter: Waiter) -> str | None:
            found = self._online_place(waiter, now_s)
            if found is None and self._policy.isolation:
                found = self._revoke(waiter, settled, now_s)
            return found

        while (taken := self._online.pop(place, lambda _: 1.0)) is not None:
            self._grant(*taken, settled, now_s)

    def _feed_starved(self, settled: Settled, now_s: float) -> None:
        """Give batch one lasting place after a long time without any."""
        if not len(self._batch) or not self._starved(now_s):
            return

        def place(waiter: Waiter) -> str | None:
            return self._online_place(waiter, now_s)

        taken = self._batch.pop(place, lambda _: 1.0)
        if taken is not None:
            self._grant(*taken, settled, now_s, protected=True)

    def _give_batch(self, settled: Settled, now_s: float) -> None:
        if now_s < self._grace_until_s or len(self._online):
            return
        if not any(state.batch_room(0.0, 0.0) > 0 for state in self.slots.engines()):
            return

        def place(waiter: Waiter) -> str | None:
            return self._batch_place(waiter, now_s)

        def urgency(waiter: Waiter) -> float:
            return URGENT_FACTOR if _urgent(waiter, now_s) else 1.0

        while (taken := self._batch.pop(place, urgency)) is not None:
            self._grant(*taken, settled, now_s)

    def _grant(
        self,
        waiter: Waiter,
        engine: str,
        settled: Settled,
        now_s: float,
        *,
        protected: bool = False,
    ) -> None:
        request = waiter.request
        self.slots.add(
            Holding(
                request.grant,
                engine,
                request.online,
                request.customer,
                request.origin,
                now_s,
                charged=waiter.tokens,
                prompt_tokens=request.prompt_tokens,
                prefix_hashes=request.prefix_hashes,
                protected=protected,
            )
        )
        if not request.online:
            self._batch_granted_s = now_s
        self.slots.engine(engine).prefill(request.prompt_tokens, now_s)
        settled.granted.append((waiter, engine))

    def _online_place(self, waiter: Waiter, now_s: float) -> str | None:
        grace = now_s < self._grace_until_s

        customer = waiter.request.customer
        lent = self._policy.fairness and self.slots.beyond_share(customer, now_s)

        def room(state: EngineState) -> bool:
            kept = state.limit // 2 if grace else 0
            kept += state.lending_reserve() if lent else 0
            return state.free > kept and not state.overcommitted()

        return self._choose(waiter, room, now_s)

    def _batch_place(self, waiter: Waiter, now_s: float) -> str | None:
        headroom = 0.0 if _urgent(waiter, now_s) else self._policy.online_headroom
        per_engine = self._arrivals.per_s(now_s) / max(1, len(self.slots.engines()))
        expected = per_engine * REVOKE_TIME_S

        def room(state: EngineState) -> bool:
            ready = state.prefill_ready(now_s) and not state.overcommitted()
            return ready and state.batch_room(headroom, expected) > 0

        return self._choose(waiter, room, now_s)

    def _choose(
        self, waiter: Waiter, room: Callable[[EngineState], bool], now_s: float
    ) -> str | None:
        """Prefer the engine with the longest prefix that is not too full."""
        states = (self.slots.engine(name) for name in waiter.request.engines)
        open_ = [item for item in states if item.usable(now_s) and room(item)]
        if not open_:
            return None
        used = {item.name: item.online + item.batch for item in open_}
        if self._policy.affinity and waiter.request.prefix_hashes:
            bound = 1 + LOAD_BOUND * sum(used.values()) / len(used)
            near = [item for item in open_ if used[item.name] <= bound]
            open_ = near or open_

        def cost(state: EngineState) -> tuple[int, float, int, str]:
            held = self._held(state, waiter)
            return -held, state.slowness_s(now_s), state.online, state.name

        return min(open_, key=cost).name

    def _held(self, state: EngineState, waiter: Waiter) -> int:
        """Return how many blocks of the prompt the engine may hold."""
        if not self._policy.affinity:
            return 0
        return self.prefixes.cached_blocks(state.name, waiter.request.prefix_hashes)

    def _revoke(self, waiter: Waiter, settled: Settled, now_s: float) -> str | None:
        """Take the newest batch place back and return its engine."""
        states = [self.slots.engine(name) for name in waiter.request.engines]
        found = [
            holding
            for state in states
            if state.usable(now_s) and not state.overcommitted()
            if (holding := state.newest_batch()) is not None
        ]
        if not found:
            return None
        holding = min(found, key=self._revoke_cost)
        self.slots.engine(holding.engine).revoke(holding)
        settled.revoked.append(holding)
        return holding.engine

    def _revoke_cost(self, holding: Holding) -> tuple[int, float]:
        """Prefer the engine with least online work, then the newest place."""
        return self.slots.engine(holding.engine).online, -holding.granted_s

    def _refuse_excess(self, settled: Settled) -> None:
        while len(self._online) > self._policy.queue_limit:
            waiter = self._online.newest_of_largest()
            if waiter is None:
                return
            self._online.remove(waiter.request.grant)
            settled.refused.append(waiter)

    def _starved(self, now_s: float) -> bool:
        """Whether batch has had nothing for too long and holds nothing."""
        waited_s = now_s - self._batch_granted_s
        return waited_s > STARVED_S and not any(x.batch for x in self.slots.engines())

    def _queue(self, online: bool) -> FairQueue:
        return self._online if online else self._batch


def _urgent(waiter: Waiter, now_s: float) -> bool:
    return waiter.due_s - now_s < URGENT_S
