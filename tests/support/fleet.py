"""Hosts on one virtual loop, with faults of hosts, platform and services."""

from __future__ import annotations

import asyncio
import random
from typing import TYPE_CHECKING, Any

import attrs
from returns.result import Failure

from aspenbridge.configuration import ConfigObject
from aspenbridge.embedded import (
    BookingLedger,
    EmbeddedEngine,
    EmbeddedEngines,
    EmbeddedHostList,
    EmbeddedServices,
    EngineProfile,
)
from aspenbridge.host import HostCore, Ports, StartError
from aspenbridge.ports import HostEntry, PeerAddress
from aspenbridge.settings import BatchSettings, HostSettings, Settings
from aspenbridge_standins._faults import Faults, FaultyCalls
from aspenbridge_standins._platform import FaultyObjects, FaultyTable
from tests.support.gates import (
    EngineRun,
    Gate,
    HostClock,
    HostEngines,
    HostPeers,
    HostServices,
    HostStore,
    Network,
    ServiceFaults,
)
from tests.support.virtual_loop import ManualClock, VirtualLoop

if TYPE_CHECKING:
    from collections.abc import Coroutine

MODEL = "coder"
SERVICE = "lending"
SERVICE_ADDRESS = "127.0.0.1:9"
ENGINES = (("engine-1", "1"), ("engine-2", "2"), ("engine-3", "2"))
ENGINE_PROFILE = EngineProfile(base_step_s=0.02, step_per_sequence_s=0.001)
STORE_DELAY_S = 0.004
CHUNK_ITEMS = 4


@attrs.define(eq=False)
class FleetHost:
    """One host, and the gate that all calls to and from it pass through."""

    core: HostCore
    gate: Gate
    engines: HostEngines
    started: bool = False

    @property
    def usable(self) -> bool:
        return self.started and not self.gate.lost


class ConnectionLost:
    """The result of a call whose connection to the host broke."""


