"""
Measures one entry host in a fleet: its processor time by cause.

The host is a real process; the rest of the fleet is one stand-in. The causes
are turned on one after the other, and each adds to those before it.
"""

from __future__ import annotations

import asyncio
import time
from collections import Counter
from contextlib import AsyncExitStack
from typing import TYPE_CHECKING, Any, Self

import aiohttp
import attrs
import msgspec
from aiohttp import web

from aspenbridge.platform import _names as names
from aspenbridge_standins.entry_platform import (
    EntryStore,
    Peers,
    engine_rows,
    stream_events,
    traffic,
)

from ._processes import LOOPBACK, wait_listening

if TYPE_CHECKING:
    from collections.abc import Coroutine

    from ._processes import Processes

HOST_IP = "127.0.99.1"
DOMAIN = "domain-0"
SERVICE = "service"
VIRTUAL_HOST = "a.example"
ENGINES_PER_HOST = 2 / 3
REQUESTS_PER_S = 3.0
IDLE_CHANGES_PER_S = 1.0  # the repeated reports
LOADED_CHANGES_PER_S = 7.0  # of each host, on a grown deployment's heavy day
HEADS_PER_S = 30.0  # changes of all hosts' jobs on such a day
OK = 200
WARM_UP_S = 4.0  # longer than a silent host is live
SETTINGS = """
nodeName = "measured"
zone = "{domain}"
region = "region-0"
heartbeatMs = 1200
ip = "{ip}"
portRange = [{peers},{peers}]
[zones]
domain-0 = "region-0"
domain-1 = "region-0"
domain-2 = "region-1"
[listen]
frontend = "{ip}:{callers}"
ready = "{ip}:{ready}"
[limits]
memoryMb = 200
[bounds]
drainMs = 1000
graceS = 4
cancelMs = 3000
statusS = 120
[platform]
addr = "{store}"
rowBytes = 65536
blobBytes = 8388608
"""


@attrs.frozen
class Phase:
    """Which causes of work are on: renewed rows, reports, heads, requests."""

    name: str
    renewing: bool = True
    changes_per_s: float = 0.0  # of the load of each other host
    heads_per_s: float = 0.0  # changes of the jobs of the other hosts
    requests_per_s: float = 0.0


PHASES = (
    Phase("alone", renewing=False),
    Phase("rows renewed"),
    Phase("idle fleet", changes_per_s=IDLE_CHANGES_PER_S),
    Phase("reports of a loaded fleet", changes_per_s=LOADED_CHANGES_PER_S),
    Phase(
        "jobs of other hosts",
        changes_per_s=LOADED_CHANGES_PER_S,
        heads_per_s=HEADS_PER_S,
    ),
    Phase(
        "requests",
        changes_per_s=LOADED_CHANGES_PER_S,
        heads_per_s=HEADS_PER_S,
        requests_per_s=REQUESTS_PER_S,
    ),
)


@attrs.frozen
class PhaseCost:
    """
    What one host used and exchanged in a phase, per second.

    :ivar cores: processor seconds per second.
    :ivar requests: those that were served.
    """

    hosts: int
    phase: str
    cores: float
    store_calls: dict[str, float]
    datagrams: dict[str, float]
    requests: float


