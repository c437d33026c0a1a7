"""A small deployment: the store, engines, and hosts as processes."""

from __future__ import annotations

import asyncio
import os
import random
import socket
import sys
import tempfile
import tomllib
from contextlib import AsyncExitStack, suppress
from pathlib import Path
from typing import TYPE_CHECKING, Any, Self

import aiohttp
from aiohttp import web

from .store import Store

if TYPE_CHECKING:
    from .record import Record

ROOT = Path(__file__).resolve().parents[2]
ZONES = {"jhb-a": "gauteng", "cpt-a": "western-cape", "dbn-a": "kwazulu-natal"}
START_LIMIT_S = 30.0
RESTART_DELAY_S = 1.0
LIMITS = {
    "maxHeaderBytes": 16384,
    "maxBodyBytes": 4194304,
    "headerTimeoutMs": 5000,
    "idleTimeoutMs": 15000,
}
SETTINGS = """
nodeName = "{name}"
role = "entry"
machineClass = "edge"
serves = ["edge"]
ip = "{ip}"
zone = "{zone}"
region = "{region}"
portRange = [{peers},{last}]
seeds = []
bootstrap = true
faultCounted = false
discovery = "platform"
entry = "vip"
heartbeatMs = 1200
contracts = ["base","drain","config","cost","recover","batch","stream","engine",
    "platform"]
[zones]
jhb-a = "gauteng"
cpt-a = "western-cape"
dbn-a = "kwazulu-natal"
[listen]
frontend = "{ip}:{callers}"
ready = "{ip}:{ready}"
[limits]
cpuQuota = 0.717
cpus = 3
memoryMb = 330
maxFds = 8200
linkMbps = 1000.0
diskMb = 0
[faultTolerance]
machines = 1
zones = 0
regions = 0
[bounds]
seedLagS = 3
reuseAfterS = 2
contactMs = 4000
ackMs = 5000
catchUpS = 4.7
drainMs = 3000
graceS = 8
lossSlackMs = 200
configApplyMs = 3000
rollbackSlackMs = 250
partitionMs = 6000
recoverS = 12
iterationMs = 400
retryAfterS = 0
finishS = 18
statusS = 120
cancelMs = 3000
settleMs = 1000
quotaOvershoot = 0.1
[platform]
addr = "{store}"
form = "table"
writesPerS = 800
readsPerS = 2000
txMs = 5.0
partWritesS = 200
rowBytes = 65536
across = false
historyS = 20
blobBytes = 8388608
blobMs = 25.0
blobMbS = 80.0
"""


def route(name: str, service: str, kind: str, **fields: Any) -> dict[str, Any]:
    """Return a route of the host ``a.example`` with the prefix ``/NAME/``."""
    return {
        "name": name,
        "host": "a.example",
        "prefix": f"/{name}/",
        "service": service,
        "routeKind": kind,
        "timeoutMs": 5000,
        "latencyGoalMs": 300,
        "gapTargetMs": 300,
        "maxAttempts": 2,
        "priority": 0,
        "sticky": True,
        **fields,
    }


