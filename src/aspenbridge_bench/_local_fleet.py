"""Starts a platform, engines and hosts as processes on loopback."""

from __future__ import annotations

import asyncio
import random
from typing import TYPE_CHECKING, Any

import attrs
import msgspec

from aspenbridge.backends import HttpTable
from aspenbridge.clock import SystemClock
from aspenbridge.configuration import Authority, ConfigObject
from aspenbridge.http._auth import key_digest
from aspenbridge.ports import HostEntry
from aspenbridge.store import Store

from ._processes import LOOPBACK, wait_listening

if TYPE_CHECKING:
    import aiohttp

    from ._processes import Processes

SALT = "5a" * 16
SECRET = "bench-secret"
MODEL = "coder"
SERVICE = "lending"
STANDINS = ("table", "objects", "hosts", "service")
CALL_LIMIT_S = 5.0
READY_LIMIT_S = 20.0


@attrs.frozen
class EngineProcess:
    """The process of one engine stand-in."""

    name: str
    region: str
    port: int


@attrs.frozen
class HostProcess:
    """The process of one host."""

    name: str
    region: str
    http_port: int
    peer_port: int

    @property
    def url(self) -> str:
        """The base URL at which callers reach the host."""
        return f"http://{LOOPBACK}:{self.http_port}"


@attrs.define
class LocalFleet:
    """
    Starts the parts of a deployment one after the other.

    :ivar ports: the port of each platform stand-in, by kind.
    :ivar host_settings: settings of the hosts that differ from the defaults,
        by section and key.
    """

    processes: Processes
    session: aiohttp.ClientSession
    seed: int
    ports: dict[str, int] = attrs.field(factory=dict)
    engines: list[EngineProcess] = attrs.field(factory=list)
    hosts: list[HostProcess] = attrs.field(factory=list)
    host_settings: dict[str, dict[str, str]] = attrs.field(factory=dict)
    host_module: tuple[str, ...] = ("aspenbridge", "serve")
    host_options: tuple[str, ...] = ()

    async def start_platform(self) -> None:
        """Start the stand-ins of the platform and of a service."""
        for kind in STANDINS:
            self.ports[kind] = self._start_standin(kind, kind)
        for port in self.ports.values():
            await wait_listening(port)

    async def start_engines(self, regions: list[str], *options: str) -> None:
        """Start one engine for each entry of a list of regions."""
        for region in regions:
            name = f"engine-{len(self.engines) + 1}"
            port = self._start_standin(name, "engine", *options)
            self.engines.append(EngineProcess(name, region, port))
        for engine in self.engines:
            await wait_listening(engine.port)

    async def configure(self, customers: list[str]) -> None:
        """Write the first configuration revision into the table."""
        clock = SystemClock()
        source = random.Random(self.seed)
        address = f"{LOOPBACK}:{self.ports['table']}"
        table = HttpTable(self.session, address, CALL_LIMIT_S)
        authority = Authority(Store(table, clock, source), clock)
        objects = [
            *(self._engine_object(engine) for engine in self.engines),
            *(_customer_object(name) for name in customers),
            self._service_object(),
        ]
        (await authority.accept("bench", 0, objects)).unwrap()

    async def start_hosts(self, regions: list[str]) -> None:
        """
        Start one host for each entry of a list of regions.

        Enters the hosts in the host list, and waits until all are ready.
        """
        for region in regions:
            name = f"host-{len(self.hosts) + 1}"
            http_port, peer_port = (
                self.processes.next_port(),
                self.processes.next_port(),
            )
            self.hosts.append(HostProcess(name, region, http_port, peer_port))
        entries = [
            HostEntry(f"{LOOPBACK}:{host.peer_port}", host.region, f"{host.region}-a")
            for host in self.hosts
        ]
        await self.control("hosts", "hosts", entries)
        for host in self.hosts:
            self.start_host(host)
        for host in self.hosts:
            await self.wait_ready(host)

    def start_host(self, host: HostProcess) -> None:
        """Start the process of a host."""
        path = self.processes.directory / f"{host.name}.ini"
        path.write_text(self._ini(host))
        self.processes.start(
            host.name, *self.host_module, "--config", str(path), *self.host_options
        )

    async def wait_ready(self, host: HostProcess) -> None:
        """Wait until a host reports that it accepts requests."""
        await wait_listening(host.http_port)
        async with asyncio.timeout(READY_LIMIT_S):
            while True:
                async with self.session.get(f"{host.url}/health/ready") as response:
                    if response.status == 200:
                        return
                await asyncio.sleep(0.05)

    async def control(self, kind: str, name: str, value: Any) -> None:
        """Post a value to a control path of a stand-in."""
        url = f"http://{LOOPBACK}:{self.ports[kind]}/control/{name}"
        async with self.session.post(url, data=msgspec.json.encode(value)) as response:
            response.raise_for_status()

    async def counts(self, kind: str) -> dict[str, int]:
        """Return the numbers of reads and writes of a stand-in."""
        url = f"http://{LOOPBACK}:{self.ports[kind]}/control/counts"
        async with self.session.get(url) as response:
            return msgspec.json.decode(await response.read(), type=dict[str, int])

    def _start_standin(self, name: str, kind: str, *options: str) -> int:
        """Start a stand-in and return its port; it may not listen yet."""
        port = self.processes.next_port()
        self.processes.start(
            name,
            "aspenbridge_standins",
            "run",
            kind,
            f"--port={port}",
            f"--seed={self.seed}",
            *options,
        )
        return port

    def _engine_object(self, engine: EngineProcess) -> ConfigObject:
        spec = {
            "address": f"{LOOPBACK}:{engine.port}",
            "region": engine.region,
            "failure_domain": f"{engine.region}-a",
            "model": MODEL,
            "version": "1",
        }
        return ConfigObject("engine", engine.name, spec)

    def _service_object(self) -> ConfigObject:
        address = f"{LOOPBACK}:{self.ports['service']}"
        routes = [{"method": "POST", "path": "/bookings", "idempotent": False}]
        spec = {"address": address, "routes": routes}
        return ConfigObject("service", SERVICE, spec)

    def _ini(self, host: HostProcess) -> str:
        sections = {
            "host": {
                "name": host.name,
                "region": host.region,
                "failure_domain": f"{host.region}-a",
            },
            "listen": {
                "http_port": str(host.http_port),
                "peer_port": str(host.peer_port),
            },
            "platform": {
                "table": f"{LOOPBACK}:{self.ports['table']}",
                "objects": f"{LOOPBACK}:{self.ports['objects']}",
                "host_list": f"{LOOPBACK}:{self.ports['hosts']}",
            },
        }
        for name, values in self.host_settings.items():
            sections.setdefault(name, {}).update(values)
        lines = []
        for name, values in sections.items():
            lines.append(f"[{name}]")
            lines.extend(f"{key} = {value}" for key, value in values.items())
        return "\n".join(lines) + "\n"


def _customer_object(name: str) -> ConfigObject:
    spec = {"key_salt": SALT, "key_digest": key_digest(SALT, SECRET)}
    return ConfigObject("customer", name, spec)


def authorization(customer: str) -> dict[str, str]:
    """Return the headers that authenticate a customer."""
    return {"authorization": f"Bearer {customer}.{SECRET}"}
