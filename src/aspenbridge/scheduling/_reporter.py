"""Reports of used slots to group owners; reads of engine load by owners."""

from __future__ import annotations

from typing import TYPE_CHECKING

from aspenbridge.peers import RunningReport
from aspenbridge.ports import EngineFailure

if TYPE_CHECKING:
    from collections.abc import Callable

    from aspenbridge.ports import Clock, Engine, EngineClient

    from ._held_grants import HeldGrants
    from ._messenger import GrantMessenger
    from ._owner import Owner
    from ._ownership import Ownership

CHECK_INTERVAL_S = 0.25
CHECKS_PER_REPORT = 8


class Reporter:
    """
    Reports the slots that this host uses to the owners of their groups.

    A group is reported every ``CHECKS_PER_REPORT`` checks, and at the next
    check after its owner has changed.
    """

    def __init__(
        self,
        clock: Clock,
        ownership: Ownership,
        messenger: GrantMessenger,
        owner: Owner,
        held_grants: HeldGrants,
    ) -> None:
        self._clock = clock
        self._ownership = ownership
        self._messenger = messenger
        self._owner = owner
        self._held_grants = held_grants
        self._reported_owners: dict[str, str] = {}

    async def run(self) -> None:
        """Check members and owners every ``CHECK_INTERVAL_S``; never ends."""
        checks = 0
        while True:
            if self._ownership.refresh():
                self._owner.apply_members(self._ownership.live_hosts())
            checks += 1
            all_groups = checks % CHECKS_PER_REPORT == 0
            if all_groups:
                self._owner.release_expired_slots()
            self.report(all_groups=all_groups)
            await self._clock.sleep_until(self._clock.now_s() + CHECK_INTERVAL_S)

    def report(self, *, all_groups: bool) -> None:
        """
        Send reports to owners.

        :param all_groups: whether to report every group, and not only those
            whose owner has changed since their last report.
        """
        running = self._held_grants.running_by_group()
        for group in dict.fromkeys((*running, *self._reported_owners)):
            owner = self._ownership.owner_of(group)
            grants = tuple(running.get(group, ()))
            if all_groups or self._reported_owners.get(group) != owner:
                incarnation = self._ownership.own_incarnation()
                self._messenger.report(owner, RunningReport(group, incarnation, grants))
                self._reported_owners[group] = owner
            if all_groups and not grants:
                del self._reported_owners[group]


class LoadReader:
    """Reads load reports of the engines whose groups this host owns."""

    def __init__(
        self,
        clock: Clock,
        owner: Owner,
        engines: EngineClient,
        find_engine: Callable[[str], Engine | None],
    ) -> None:
        self._clock = clock
        self._owner = owner
        self._engines = engines
        self._find_engine = find_engine

    async def run(self) -> None:
        """
        Read the load of one engine after another; never ends.

        One second passes between two rounds of reads.
        """
        while True:
            for name, group in list(self._owner.groups().items()):
                for state in group.slots.engines():
                    await self._read_load(name, state.name)
            await self._clock.sleep_until(self._clock.now_s() + 1.0)

    async def _read_load(self, group: str, engine_name: str) -> None:
        engine = self._find_engine(engine_name)
        if engine is None:
            return
        try:
            load = await self._engines.load(engine)
        except EngineFailure:
            return  # the outcomes of requests show whether the engine fails
        self._owner.apply_load(group, engine_name, load)
