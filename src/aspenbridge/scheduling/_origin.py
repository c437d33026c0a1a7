"""Requests slots for the work of this host, the origin, from group owners."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

from aspenbridge.peers import GrantRequest
from aspenbridge.result_codes import Problem, ResultCode
from aspenbridge.routing import group_engines, prefix_hashes
from aspenbridge.work import Grant, new_id

from ._held_grants import HeldGrant, HeldGrants
from ._spill import request_order, spill_bytes

if TYPE_CHECKING:
    from collections.abc import Sequence
    from random import Random

    from aspenbridge.peers import GrantReply
    from aspenbridge.ports import Clock, Engine
    from aspenbridge.routing import EngineGroup
    from aspenbridge.work import Work

    from ._messenger import GrantMessenger
    from ._ownership import Ownership
    from ._static import StaticShare

STATIC_RETRY_S = 0.05
BATCH_RETRY_S = 0.5
MAX_OWNER_REQUESTS = 2  # the first request and one redirect


@attrs.define
class OriginCounters:
    """
    Numbers of slots requested, of static slots used and of work spilled over.

    ``spilled_bytes`` estimates the traffic between regions.
    """

    requested: int = 0
    static: int = 0
    spilled: int = 0
    spilled_bytes: int = 0


@attrs.define
class _Refusal:
    retry_after_s: float


class OwnerAdmission:
    """
    Requests each slot from the owner of an engine group.

    If the owner does not answer, or ``MAX_OWNER_REQUESTS`` hosts in a row
    redirect the request, the work uses a slot of this host's static share
    instead.
    """

    def __init__(
        self,
        clock: Clock,
        random: Random,
        ownership: Ownership,
        messenger: GrantMessenger,
        static: StaticShare,
        held_grants: HeldGrants,
        home_region: str,
        *,
        affinity: bool,
    ) -> None:
        self._clock = clock
        self._random = random
        self._ownership = ownership
        self._messenger = messenger
        self._static = static
        self._held_grants = held_grants
        self._home_region = home_region
        self._affinity = affinity
        self.counters = OriginCounters()

    async def acquire(
        self, work: Work, engines: Sequence[Engine], *, avoid: frozenset[str]
    ) -> Grant:
        """
        Wait for a slot on one of the engines.

        Batch work retries until its deadline; the retry delay varies at random
        so that many items do not retry at the same time.

        :raises ProblemError: if no engine is allowed, no slot becomes free
            before the deadline, or an online request would wait too long.
        """
        preferred = [engine for engine in engines if engine.name not in avoid]
        groups = group_engines(preferred or engines, self._home_region)
        if not groups:
            detail = f"no engine may run model {work.model!r}"
            raise Problem(ResultCode.NO_ENGINE_ALLOWED, detail).error()
        while True:
            outcome = await self._try_groups(work, groups)
            if isinstance(outcome, Grant):
                return outcome
            if work.online:
                raise self._overloaded(work, outcome).error()
            self._check_deadline(work)
            delay_s = max(BATCH_RETRY_S, outcome.retry_after_s)
            delay_s *= self._random.uniform(0.5, 1.5)
            await self._clock.sleep_until(self._clock.now_s() + delay_s)

    def release(
        self, grant: Grant, *, tokens: int, failed: bool, cached_tokens: int = 0
    ) -> None:
        """Return a slot; does not block."""
        held = self._held_grants.remove(grant.grant_id)
        if held is None:
            return
        if held.static:
            self._static.release_slot(grant.engine.name, online=held.work.online)
        self._messenger.release(
            held, tokens=tokens, failed=failed, cached_tokens=cached_tokens
        )

    async def _try_groups(
        self, work: Work, groups: Sequence[EngineGroup]
    ) -> Grant | _Refusal:
        refusals = []
        for group, wait_s in request_order(work, groups, self._home_region):
            self._check_deadline(work)
            outcome = await self._request_slot(group, work, wait_s)
            if isinstance(outcome, Grant):
                self._count_spill(group, work)
                return outcome
            refusals.append(outcome)
        return min(refusals, key=lambda refusal: refusal.retry_after_s)

    async def _request_slot(
        self, group: EngineGroup, work: Work, wait_s: float
    ) -> Grant | _Refusal:
        self.counters.requested += 1
        remaining_s = work.deadline_s - self._clock.now_s()
        request = self._grant_request(
            group, work, min(wait_s, remaining_s), remaining_s
        )
        owner = self._ownership.owner_of(group.name)
        for _ in range(MAX_OWNER_REQUESTS):
            reply = await self._messenger.request(owner, request)
            if reply is None:
                return self._acquire_static_slot(group, work)
            if reply.granted:
                return self._accept_grant(group, work, request.grant, reply, owner)
            if reply.code:
                return _Refusal(reply.retry_after_s)
            owner = reply.owner
        return self._acquire_static_slot(group, work)

    def _grant_request(
        self, group: EngineGroup, work: Work, wait_s: float, remaining_s: float
    ) -> GrantRequest:
        hashes: tuple[int, ...] = ()
        if self._affinity:
            scope = f"{work.customer}\0{work.model}\0{work.adapter}"
            hashes = prefix_hashes(work.prompt, scope)
        return GrantRequest(
            grant=new_id("grant", self._random),
            group=group.name,
            online=work.online,
            customer=work.customer,
            prompt_tokens=work.prompt_tokens,
            max_tokens=work.max_tokens,
            prefix_hashes=hashes,
            engines=tuple(engine.name for engine in group.engines),
            adapter=work.adapter or "",
            wait_s=max(0.0, wait_s),
            origin=self._ownership.own_incarnation(),
            due_in_s=remaining_s,
        )

    def _accept_grant(
        self,
        group: EngineGroup,
        work: Work,
        grant_id: str,
        reply: GrantReply,
        owner: str,
    ) -> Grant | _Refusal:
        granted = [engine for engine in group.engines if engine.name == reply.engine]
        if not granted:
            return _Refusal(BATCH_RETRY_S)
        grant = Grant(grant_id, granted[0], group.name)
        self._held_grants.add(HeldGrant(grant, work, owner))
        return grant

    def _acquire_static_slot(self, group: EngineGroup, work: Work) -> Grant | _Refusal:
        engine = self._static.acquire_slot(group, online=work.online)
        if engine is None:
            return _Refusal(STATIC_RETRY_S if work.online else BATCH_RETRY_S)
        self.counters.static += 1
        grant = Grant(new_id("grant", self._random), engine, group.name)
        self._held_grants.add(HeldGrant(grant, work, "", static=True))
        return grant

    def _count_spill(self, group: EngineGroup, work: Work) -> None:
        if group.region != self._home_region:
            self.counters.spilled += 1
            self.counters.spilled_bytes += spill_bytes(work)

    def _check_deadline(self, work: Work) -> None:
        if self._clock.now_s() >= work.deadline_s:
            detail = (
                f"no engine of model {work.model!r} had a free slot before the deadline"
            )
            raise Problem(ResultCode.DEADLINE_EXCEEDED, detail).error()

    def _overloaded(self, work: Work, refusal: _Refusal) -> Problem:
        return Problem(
            ResultCode.OVERLOADED,
            f"the engines of model {work.model!r} are full",
            retry_after_s=refusal.retry_after_s,
        )
