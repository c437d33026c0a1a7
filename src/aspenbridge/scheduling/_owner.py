"""Replies to requests for slots of the engine groups that a host owns."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Any

import attrs

from aspenbridge.peers import GrantReply
from aspenbridge.ports import EngineFailure
from aspenbridge.result_codes import ResultCode

from ._group import ONLINE_WAIT_LIMIT_S, Group, SlotChanges

if TYPE_CHECKING:
    from collections.abc import Callable, Coroutine

    from aspenbridge.peers import GrantRelease, GrantRequest, RunningReport
    from aspenbridge.ports import Clock, EngineLoad

    from ._engine_state import OccupiedSlot
    from ._group import GroupPolicy

ASSIGN_INTERVAL_S = 0.02
EARLY_REFUSAL_FRACTION = 0.5
MIN_RETRY_AFTER_S = 0.1
MAX_RETRY_AFTER_S = 30.0


@attrs.define
class OwnerCounters:
    """Numbers of requests granted, refused or redirected, and revocations."""

    granted: int = 0
    refused: int = 0
    revoked: int = 0
    redirected: int = 0


class Owner:
    """
    The engine groups that this host owns, and the requests queued in them.

    :param owner_of: returns the incarnation that owns a group.
    :param own_incarnation: returns the incarnation of this host.
    :param max_sequences: returns the number of slots of an engine.
    :param weight: returns the weight of a customer.
    :param revoke: notifies the origins of revoked slots.
    :param cancel: cancels the request of a slot on its engine.
    """

    def __init__(
        self,
        clock: Clock,
        policy: GroupPolicy,
        owner_of: Callable[[str], str],
        own_incarnation: Callable[[], str],
        max_sequences: Callable[[str], int],
        weight: Callable[[str], float],
        revoke: Callable[[list[OccupiedSlot]], None],
        cancel: Callable[[OccupiedSlot], Coroutine[Any, Any, None]],
    ) -> None:
        self._clock = clock
        self._policy = policy
        self._owner_of = owner_of
        self._own_incarnation = own_incarnation
        self._max_sequences = max_sequences
        self._weight = weight
        self._revoke = revoke
        self._cancel = cancel
        self._tasks: set[asyncio.Task[None]] = set()
        self._groups: dict[str, Group] = {}
        # By grant id; the result is the granted engine, or "" for a refusal.
        self._pending_requests: dict[str, asyncio.Future[str]] = {}
        self.counters = OwnerCounters()

    async def request(self, message: GrantRequest) -> GrantReply:
        """Wait for a slot; reply with a grant, a refusal or a redirect."""
        owner = self._owner_of(message.group)
        if owner != self._own_incarnation():
            self.counters.redirected += 1
            return GrantReply(granted=False, owner=owner)
        now_s = self._clock.now_s()
        group = self._group(message.group)
        if message.online and self._should_refuse_early(group, message, now_s):
            return self._refusal(group, message.customer)
        return await self._queue(group, message, now_s)

    def _should_refuse_early(
        self, group: Group, message: GrantRequest, now_s: float
    ) -> bool:
        """
        Whether to refuse an online request without queueing it.

        This is the case if the customer already uses its share, and the
        expected wait exceeds ``EARLY_REFUSAL_FRACTION`` of the time that the
        request may wait.
        """
        if not group.slots.exceeds_share(message.customer, now_s):
            return False
        wait_s = group.expected_wait_s(message.customer, now_s)
        return wait_s > EARLY_REFUSAL_FRACTION * min(
            message.wait_s, ONLINE_WAIT_LIMIT_S
        )

    async def _queue(
        self, group: Group, message: GrantRequest, now_s: float
    ) -> GrantReply:
        engine_future = asyncio.get_running_loop().create_future()
        self._pending_requests[message.grant] = engine_future
        group.request(message, now_s)
        self._assign_slots(group)
        try:
            engine = await engine_future
        except asyncio.CancelledError:
            group.withdraw(message.grant)
            group.release(message.grant, self._clock.now_s(), tokens=0, failed=False)
            raise
        finally:
            self._pending_requests.pop(message.grant, None)
        if not engine:
            return self._refusal(group, message.customer)
        self.counters.granted += 1
        return GrantReply(
            granted=True,
            engine=engine,
            owner=self._own_incarnation(),
            queued=group.queue_length,
            running=group.running,
        )

    def release(self, message: GrantRelease) -> None:
        """Free a slot, or withdraw the request if it is still queued."""
        group = self._groups.get(message.group)
        if group is None:
            return
        engine_future = self._pending_requests.get(message.grant)
        if engine_future is not None and not engine_future.done():
            group.withdraw(message.grant)
            engine_future.set_result("")
        now_s = self._clock.now_s()
        group.release(
            message.grant, now_s, tokens=message.tokens, failed=message.failed
        )
        self._assign_slots(group)

    def apply_report(self, message: RunningReport) -> None:
        """Apply a host's report of the slots that it uses in a group."""
        if self._owner_of(message.group) != self._own_incarnation():
            return
        group = self._group(message.group)
        group.slots.apply_report(message.origin, message.grants, self._clock.now_s())
        self._assign_slots(group)

    def apply_load(self, group: str, engine: str, load: EngineLoad) -> None:
        """Apply a load report of an engine."""
        owned = self._groups.get(group)
        if owned is not None:
            owned.slots.engine(engine).apply_load(load)

    def apply_members(self, live: set[str]) -> None:
        """
        Apply a change of the member list.

        Groups that now belong to other hosts are dropped and their queued
        requests refused; in the remaining groups, the slots of hosts that are
        no longer live are freed.

        :param live: the incarnations of the live hosts.
        """
        for name in list(self._groups):
            if self._owner_of(name) == self._own_incarnation():
                self._groups[name].slots.release_absent_hosts(live)
            else:
                self._drop_group(name)

    def release_expired_slots(self) -> None:
        """Free the slots of hosts that no longer send reports."""
        now_s = self._clock.now_s()
        for group in self._groups.values():
            group.slots.release_expired(now_s)

    def groups(self) -> dict[str, Group]:
        """Return the groups that this host owns, by name."""
        return self._groups

    def assign_all(self) -> None:
        """Assign slots in every group that has queued requests."""
        for group in self._groups.values():
            if group.queue_length:
                self._assign_slots(group)

    async def run(self) -> None:
        """Assign slots every ``ASSIGN_INTERVAL_S``; never ends."""
        while True:
            self.assign_all()
            await self._clock.sleep_until(self._clock.now_s() + ASSIGN_INTERVAL_S)

    def _group(self, name: str) -> Group:
        group = self._groups.get(name)
        if group is None:
            now_s = self._clock.now_s()
            group = Group(self._policy, self._max_sequences, self._weight, now_s)
            self._groups[name] = group
        return group

    def _drop_group(self, name: str) -> None:
        group = self._groups.pop(name)
        for queued in group.queued_requests():
            self._resolve(queued.request.grant, "")

    def _assign_slots(self, group: Group) -> None:
        changes: SlotChanges = group.assign_slots(self._clock.now_s())
        for queued, engine in changes.granted:
            self._resolve(queued.request.grant, engine)
        for queued in changes.refused:
            self._resolve(queued.request.grant, "")
        if changes.revoked:
            self.counters.revoked += len(changes.revoked)
            self._revoke(changes.revoked)
            for slot in changes.revoked:
                task = asyncio.ensure_future(self._cancel_on_engine(group, slot))
                self._tasks.add(task)
                task.add_done_callback(self._tasks.discard)

    async def _cancel_on_engine(self, group: Group, slot: OccupiedSlot) -> None:
        """Cancel revoked work on the engine without waiting for its origin."""
        try:
            await self._cancel(slot)
        except EngineFailure:
            return  # the slot is freed when the origin releases it
        group.slots.mark_cancelled(slot)
        self._assign_slots(group)

    def _resolve(self, grant: str, engine: str) -> None:
        engine_future = self._pending_requests.get(grant)
        if engine_future is not None and not engine_future.done():
            engine_future.set_result(engine)

    def _refusal(self, group: Group, customer: str) -> GrantReply:
        self.counters.refused += 1
        wait_s = group.expected_wait_s(customer, self._clock.now_s())
        return GrantReply(
            granted=False,
            code=int(ResultCode.OVERLOADED),
            retry_after_s=min(MAX_RETRY_AFTER_S, max(MIN_RETRY_AFTER_S, wait_s)),
            queued=group.queue_length,
            running=group.running,
        )
