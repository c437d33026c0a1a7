"""In-process hosts whose calls to the platform and to peers are counted."""

from __future__ import annotations

import random
from typing import TYPE_CHECKING, Any

import attrs

from aspenbridge.embedded import (
    EmbeddedEngine,
    EmbeddedEngines,
    EmbeddedHostList,
    EmbeddedServices,
    EngineProfile,
)
from aspenbridge.host import HostCore, Ports
from aspenbridge.peers._codec import decode_message, encode_message
from aspenbridge.ports import PeerAddress
from aspenbridge_standins._faults import Faults, FaultyCalls
from aspenbridge_standins._platform import FaultyObjects, FaultyTable

if TYPE_CHECKING:
    from collections.abc import Callable

    from aspenbridge.ports import Clock
    from aspenbridge.settings import Settings

UNLIMITED_PER_S = 1e9
FAST_ENGINE = EngineProfile(
    base_step_s=0.0, step_per_sequence_s=0.0, prefill_per_token_s=0.0
)


@attrs.define
class WirePeers:
    """Passes encoded messages to a handler and counts calls and bytes."""

    handler: Callable[[PeerAddress, Any], Any]
    sent_bytes: int = 0
    received_bytes: int = 0
    calls: int = 0

    async def call(self, address: PeerAddress, message: Any, deadline_s: float) -> Any:
        """Send a message and return the reply."""
        request = encode_message(message)
        reply = encode_message(self.handler(address, decode_message(request)))
        self.calls += 1
        self.sent_bytes += len(request)
        self.received_bytes += len(reply)
        return decode_message(reply)


@attrs.define
class CountedFleet:
    """In-process platform and engines, with counters of platform calls."""

    clock: Clock
    random: random.Random
    peers: WirePeers
    delay_s: float = 0.0
    table: FaultyTable = attrs.field(init=False)
    objects: FaultyObjects = attrs.field(init=False)
    host_list: EmbeddedHostList = attrs.field(factory=EmbeddedHostList)
    engines: EmbeddedEngines = attrs.field(factory=EmbeddedEngines)
    services: EmbeddedServices = attrs.field(factory=EmbeddedServices)

    def __attrs_post_init__(self) -> None:
        self.table = FaultyTable(self._calls())
        self.objects = FaultyObjects(self._calls())

    def _calls(self) -> FaultyCalls:
        faults = Faults(
            delay_s=self.delay_s,
            writes_per_s=UNLIMITED_PER_S,
            reads_per_s=UNLIMITED_PER_S,
        )
        return FaultyCalls(faults, self.clock, self.random)

    def add_engine(self, name: str) -> None:
        """Add an engine whose steps take no time."""
        self.engines.engines[name] = EmbeddedEngine(name, self.clock, FAST_ENGINE)

    def host(self, settings: Settings, number: int = 1) -> HostCore:
        """Return a host that is not running yet."""
        ports = Ports(
            clock=self.clock,
            random=self.random,
            table=self.table,
            objects=self.objects,
            host_list=self.host_list,
            peers=self.peers,
            engines=self.engines,
            services=self.services,
        )
        return HostCore(settings, ports, PeerAddress("127.0.0.1", number))


@attrs.frozen
class Counts:
    """The number of calls to the table service and the object store."""

    table_reads: int
    table_writes: int
    object_reads: int
    object_writes: int

    @classmethod
    def of(cls, fleet: CountedFleet) -> Counts:
        """Return the current counters of a fleet."""
        table, objects = fleet.table.calls, fleet.objects.calls
        return cls(
            table.read_count,
            table.write_count,
            objects.read_count,
            objects.write_count,
        )

    def since(self, earlier: Counts) -> Counts:
        """Return the calls that were made after earlier counts."""
        pairs = zip(attrs.astuple(self), attrs.astuple(earlier), strict=True)
        return Counts(*(count - earlier_count for count, earlier_count in pairs))
