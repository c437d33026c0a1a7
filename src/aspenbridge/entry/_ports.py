"""The services of the platform that an entry host uses."""

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
    """
    Tables that operator and engines write, and decoders of their rows.

    The decoders raise ``ValueError`` when a row is invalid.
    """

    configuration_table: str
    configuration_key: str
    engines_table: str
    decode_configuration: Callable[[bytes], Configuration]
    decode_engine: Callable[[str, bytes], EngineEntry]


@attrs.frozen
class EntryPorts:
    """Clock, randomness and the platform's services for an entry host."""

    clock: Clock
    random: Random
    table: TableService
    feed: ChangeFeed
    objects: ObjectStore
    engine_caller: EngineCaller
    datagrams: Datagrams
    tables: OperatorTables