class ProfiledHost:
    """One host process with its store, engines and peers."""

    def __init__(self, processes: Processes, hosts: int) -> None:
        self._processes = processes
        self._hosts = hosts
        self._name = f"host of {hosts}"
        engines = int(hosts * ENGINES_PER_HOST)
        self._engine_ids = [f"i-{number:08x}" for number in range(engines)]
        self._store = EntryStore()
        self._stack = AsyncExitStack()
        self._requests = 0
        self._running: set[asyncio.Task[None]] = set()
        self._requesting: set[asyncio.Task[None]] = set()
        self._peers: Peers
        self._session: aiohttp.ClientSession
        self._url: str

    async def __aenter__(self) -> Self:
        store_port = await self._serve(web.Server(self._store.handle))
        engine_port = await self._serve(web.Server(stream_events))
        self._fill_store(f"{LOOPBACK}:{engine_port}")
        callers, ready, peers = (self._processes.next_port() for _ in range(3))
        self._peers = Peers(self._store, (HOST_IP, peers), self._engine_ids)
        self._stack.callback(self._peers.close)
        await self._peers.open(self._hosts - 1, peers)
        self._session = await self._stack.enter_async_context(aiohttp.ClientSession())
        self._url = f"http://{HOST_IP}:{callers}/a/x"
        settings = self._processes.directory / f"{self._hosts}.toml"
        settings.write_text(
            SETTINGS.format(
                domain=DOMAIN,
                ip=HOST_IP,
                callers=callers,
                ready=ready,
                peers=peers,
                store=f"{LOOPBACK}:{store_port}",
            )
        )
        self._processes.start(
            self._name,
            "aspenbridge.platform",
            variables={names.SETTINGS_VARIABLE: str(settings)},
        )
        self._stack.callback(self._processes.stop, self._name)
        await wait_listening(callers, HOST_IP)
        self._start(self._peers.run())
        return self

    async def __aexit__(self, *error: object) -> None:
        for task in self._running:
            task.cancel()
        await asyncio.gather(*self._running, return_exceptions=True)
        await self._stack.aclose()

    async def _serve(self, server: web.Server) -> int:
        loop = asyncio.get_running_loop()
        listener = await loop.create_server(server, LOOPBACK, 0)
        self._stack.callback(listener.close)
        return int(listener.sockets[0].getsockname()[1])

    def _fill_store(self, engine_address: str) -> None:
        rows = engine_rows(self._engine_ids, engine_address, DOMAIN, SERVICE)
        for engine_id, row in rows.items():
            self._store.write(names.ENGINES_TABLE, engine_id, row)
        configuration = {
            "version": 1,
            "routes": [
                {
                    "name": "r",
                    "host": VIRTUAL_HOST,
                    "prefix": "/a/",
                    "routeKind": "streaming",
                    "timeoutMs": 5000,
                    "latencyGoalMs": 1000,
                    "service": SERVICE,
                    "maxAttempts": 1,
                }
            ],
            "limits": {
                "maxHeaderBytes": 16384,
                "maxBodyBytes": 4194304,
                "headerTimeoutMs": 5000,
                "idleTimeoutMs": 15000,
            },
        }
        self._store.write(
            names.OPERATOR_TABLE,
            names.CONFIGURATION_KEY,
            msgspec.json.encode(configuration),
        )

    async def measure(self, phase: Phase, seconds: float) -> PhaseCost:
        """Run a phase for a number of seconds and return its cost."""
        self._peers.renewing = phase.renewing
        self._peers.heads_per_s = phase.heads_per_s
        self._peers.traffic = traffic(self._hosts - 1, phase.changes_per_s)
        callers = self._start(self._call(phase.requests_per_s))
        await asyncio.sleep(WARM_UP_S)
        calls, datagrams = Counter(self._store.calls), Counter(self._peers.counts)
        requests, started_s = self._requests, time.monotonic()
        cpu_before_s = self._processes.cpu_s(self._name)
        await asyncio.sleep(seconds)
        elapsed_s = time.monotonic() - started_s
        spent_s = self._processes.cpu_s(self._name) - cpu_before_s
        callers.cancel()
        await asyncio.gather(*self._requesting)
        return PhaseCost(
            hosts=self._hosts,
            phase=phase.name,
            cores=spent_s / elapsed_s,
            store_calls=_rates(self._store.calls - calls, elapsed_s),
            datagrams=_rates(self._peers.counts - datagrams, elapsed_s),
            requests=(self._requests - requests) / elapsed_s,
        )

    async def _call(self, requests_per_s: float) -> None:
        while requests_per_s:
            request = self._start(self._request())
            self._requesting.add(request)
            request.add_done_callback(self._requesting.discard)
            await asyncio.sleep(1 / requests_per_s)

    async def _request(self) -> None:
        headers = {
            "Host": VIRTUAL_HOST,
            names.REQUEST_ID: f"{time.monotonic_ns():016x}",
            names.TIME_BUDGET_MS: "4000",
        }
        async with self._session.post(self._url, data=b"x", headers=headers) as reply:
            await reply.read()
        self._requests += reply.status == OK

    def _start(self, coroutine: Coroutine[Any, Any, None]) -> asyncio.Task[None]:
        task = asyncio.create_task(coroutine)
        self._running.add(task)
        task.add_done_callback(self._running.discard)
        return task


def _rates(counts: Counter[str], seconds: float) -> dict[str, float]:
    return {name: count / seconds for name, count in sorted(counts.items())}


async def profile_host(
    processes: Processes, hosts: int, seconds: float
) -> list[PhaseCost]:
    """Measure all phases of one host in a fleet of a size."""
    async with ProfiledHost(processes, hosts) as host:
        return [await host.measure(phase, seconds) for phase in PHASES]
