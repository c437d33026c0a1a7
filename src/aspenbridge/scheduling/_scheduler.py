"""Puts the parts of one host's scheduling together."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from aspenbridge.peers import Ack

from ._group import GroupPolicy
from ._held_grants import Holdings
from ._local import LocalAdmission
from ._messenger import OwnerLinks
from ._origin import OwnerAdmission
from ._owner import Owner
from ._ownership import Ownership
from ._reporter import LoadReader, Reporter
from ._static import StaticShare

if TYPE_CHECKING:
    from collections.abc import Callable, Coroutine
    from random import Random

    from aspenbridge.configuration import View
    from aspenbridge.membership import Identity, Members
    from aspenbridge.ports import Clock, Engine, EngineClient, PeerTransport
    from aspenbridge.settings import Settings
    from aspenbridge.work import Admission

    from ._engine_state import Holding

DEFAULT_SEQUENCES = 1


class Scheduler:
    """Admission by the chosen policy and the loops that belong to it."""

    def __init__(
        self,
        settings: Settings,
        identity: Callable[[], Identity],
        members: Members,
        leaving: Callable[[], bool],
        view: View,
        peers: PeerTransport,
        engines: EngineClient,
        clock: Clock,
        random: Random,
    ) -> None:
        self._view = view
        self._engines = engines
        self.ownership = Ownership(identity, members, leaving)
        self.holdings = Holdings()
        self.owner = Owner(
            clock,
            _group_policy(settings),
            self.ownership.owner_of,
            self.ownership.own,
            self._capacity,
            self._weight,
            lambda holdings: self.links.revoke(holdings),
            self._cancel,
        )
        self.links = OwnerLinks(clock, peers, self.ownership, self.owner, self.holdings)
        self._loops: tuple[Callable[[], Coroutine[Any, Any, None]], ...]
        self.admission: Admission
        policy = settings.scheduling.policy
        if policy != "owner":
            local = LocalAdmission(clock, random, engines, policy=policy)
            self.admission = local
            self._loops = (local.run,)
            return
        self.admission = OwnerAdmission(
            clock,
            random,
            self.ownership,
            self.links,
            StaticShare(lambda: len(self.ownership.live())),
            self.holdings,
            settings.host.region,
            affinity=settings.scheduling.affinity,
        )
        reporter = Reporter(
            clock, self.ownership, self.links, self.owner, self.holdings
        )
        loads = LoadReader(clock, self.owner, engines, self._find)
        self._loops = (self.owner.run, reporter.run, loads.run)

    def loops(self) -> tuple[Callable[[], Coroutine[Any, Any, None]], ...]:
        """Return what has to run for as long as the host does."""
        return self._loops

    async def handle(self, message: Any) -> Any:
        """Answer a message about places on engines."""
        if isinstance(self.admission, OwnerAdmission):
            return await self.links.handle(message)
        return Ack(ok=False, detail="this host does not hand out places")

    async def _cancel(self, holding: Holding) -> None:
        engine = self._find(holding.engine)
        if engine is not None:
            await self._engines.cancel(engine, holding.grant)

    def _find(self, name: str) -> Engine | None:
        found = (item for item in self._view.engines() if item.name == name)
        return next(found, None)

    def _capacity(self, name: str) -> int:
        engine = self._find(name)
        return DEFAULT_SEQUENCES if engine is None else engine.max_sequences

    def _weight(self, customer: str) -> float:
        spec = self._view.customer(customer)
        return 1.0 if spec is None or spec.weight <= 0 else spec.weight


def _group_policy(settings: Settings) -> GroupPolicy:
    scheduling = settings.scheduling
    return GroupPolicy(
        isolation=scheduling.isolation,
        fairness=scheduling.fairness,
        affinity=scheduling.affinity,
        online_headroom=scheduling.online_headroom,
        queue_limit=settings.limits.queue_limit,
    )
