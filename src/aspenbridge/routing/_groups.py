"""Groups of engines that one host hands out places for."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

if TYPE_CHECKING:
    from collections.abc import Iterable

    from aspenbridge.ports import Engine

SEPARATOR = "/"


@attrs.frozen
class EngineGroup:
    """Engines of one model in one region."""

    name: str
    region: str
    engines: tuple[Engine, ...]


def group_engines(engines: Iterable[Engine], home: str) -> list[EngineGroup]:
    """
    Sort engines into groups, those of the home region first.

    :param home: the region in which traffic costs nothing.
    """
    members: dict[tuple[str, str], list[Engine]] = {}
    for engine in engines:
        members.setdefault((engine.region, engine.model), []).append(engine)
    groups = [
        EngineGroup(f"{model}{SEPARATOR}{region}", region, tuple(found))
        for (region, model), found in members.items()
    ]
    return sorted(groups, key=lambda group: (group.region != home, group.name))


def region_of(group: str) -> str:
    """Return the region in a group's name."""
    return group.rpartition(SEPARATOR)[2]
