"""Answers requests for places on behalf of the groups that a host owns."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Any

import attrs

from aspenbridge.peers import GrantReply
from aspenbridge.ports import EngineFailure
from aspenbridge.result_codes import ResultCode

from ._group import ONLINE_WAIT_LIMIT_S, Group, Settled

if TYPE_CHECKING:
    from collections.abc import Callable, Coroutine

    from aspenbridge.peers import GrantRelease, GrantRequest, RunningReport
    from aspenbridge.ports import Clock, EngineLoad

    from ._engine_state import Holding
    from ._group import GroupPolicy

SETTLE_INTERVAL_S = 0.02
EARLY_PART = 0.5
RETRY_AFTER_LEAST_S = 0.1
RETRY_AFTER_MOST_S = 30.0


@attrs.define
class OwnerCounters:
    """What the owner's side has done."""

    granted: int = 0
    refused: int = 0
    revoked: int = 0
    redirected: int = 0


class Owner:
    """The groups of this host and the requests that wait in them."""

    def __init__(
        self,
        clock: Clock,
        policy: GroupPolicy,
        owner_of: Callable[[str], str],
        own: Callable[[], str],
        capacity: Callable[[str], int],
        weight: Callable[[str], float],
        revoke: Callable[[list[Holding]], None],
        cancel: Callable[[Holding], Coroutine[Any, Any, None]],
    ) -> None:
        self._clock = clock
        self._policy = policy
        self._owner_of = owner_of
        self._own = own
        self._capacity = capacity
        self._weight = weight
        self._revoke = revoke
        self._cancel = cancel
        self._tasks: set[asyncio.Task[None]] = set()
        self._groups: dict[str, Group] = {}
        self._answers: dict[str, asyncio.Future[str]] = {}
        self.counters = OwnerCounters()

    async def request(self, message: GrantRequest) -> GrantReply:
        """Answer once there is a place, or none in time."""
        owner = self._owner_of(message.group)
        if owner != self._own():
            self.counters.redirected += 1
            return GrantReply(granted=False, owner=owner)
        now_s = self._clock.now_s()
        group = self._group(message.group)
        if message.online and self._hopeless(group, message, now_s):
            return self._refusal(group, message.customer)
        return await self._queue(group, message, now_s)

    def _hopeless(self, group: Group, message: GrantRequest, now_s: float) -> bool:
        """Whether a customer with its share would wait too long for more."""
        if not group.slots.beyond_share(message.customer, now_s):
            return False
        wait_s = group.expected_wait_s(message.customer, now_s)
        return wait_s > EARLY_PART * min(message.wait_s, ONLINE_WAIT_LIMIT_S)

    async def _queue(
        self, group: Group, message: GrantRequest, now_s: float
    ) -> GrantReply:
        answer = asyncio.get_running_loop().create_future()
        self._answers[message.grant] = answer
        group.request(message, now_s)
        self._settle(group)
        try:
            engine = await answer
        except asyncio.CancelledError:
            group.withdraw(message.grant)
            group.release(message.grant, self._clock.now_s(), tokens=0, failed=False)
            raise
        finally:
            self._answers.pop(message.grant, None)
        if not engine:
            return self._refusal(group, message.customer)
        self.counters.granted += 1
        return GrantReply(
            granted=True,
            engine=engine,
            owner=self._own(),
            queued=group.queued,
            running=group.running,
        )

    def release(self, message: GrantRelease) -> None:
        """Take a place back; also that of a request still waiting."""
        group = self._groups.get(message.group)
        if group is None:
            return
        answer = self._answers.get(message.grant)
        if answer is not None and not answer.done():
            group.withdraw(message.grant)
            answer.set_result("")
        now_s = self._clock.now_s()
        group.release(
            message.grant, now_s, tokens=message.tokens, failed=message.failed
        )
        self._settle(group)

    def report(self, message: RunningReport) -> None:
        """Take in what a host runs in a group that this one owns."""
        if self._owner_of(message.group) != self._own():
            return
        group = self._group(message.group)
        group.slots.report(message.origin, message.grants, self._clock.now_s())
        self._settle(group)

    def report_load(self, group: str, engine: str, load: EngineLoad) -> None:
        """Take in a load report of an engine."""
        found = self._groups.get(group)
        if found is not None:
            found.slots.engine(engine).report(load)

    def members_changed(self, live: set[str]) -> None:
        """Give up groups that belong to another host, and lost places."""
        for name in list(self._groups):
            if self._owner_of(name) == self._own():
                self._groups[name].slots.drop_origins(live)
            else:
                self._give_up(name)

    def drop_silent(self) -> None:
        """Take back places whose holders report no more."""
        now_s = self._clock.now_s()
        for group in self._groups.values():
            group.slots.drop_silent(now_s)

    def groups(self) -> dict[str, Group]:
        """Return the groups that are owned here."""
        return self._groups

    def settle_all(self) -> None:
        """Let time pass in every group in which something waits."""
        for group in self._groups.values():
            if group.queued:
                self._settle(group)

    async def run(self) -> None:
        """Settle the groups again and again."""
        while True:
            self.settle_all()
            await self._clock.sleep_until(self._clock.now_s() + SETTLE_INTERVAL_S)

    def _group(self, name: str) -> Group:
        group = self._groups.get(name)
        if group is None:
            now_s = self._clock.now_s()
            group = Group(self._policy, self._capacity, self._weight, now_s)
            self._groups[name] = group
        return group

    def _give_up(self, name: str) -> None:
        group = self._groups.pop(name)
        for waiter in group.waiting():
            self._answer(waiter.request.grant, "")

    def _settle(self, group: Group) -> None:
        settled: Settled = group.assign_slots(self._clock.now_s())
        for waiter, engine in settled.granted:
            self._answer(waiter.request.grant, engine)
        for waiter in settled.refused:
            self._answer(waiter.request.grant, "")
        if settled.revoked:
            self.counters.revoked += len(settled.revoked)
            self._revoke(settled.revoked)
            for holding in settled.revoked:
                task = asyncio.ensure_future(self._stop(group, holding))
                self._tasks.add(task)
                task.add_done_callback(self._tasks.discard)

    async def _stop(self, group: Group, holding: Holding) -> None:
        """Stop revoked work at the engine, before its origin can."""
        try:
            await self._cancel(holding)
        except EngineFailure:
            return  # the origin's release makes up for it
        group.slots.cancelled(holding)
        self._settle(group)

    def _answer(self, grant: str, engine: str) -> None:
        answer = self._answers.get(grant)
        if answer is not None and not answer.done():
            answer.set_result(engine)

    def _refusal(self, group: Group, customer: str) -> GrantReply:
        self.counters.refused += 1
        wait_s = group.expected_wait_s(customer, self._clock.now_s())
        return GrantReply(
            granted=False,
            code=int(ResultCode.OVERLOADED),
            retry_after_s=min(RETRY_AFTER_MOST_S, max(RETRY_AFTER_LEAST_S, wait_s)),
            queued=group.queued,
            running=group.running,
        )
