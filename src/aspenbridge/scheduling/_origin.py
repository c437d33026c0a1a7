"""The origin's side: gets places for this host's work from group owners."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

from aspenbridge.peers import GrantRequest
from aspenbridge.result_codes import Problem, ResultCode
from aspenbridge.routing import group_engines, prefix_hashes
from aspenbridge.work import Grant, new_id

from ._held_grants import Held, Holdings
from ._spill import ask_order, spill_bytes

if TYPE_CHECKING:
    from collections.abc import Sequence
    from random import Random

    from aspenbridge.peers import GrantReply
    from aspenbridge.ports import Clock, Engine
    from aspenbridge.routing import EngineGroup
    from aspenbridge.work import Work

    from ._messenger import OwnerLinks
    from ._ownership import Ownership
    from ._static import StaticShare

STATIC_RETRY_S = 0.05
BATCH_RETRY_S = 0.5
REDIRECTS = 2


@attrs.define
class OriginCounters:
    """What the origin's side has done."""

    asked: int = 0
    static: int = 0
    spilled: int = 0
    spilled_bytes: int = 0


@attrs.define
class _Refusal:
    retry_after_s: float


class OwnerAdmission:
    """Asks the owner of a group for each place."""

    def __init__(
        self,
        clock: Clock,
        random: Random,
        ownership: Ownership,
        links: OwnerLinks,
        static: StaticShare,
        holdings: Holdings,
        home: str,
        *,
        affinity: bool,
    ) -> None:
        self._clock = clock
        self._random = random
        self._ownership = ownership
        self._links = links
        self._static = static
        self._holdings = holdings
        self._home = home
        self._affinity = affinity
        self.counters = OriginCounters()

    async def acquire(
        self, work: Work, engines: Sequence[Engine], *, avoid: frozenset[str]
    ) -> Grant:
        """
        Wait for a place on one of the engines.

        :raises ProblemError: when there is none before the deadline, or when
            the wait for an online request would be too long.
        """
        preferred = [engine for engine in engines if engine.name not in avoid]
        groups = group_engines(preferred or engines, self._home)
        if not groups:
            detail = f"no engine may run model {work.model!r}"
            raise Problem(ResultCode.NO_ENGINE_ALLOWED, detail).error()
        while True:
            placed = await self._try_groups(work, groups)
            if isinstance(placed, Grant):
                return placed
            if work.online:
                raise self._overloaded(work, placed).error()
            self._check_deadline(work)
            pause_s = max(BATCH_RETRY_S, placed.retry_after_s)
            pause_s *= self._random.uniform(0.5, 1.5)
            await self._clock.sleep_until(self._clock.now_s() + pause_s)

    def release(
        self, grant: Grant, *, tokens: int, failed: bool, cached_tokens: int = 0
    ) -> None:
        """Give a place back; never waits."""
        held = self._holdings.remove(grant.grant_id)
        if held is None:
            return
        if held.static:
            self._static.give_back(grant.engine.name, online=held.work.online)
        self._links.release(
            held, tokens=tokens, failed=failed, cached_tokens=cached_tokens
        )

    async def _try_groups(
        self, work: Work, groups: Sequence[EngineGroup]
    ) -> Grant | _Refusal:
        refusals = []
        for group, wait_s in ask_order(work, groups, self._home):
            self._check_deadline(work)
            placed = await self._ask(group, work, wait_s)
            if isinstance(placed, Grant):
                self._count_spill(group, work)
                return placed
            refusals.append(placed)
        return min(refusals, key=lambda item: item.retry_after_s)

    async def _ask(
        self, group: EngineGroup, work: Work, wait_s: float
    ) -> Grant | _Refusal:
        self.counters.asked += 1
        left_s = work.deadline_s - self._clock.now_s()
        request = self._request(group, work, min(wait_s, left_s), left_s)
        owner = self._ownership.owner_of(group.name)
        for _ in range(REDIRECTS):
            reply = await self._links.request(owner, request)
            if reply is None:
                return self._take_static(group, work)
            if reply.granted:
                return self._hold(group, work, request.grant, reply, owner)
            if reply.code:
                return _Refusal(reply.retry_after_s)
            owner = reply.owner
        return self._take_static(group, work)

    def _request(
        self, group: EngineGroup, work: Work, wait_s: float, left_s: float
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
            origin=self._ownership.own(),
            due_in_s=left_s,
        )

    def _hold(
        self,
        group: EngineGroup,
        work: Work,
        grant_id: str,
        reply: GrantReply,
        owner: str,
    ) -> Grant | _Refusal:
        named = [item for item in group.engines if item.name == reply.engine]
        if not named:
            return _Refusal(BATCH_RETRY_S)
        grant = Grant(grant_id, named[0], group.name)
        self._holdings.add(Held(grant, work, owner))
        return grant

    def _take_static(self, group: EngineGroup, work: Work) -> Grant | _Refusal:
        engine = self._static.take(group, online=work.online)
        if engine is None:
            return _Refusal(STATIC_RETRY_S if work.online else BATCH_RETRY_S)
        self.counters.static += 1
        grant = Grant(new_id("grant", self._random), engine, group.name)
        self._holdings.add(Held(grant, work, "", static=True))
        return grant

    def _count_spill(self, group: EngineGroup, work: Work) -> None:
        if group.region != self._home:
            self.counters.spilled += 1
            self.counters.spilled_bytes += spill_bytes(work)

    def _check_deadline(self, work: Work) -> None:
        if self._clock.now_s() >= work.deadline_s:
            detail = f"no engine of model {work.model!r} had room in time"
            raise Problem(ResultCode.DEADLINE_EXCEEDED, detail).error()

    def _overloaded(self, work: Work, refusal: _Refusal) -> Problem:
        return Problem(
            ResultCode.OVERLOADED,
            f"the engines of model {work.model!r} are full",
            retry_after_s=refusal.retry_after_s,
        )
