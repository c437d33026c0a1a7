"""Keeps owners, places and the member list in step as time passes."""

from __future__ import annotations

from typing import TYPE_CHECKING

from aspenbridge.peers import RunningReport
from aspenbridge.ports import EngineFailure

if TYPE_CHECKING:
    from collections.abc import Callable

    from aspenbridge.ports import Clock, Engine, EngineClient

    from ._held_grants import Holdings
    from ._messenger import OwnerLinks
    from ._owner import Owner
    from ._ownership import Ownership

CHECK_INTERVAL_S = 0.25
CHECKS_PER_REPORT = 8


class Reporter:
    """Reports running places to owners, at once when an owner changes."""

    def __init__(
        self,
        clock: Clock,
        ownership: Ownership,
        links: OwnerLinks,
        owner: Owner,
        holdings: Holdings,
    ) -> None:
        self._clock = clock
        self._ownership = ownership
        self._links = links
        self._owner = owner
        self._holdings = holdings
        self._reported: dict[str, str] = {}

    async def run(self) -> None:
        """Check again and again."""
        checks = 0
        while True:
            if self._ownership.refresh():
                self._owner.members_changed(self._ownership.live())
            checks += 1
            everything = checks % CHECKS_PER_REPORT == 0
            if everything:
                self._owner.drop_silent()
            self.report(everything=everything)
            await self._clock.sleep_until(self._clock.now_s() + CHECK_INTERVAL_S)

    def report(self, *, everything: bool) -> None:
        """Send a report to each owner that needs one."""
        running = self._holdings.by_group()
        for group in dict.fromkeys((*running, *self._reported)):
            owner = self._ownership.owner_of(group)
            grants = tuple(running.get(group, ()))
            if everything or self._reported.get(group) != owner:
                own = self._ownership.own()
                self._links.report(owner, RunningReport(group, own, grants))
                self._reported[group] = owner
            if everything and not grants:
                del self._reported[group]


class LoadReader:
    """Reads the load reports of the engines whose places are handed out."""

    def __init__(
        self,
        clock: Clock,
        owner: Owner,
        engines: EngineClient,
        find: Callable[[str], Engine | None],
    ) -> None:
        self._clock = clock
        self._owner = owner
        self._engines = engines
        self._find = find

    async def run(self) -> None:
        """Read again and again."""
        while True:
            for name, group in list(self._owner.groups().items()):
                for state in group.slots.engines():
                    await self._read(name, state.name)
            await self._clock.sleep_until(self._clock.now_s() + 1.0)

    async def _read(self, group: str, name: str) -> None:
        engine = self._find(name)
        if engine is None:
            return
        try:
            load = await self._engines.load(engine)
        except EngineFailure:
            return  # work that fails there tells more
        self._owner.report_load(group, name, load)
