"""Hosts on in-memory services, with table faults for each host."""

from __future__ import annotations

import random
from contextlib import AsyncExitStack

import attrs

from aspenbridge.configuration import ConfigObject
from aspenbridge.embedded import (
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
from aspenbridge.ports import HostEntry, PeerAddress, PeerUnreachableError
from aspenbridge.settings import ConfigurationSettings, HostSettings, Settings
from aspenbridge_standins._faults import Faults, FaultyCalls
from aspenbridge_standins._platform import FaultyTable


@attrs.define
class SeverablePeers:
    """
    The connections of one host to its peers.

    :ivar cut_off: the addresses of hosts that are cut off from all others.
    :ivar delay_s: the delay of a message in one direction.
    """

    own_address: PeerAddress
    peers: LocalPeers
    cut_off: set[PeerAddress]
    clock: object
    delay_s: float

    async def call(self, address, message, deadline_s):
        if {self.own_address, address} & self.cut_off:
            raise PeerUnreachableError(address, "cut off", sent=False)
        if self.delay_s:
            await self.clock.sleep_until(self.clock.now_s() + 2 * self.delay_s)
        return await self.peers.call(address, message, deadline_s)


class ControlFleet:
    """
    The hosts of one test, and the services that they share.

    Hosts that are started on an exit stack stop when the stack closes.

    :param when_unknown: the hosts' setting of this name.
    :param delay_s: the one-way delay of messages between hosts.
    """

    def __init__(self, clock, seed=1, *, when_unknown="refuse", delay_s=0.0):
        self.clock = clock
        self.random = random.Random(seed)
        self.table = MemoryTable()
        self.objects = MemoryObjects()
        self.host_list = EmbeddedHostList()
        self.peers = LocalPeers()
        self.engines = EmbeddedEngines()
        self.services = EmbeddedServices()
        self.cut_off: set[PeerAddress] = set()
        self.faults: list[Faults] = []
        self.hosts: list[HostCore] = []
        self.when_unknown = when_unknown
        self.delay_s = delay_s

    def add_host(self, number):
        """Add a host to the host list and return it; it is not running yet."""
        peer = PeerAddress("127.0.0.1", number)
        faults = Faults()
        calls = FaultyCalls(faults, self.clock, self.random)
        ports = Ports(
            clock=self.clock,
            random=self.random,
            table=FaultyTable(calls, self.table),
            objects=self.objects,
            host_list=self.host_list,
            peers=SeverablePeers(
                peer, self.peers, self.cut_off, self.clock, self.delay_s
            ),
            engines=self.engines,
            services=self.services,
        )
        settings = Settings(
            host=HostSettings(name=f"host-{number}"),
            configuration=ConfigurationSettings(when_unknown=self.when_unknown),
        )
        host = HostCore(settings, ports, peer)
        self.peers.handlers[peer] = host
        self.host_list.entries[str(peer)] = HostEntry(str(peer), "local", "local-a")
        self.faults.append(faults)
        self.hosts.append(host)
        return host

    async def start(self, stack: AsyncExitStack, count):
        for number in range(1, count + 1):
            await stack.enter_async_context(self.add_host(number))

    def add_engine(self, name):
        profile = EngineProfile(base_step_s=0.01)
        self.engines.engines[name] = EmbeddedEngine(name, self.clock, profile)

    async def put(self, host, *objects, base=None):
        """Make a change at a host, on ``base`` or on the host's revision."""
        revision = host.view.revision if base is None else base
        return await host.authority.accept("operator", revision, objects)

    async def advance(self, seconds):
        await self.clock.sleep_until(self.clock.now_s() + seconds)

    async def wait_until(self, condition, limit_s=60.0):
        """Wait until a condition holds; return the wait in seconds."""
        started_s = self.clock.now_s()
        while not condition():
            if self.clock.now_s() > started_s + limit_s:
                raise AssertionError(f"the condition did not hold within {limit_s} s")
            await self.advance(0.05)
        return self.clock.now_s() - started_s


def engine(name, model="coder", version="1", adapters=(), **labels):
    """Return the configuration object of an engine."""
    spec = {
        "address": "127.0.0.1:1",
        "region": "local",
        "failure_domain": "local-a",
        "model": model,
        "version": version,
        "adapters": list(adapters),
    }
    return ConfigObject("engine", name, spec, labels)


def customer(name, **labels):
    """Return the configuration object of a customer."""
    spec = {"key_salt": "00", "key_digest": ""}
    return ConfigObject("customer", name, spec, labels)