class Host:
    """
    The process of one entry host, started again when it ends by itself.

    :ivar ends: when the process ended by itself, and its exit code.
    """

    def __init__(
        self, name: str, zone: str, ip: str, store: str, directory: Path, record: Record
    ) -> None:
        self.name, self.ip, self.zone = name, ip, zone
        self.ends: list[tuple[float, int]] = []
        self.process: asyncio.subprocess.Process | None = None
        self._record = record
        self._directory = directory
        self._settings = directory / f"{name}.toml"
        callers, ready, peers = _free_ports(ip)
        self.callers, self._ready = f"{ip}:{callers}", f"{ip}:{ready}"
        self._settings.write_text(
            SETTINGS.format(
                name=name,
                ip=ip,
                zone=zone,
                region=ZONES[zone],
                callers=callers,
                ready=ready,
                peers=peers,
                last=peers,
                store=store,
            )
        )
        self._keeper: asyncio.Task[None] | None = None

    def start(self) -> None:
        """Start the process, and again after each end by itself."""
        self._keeper = asyncio.create_task(self._keep())

    async def _keep(self) -> None:
        role = tomllib.loads((ROOT / "deploy/system.toml").read_text())["roles"][
            "entry"
        ]
        program, *arguments = role["run"].split()
        assert program == "python3"
        kept = {
            name: os.environ[name]
            for name in ("PATH", "HOME", "LANG")
            if name in os.environ
        }
        env = kept | {
            "ASPENBRIDGE_BOOT": str(self._settings),
            "PYTHONPATH": str(ROOT / "target/deps"),
        }
        while True:
            with (self._directory / f"{self.name}.log").open("ab") as log:
                self.process = await asyncio.create_subprocess_exec(
                    sys.executable,
                    *arguments,
                    cwd=ROOT,
                    env=env,
                    stdout=log,
                    stderr=log,
                )
            self._record.line("host starts", host=self.name)
            code = await self.process.wait()
            self.ends.append((self._record.now_s(), code))
            self._record.line("host ends by itself", host=self.name, code=code)
            await asyncio.sleep(RESTART_DELAY_S)

    async def stop(self) -> None:
        """End the process."""
        if self._keeper is not None:
            self._keeper.cancel()
        if self.process is not None and self.process.returncode is None:
            with suppress(ProcessLookupError):
                self.process.kill()
            await self.process.wait()

    async def is_ready(self) -> bool:
        """Whether the host answers the balancer's question with 200."""
        timeout = aiohttp.ClientTimeout(total=1.0)
        try:
            async with (
                aiohttp.ClientSession(timeout=timeout) as session,
                session.get(f"http://{self._ready}/readyz") as response,
            ):
                return response.status == 200
        except (aiohttp.ClientError, TimeoutError, OSError):
            return False

    def log_lines(self) -> list[str]:
        """Return what the process has logged."""
        return (self._directory / f"{self.name}.log").read_text().splitlines()


class Fleet:
    """The store and the hosts of a case; ends all that it started."""

    def __init__(self, record: Record, hosts: int) -> None:
        self.store = Store()
        self.hosts: list[Host] = []
        self.record = record
        self._count = hosts
        self._stack = AsyncExitStack()
        # A loopback network of its own: the port of the metrics is fixed.
        self._net = f"127.{random.randint(20, 250)}.{random.randint(1, 250)}"

    def ip(self, number: int) -> str:
        """Return an address of this case."""
        return f"{self._net}.{number}"

    async def __aenter__(self) -> Self:
        directory = Path(self._stack.enter_context(tempfile.TemporaryDirectory()))
        loop = asyncio.get_running_loop()
        server = web.Server(self.store.handle, access_log=None)
        listener = await loop.create_server(server, self.ip(1), 0)
        address = f"{self.ip(1)}:{listener.sockets[0].getsockname()[1]}"
        for number in range(self._count):
            zone = list(ZONES)[number % len(ZONES)]
            host = Host(
                f"edge-{zone}-{number}",
                zone,
                self.ip(10 + number),
                address,
                directory,
                self.record,
            )
            self.hosts.append(host)
            self._stack.push_async_callback(host.stop)
        return self

    async def __aexit__(self, *error: object) -> None:
        await self._stack.aclose()

    def configure(self, routes: list[dict[str, Any]], version: int = 1) -> None:
        """Write the operator's configuration."""
        names = sorted({route["service"] for route in routes})
        self.store.write_json(
            "op",
            "config",
            {
                "version": version,
                "routes": routes,
                "services": [{"name": n, "healthPath": "/healthz"} for n in names],
                "limits": LIMITS,
            },
        )

    async def start_hosts(self) -> None:
        """Start all hosts and wait until they are ready."""
        for host in self.hosts:
            host.start()
        async with asyncio.timeout(START_LIMIT_S):
            for host in self.hosts:
                while not await host.is_ready():
                    await asyncio.sleep(0.1)


def _free_ports(ip: str) -> tuple[int, int, int]:
    """Return free ports; the last one also for datagrams."""
    with socket.socket() as a, socket.socket() as b, socket.socket() as c:
        for sock in (a, b, c):
            sock.bind((ip, 0))
        return tuple(sock.getsockname()[1] for sock in (a, b, c))
