"""What an entry host is given from the outside."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

if TYPE_CHECKING:
    from collections.abc import Callable
    from random import Random

    from aspenbridge.fleet import Configuration, Datagrams, EngineEntry
    from aspenbridge.ports import (
        ChangeFeed,
        Clock,
        EngineCaller,
        ObjectStore,
        TableService,
    )


@attrs.frozen
class OperatorTables:
    """Where operator and engines write, and how their rows are read."""

    configuration_table: str
    configuration_key: str
    engines_table: str
    decode_configuration: Callable[[bytes], Configuration]
    decode_engine: Callable[[str, bytes], EngineEntry]


@attrs.frozen
class EntryPorts:
    """The outside of an entry host."""

    clock: Clock
    random: Random
    table: TableService
    feed: ChangeFeed
    objects: ObjectStore
    caller: EngineCaller
    datagrams: Datagrams
    tables: OperatorTables
