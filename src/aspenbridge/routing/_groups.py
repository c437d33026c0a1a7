"""Groups of engines; one host assigns the slots of a whole group."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

if TYPE_CHECKING:
    from collections.abc import Iterable

    from aspenbridge.ports import Engine

SEPARATOR = "/"


@attrs.frozen
class EngineGroup:
    """
    The engines of one model in one region.

    The name holds the model and the region, such as ``model-1/region-0``.
    """

    name: str
    region: str
    engines: tuple[Engine, ...]


def group_engines(engines: Iterable[Engine], home_region: str) -> list[EngineGroup]:
    """
    Group engines by region and model; groups of the home region come first.

    :param home_region: the region of this host, within which traffic is free.
    """
    members: dict[tuple[str, str], list[Engine]] = {}
    for engine in engines:
        members.setdefault((engine.region, engine.model), []).append(engine)
    groups = [
        EngineGroup(f"{model}{SEPARATOR}{region}", region, tuple(group_members))
        for (region, model), group_members in members.items()
    ]
    return sorted(groups, key=lambda group: (group.region != home_region, group.name))


def region_of(group: str) -> str:
    """Return the region that a group's name ends with."""
    return group.rpartition(SEPARATOR)[2]