class Fleet:
    """
    Hosts, engines, a service and the platform, on virtual time.

    Time passes only in ``run`` and ``advance``.

    :ivar uncaught: the exceptions that no task handled, as text.
    """

    def __init__(self, seed: int, hosts: int = 3) -> None:
        self.loop = VirtualLoop()
        self.clock = ManualClock(self.loop)
        self.seed = seed
        self.uncaught: list[str] = []
        self.loop.set_exception_handler(self._record_uncaught)
        self.faults = Faults(delay_s=STORE_DELAY_S)
        calls = FaultyCalls(self.faults, self.clock, random.Random(seed))
        self.table = FaultyTable(calls)
        self.objects = FaultyObjects(calls)
        self.store_undisturbed_since_s = 0.0
        self.service_faults = ServiceFaults()
        self.ledger = BookingLedger()
        self.services = EmbeddedServices()
        self.services.ledgers[SERVICE_ADDRESS] = self.ledger
        self.engines = EmbeddedEngines()
        self.host_list = EmbeddedHostList()
        self.network = Network(self.clock, self.uncaught)
        self.runs: list[EngineRun] = []
        self.hosts: list[FleetHost] = []
        self._spawned: list[asyncio.Task[Any]] = []
        self.run(self._start_hosts(hosts))

    def run(self, coroutine: Coroutine[Any, Any, Any]) -> Any:
        """Run a coroutine to its end and return its result."""
        return self.loop.run_until_complete(coroutine)

    def advance(self, duration_s: float) -> None:
        """Run the hosts for a number of virtual seconds."""
        self.run(asyncio.sleep(duration_s))

    def spawn(self, coroutine: Coroutine[Any, Any, Any]) -> asyncio.Task[Any]:
        """Start a coroutine that runs while time passes."""
        task = self.loop.create_task(coroutine)
        self._spawned.append(task)
        return task

    async def call(self, host: FleetHost, call: Coroutine[Any, Any, Any]) -> Any:
        """Run a call; return ``ConnectionLost`` if the host is lost first."""
        task = self.spawn(call)
        host_lost = asyncio.ensure_future(host.gate.lost_event.wait())
        await asyncio.wait({task, host_lost}, return_when=asyncio.FIRST_COMPLETED)
        if host.gate.lost or not task.done():
            return ConnectionLost()
        host_lost.cancel()
        return task.result()

    async def send_request(
        self, host: FleetHost, call: Coroutine[Any, Any, Any]
    ) -> Any:
        """Run a new request at a host, after the checks of the HTTP routes."""
        return await self.call(host, _admit(host, call))

    def add_host(self) -> FleetHost:
        """Start a new host; it is usable once it has registered."""
        number = len(self.hosts) + 1
        gate = Gate(
            f"host-{number}", self.clock, undisturbed_since_s=self.clock.now_s()
        )
        engines = HostEngines(gate, self.engines, self.runs)
        ports = Ports(
            clock=HostClock(gate, self.clock),
            random=random.Random(self.seed * 1000 + number),
            table=HostStore(gate, self.table),
            objects=HostStore(gate, self.objects),
            host_list=self.host_list,
            peers=HostPeers(gate, self.network),
            engines=engines,
            services=HostServices(gate, self.services, self.service_faults),
        )
        peer = PeerAddress("127.0.0.1", number)
        settings = Settings(
            host=HostSettings(name=gate.name),
            batch=BatchSettings(chunk_items=CHUNK_ITEMS),
        )
        host = FleetHost(HostCore(settings, ports, peer), gate, engines)
        self.host_list.entries[str(peer)] = HostEntry(str(peer), "local", "local-a")
        self.hosts.append(host)
        self.spawn(self._start(host, peer))
        return host

    async def _start(self, host: FleetHost, peer: PeerAddress) -> None:
        while not host.started:
            try:
                await host.core.__aenter__()
            except StartError:
                await asyncio.sleep(1.0)
            else:
                self.network.hosts[peer] = (host.gate, host.core)
                host.started = True

    def kill(self, host: FleetHost) -> None:
        """Stop a host without a shutdown: none of its calls continue."""
        host.gate.lost_event.set()
        self.run(host.engines.disconnect())

    def stop(self, host: FleetHost) -> None:
        """Start the shutdown of a host, as SIGTERM does."""
        self.spawn(_shut_down(host))

    def usable(self) -> list[FleetHost]:
        """Return the hosts that callers can reach."""
        return [host for host in self.hosts if host.usable]

    def set_store_faults(self, **faults: Any) -> None:
        """Set faults of the platform's table and object store, by field."""
        for name, value in faults.items():
            setattr(self.faults, name, value)
        self.store_undisturbed_since_s = self.clock.now_s()

    @property
    def store_undisturbed(self) -> bool:
        """Whether the store is up, loses no replies and is not slow."""
        faults = self.faults
        return not faults.down and faults.delay_s < 0.1 and not faults.lose_reply_share

    def undisturbed_since_s(self, host: FleetHost | Gate) -> float:
        """
        Return since when neither the host nor the store has had a fault.

        :return: the time in seconds; infinity while there is a fault.
        """
        gate = host.gate if isinstance(host, FleetHost) else host
        if not (gate.undisturbed and self.store_undisturbed):
            return float("inf")
        return max(gate.undisturbed_since_s, self.store_undisturbed_since_s)

    def heal(self) -> None:
        """End every fault except the loss of hosts."""
        self.set_store_faults(down=False, delay_s=STORE_DELAY_S, lose_reply_share=0.0)
        self.network.cuts.clear()
        faults = self.service_faults
        faults.refuse = faults.break_before = faults.break_after = False
        for host in self.hosts:
            host.gate.resume()
            host.gate.cut_store(cut=False)

    def close(self) -> None:
        """Cancel all tasks and close the loop."""
        for host in self.hosts:
            host.gate.closing = True
        self.loop.set_exception_handler(lambda *_: None)
        for _ in range(5):
            pending = asyncio.all_tasks(self.loop)
            if not pending:
                break
            for task in pending:
                task.cancel()
            self.run(asyncio.wait(pending, timeout=1.0))
        self.run(self.loop.shutdown_asyncgens())
        self.loop.close()

    async def _start_hosts(self, hosts: int) -> None:
        for name, _ in ENGINES:
            self.engines.engines[name] = EmbeddedEngine(
                name, self.clock, ENGINE_PROFILE
            )
        for _ in range(hosts):
            self.add_host()
        while len(self.usable()) < hosts:
            await asyncio.sleep(0.1)
        authority = self.hosts[0].core.authority
        while isinstance(
            await authority.accept("operator", 0, configuration()), Failure
        ):
            await asyncio.sleep(0.5)  # refused until the hosts know each other
        for host in self.hosts:
            await host.core.follower.refresh()

    def _record_uncaught(self, loop: Any, context: dict[str, Any]) -> None:
        error = context.get("exception")
        if error is not None:
            self.uncaught.append(f"{context['message']}: {error!r}")


async def _shut_down(host: FleetHost) -> None:
    await host.core.drain()
    await host.core.__aexit__(None, None, None)
    host.gate.lost_event.set()


async def _admit(host: FleetHost, call: Coroutine[Any, Any, Any]) -> Any:
    await host.gate.wait_until_running()
    refusal = host.core.refusal()
    if refusal is not None:
        call.close()
        return Failure(refusal)
    with host.core.running.track():
        return await host.core.running.run_shielded(call)


def configuration() -> list[ConfigObject]:
    """Return the configuration objects that a fleet starts with."""
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
    return [*objects, ConfigObject("service", SERVICE, service), marker("first")]


def marker(value: str) -> ConfigObject:
    """Return a customer whose label shows which change was applied last."""
    spec = {"key_salt": "00", "key_digest": "00"}
    return ConfigObject("customer", "marker", spec, labels={"value": value})
