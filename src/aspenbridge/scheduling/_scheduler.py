"""Builds the scheduling parts of one host and connects them."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from aspenbridge.peers import Ack

from ._group import GroupPolicy
from ._held_grants import HeldGrants
from ._local import LocalAdmission
from ._messenger import GrantMessenger
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

    from ._engine_state import OccupiedSlot

DEFAULT_MAX_SEQUENCES = 1  # for an engine that the configuration does not hold


class Scheduler:
    """
    Admission by the policy in the settings, and the background loops it needs.

    :param identity: returns the identity of this host as a member.
    :param leaving: returns whether this host is leaving.
    """

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
        self.held_grants = HeldGrants()
        self.owner = Owner(
            clock,
            _group_policy(settings),
            self.ownership.owner_of,
            self.ownership.own_incarnation,
            self._max_sequences,
            self._weight,
            lambda slots: self.messenger.revoke(slots),
            self._cancel,
        )
        self.messenger = GrantMessenger(
            clock, peers, self.ownership, self.owner, self.held_grants
        )
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
            self.messenger,
            StaticShare(lambda: len(self.ownership.live_hosts())),
            self.held_grants,
            settings.host.region,
            affinity=settings.scheduling.affinity,
        )
        reporter = Reporter(
            clock, self.ownership, self.messenger, self.owner, self.held_grants
        )
        load_reader = LoadReader(clock, self.owner, engines, self._find_engine)
        self._loops = (self.owner.run, reporter.run, load_reader.run)

    def loops(self) -> tuple[Callable[[], Coroutine[Any, Any, None]], ...]:
        """Return the loops to run as tasks until the host stops."""
        return self._loops

    async def handle(self, message: Any) -> Any:
        """Handle another host's message about slots and return the reply."""
        if isinstance(self.admission, OwnerAdmission):
            return await self.messenger.handle(message)
        return Ack(ok=False, detail="this host does not assign slots")

    async def _cancel(self, slot: OccupiedSlot) -> None:
        engine = self._find_engine(slot.engine)
        if engine is not None:
            await self._engines.cancel(engine, slot.grant)

    def _find_engine(self, name: str) -> Engine | None:
        matching = (engine for engine in self._view.engines() if engine.name == name)
        return next(matching, None)

    def _max_sequences(self, name: str) -> int:
        engine = self._find_engine(name)
        return DEFAULT_MAX_SEQUENCES if engine is None else engine.max_sequences

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
