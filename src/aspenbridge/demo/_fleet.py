"""Builds the demo's fleet of hosts, backend servers and the platform."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

from aspenbridge.configuration import ConfigObject
from aspenbridge.embedded import (
    BookingLedger,
    EmbeddedEngine,
    EmbeddedEngines,
    EmbeddedHostList,
    EmbeddedServices,
    EngineProfile,
    LocalPeers,
    MemoryObjects,
    MemoryTable,
)
from aspenbridge.host import HostCore, Ports
from aspenbridge.ports import HostEntry, PeerAddress
from aspenbridge.settings import (
    BatchSettings,
    HostSettings,
    MembershipSettings,
    Settings,
)

if TYPE_CHECKING:
    from random import Random

    from aspenbridge.ports import Clock

HOSTS = 3
ENGINES = (("engine-1", "1"), ("engine-2", "1"), ("engine-3", "2"), ("engine-4", "2"))
MODEL = "coder"
SERVICE = "lending"
SERVICE_ADDRESS = "127.0.0.1:9"
DEMO_ENGINE = EngineProfile(base_step_s=0.002, step_per_sequence_s=0.0001)


@attrs.define
class Fleet:
    """The embedded platform and backend servers, which all hosts share."""

    clock: Clock
    random: Random
    table: MemoryTable = attrs.field(factory=MemoryTable)
    objects: MemoryObjects = attrs.field(factory=MemoryObjects)
    host_list: EmbeddedHostList = attrs.field(factory=EmbeddedHostList)
    peers: LocalPeers = attrs.field(factory=LocalPeers)
    engines: EmbeddedEngines = attrs.field(factory=EmbeddedEngines)
    services: EmbeddedServices = attrs.field(factory=EmbeddedServices)
    ledger: BookingLedger = attrs.field(factory=BookingLedger)

    def ports(self) -> Ports:
        """Return the ports through which a host uses this fleet."""
        return Ports(
            clock=self.clock,
            random=self.random,
            table=self.table,
            objects=self.objects,
            host_list=self.host_list,
            peers=self.peers,
            engines=self.engines,
            services=self.services,
        )

    def add_backends(self) -> None:
        """Add the engines and the plain service."""
        self.services.ledgers[SERVICE_ADDRESS] = self.ledger
        for name, _ in ENGINES:
            engine = EmbeddedEngine(name, self.clock, DEMO_ENGINE)
            self.engines.engines[name] = engine

    def host(self, number: int) -> HostCore:
        """
        Return a new host, listed and registered as a peer but not running.

        :param number: determines the name and the peer port of the host.
        """
        peer_address = PeerAddress("127.0.0.1", number)
        settings = Settings(
            host=HostSettings(name=f"host-{number}"),
            membership=MembershipSettings(probe_interval_s=0.05),
            batch=BatchSettings(chunk_items=25),
        )
        host = HostCore(settings, self.ports(), peer_address)
        self.peers.handlers[peer_address] = host
        self.host_list.entries[str(peer_address)] = HostEntry(
            str(peer_address), "local", "local-a"
        )
        return host


def configuration() -> list[ConfigObject]:
    """Return the configuration objects of the demo."""
    objects = [
        ConfigObject(
            "engine",
            name,
            {
                "address": f"127.0.0.1:{number}",
                "region": "local",
                "failure_domain": "local-a",
                "model": MODEL,
                "version": version,
            },
            labels={"pool": "coding"},
        )
        for number, (name, version) in enumerate(ENGINES, start=1)
    ]
    routes = [{"method": "POST", "path": "/bookings", "idempotent": False}]
    service = {"address": SERVICE_ADDRESS, "routes": routes}
    return [*objects, ConfigObject("service", SERVICE, service)]
