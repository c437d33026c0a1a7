"""One seeded run: hosts, stand-ins, callers and faults that overlap."""

from __future__ import annotations

import asyncio
from contextlib import AsyncExitStack
from random import Random
from typing import TYPE_CHECKING

import aiohttp
import attrs
from aiohttp import web

from tests.support.platform_standins import (
    StoreStandIn,
    configuration,
    engine_row,
)

from ._callers import Callers
from ._engines import EngineFaults, EngineStandIn
from ._faults import Faults
from ._hosts import HostProcess
from ._promises import Promises

if TYPE_CHECKING:
    from pathlib import Path

ENGINES = 3
ASKERS = 6
READERS = 4
JOB_PAUSE_S = 1.2
SETTLE_LIMIT_S = 90.0  # all is healed; a job is taken over within seconds


@attrs.frozen
class Options:
    """What a run consists of."""

    seed: int
    seconds: float = 12.0
    hosts: int = 4
    without: str = ""
    slot: int = 1  # runs beside each other use addresses of their own


class SoakRun:
    """The parts of one run."""

    def __init__(self, options: Options, directory: Path) -> None:
        self.options = options
        self.random = Random(options.seed)
        self.store = StoreStandIn()
        self.store.random = self.random
        self.runs: list = []
        self.promises = Promises(self.runs)
        self.hosts: list[HostProcess] = []
        self.engines: list[EngineStandIn] = []
        self.version = 0
        self._engine_number = 0
        self._directory = directory
        self._stack = AsyncExitStack()
        self.callers: Callers

    async def run(self) -> Promises:
        """Start everything, inject faults, heal, and check what came of it."""
        async with self._stack:
            await self._start()
            faults = Faults(self)
            tasks = [asyncio.create_task(c) for c in self._loops()]
            try:
                await faults.inject(self.options.seconds)
                await faults.heal()
                await faults.drain_in_calm()
            finally:
                for task in tasks:
                    task.cancel()
                await asyncio.gather(*tasks, return_exceptions=True)
            await self._settle()
            self.promises.check_runs()
            self.promises.check_jobs_ended()
            self.promises.faults = faults.counts
        return self.promises

    async def _start(self) -> None:
        loop = asyncio.get_running_loop()
        server = web.Server(self.store.handle, access_log=None)
        listener = await loop.create_server(server, "127.0.0.1", 0)
        self._stack.callback(listener.close)
        store_port = listener.sockets[0].getsockname()[1]
        for _ in range(ENGINES):
            await self.add_engine()
        self.change_configuration()
        for number in range(self.options.hosts):
            host = HostProcess(
                f"h{number}",
                f"127.0.{self.options.slot}.{number + 1}",
                store_port,
                self._directory,
                self.options.without,
            )
            await self._stack.enter_async_context(host)
            await host.start()
            self.hosts.append(host)
        for host in self.hosts:
            await host.wait_ready()
        session = await self._stack.enter_async_context(
            aiohttp.ClientSession(connector=aiohttp.TCPConnector(limit=0))
        )
        self.callers = Callers(self.hosts, self.promises, self.random, session)
        self.callers.versions.append(self.version)

    def _loops(self) -> list:
        asking = [self.callers.ask_forever() for _ in range(ASKERS)]
        return [
            *asking,
            self.callers.submit_forever(JOB_PAUSE_S),
            *(self.callers.read_forever() for _ in range(READERS)),
        ]

    async def add_engine(self) -> EngineStandIn:
        """Start an engine and register it."""
        self._engine_number += 1
        name = f"i-{self._engine_number}"
        engine = EngineStandIn(name, self.random, self.runs)
        await self._stack.enter_async_context(engine)
        self.engines.append(engine)
        self.register(engine, "ready")
        return engine

    def register(self, engine: EngineStandIn, state: str) -> None:
        """Write the row of an engine."""
        row = engine_row(engine.link.address, state)
        self.store.write("servers", engine.name, row)

    def change_configuration(self) -> None:
        """Write a version with one route that only it has."""
        self.version += self.random.randint(1, 3)
        common = {
            "host": "a.example",
            "service": "llm",
            "timeoutMs": 4000,
            "latencyGoalMs": 1500,
            "maxAttempts": 3,
        }
        routes = [
            common | {"name": "free", "prefix": "/free/", "routeKind": "idempotent"},
            common
            | {"name": "once", "prefix": "/once/", "routeKind": "non_idempotent"},
            common
            | {
                "name": "seen",
                "prefix": f"/v{self.version}/",
                "routeKind": "streaming",
                "resumable": True,
            },
            common
            | {
                "name": "batch",
                "prefix": "/batch/",
                "routeKind": "batch",
                "completionTargetMs": 18000,
                "retainS": 600,
            },
        ]
        self.store.write("op", "config", configuration(self.version, routes))
        if hasattr(self, "callers"):
            self.callers.versions.append(self.version)

    def calm_engines(self) -> None:
        """End the faults of all engines."""
        for engine in self.engines:
            engine.faults = EngineFaults()

    async def _settle(self) -> None:
        """Wait until every accepted job was read whole at every host."""
        try:
            async with asyncio.timeout(SETTLE_LIMIT_S):
                for host in self.hosts:
                    await host.wait_ready()
                await self._read_until_done()
                for job in self._accepted():
                    for host in self.hosts:
                        while not await self.callers.read(job, host):
                            await asyncio.sleep(0.2)
        except TimeoutError:
            self.promises.blame("all settles", f"not in {SETTLE_LIMIT_S} s")

    async def _read_until_done(self) -> None:
        while open_jobs := [job for job in self._accepted() if not job.done]:
            for job in open_jobs:
                await self.callers.read(job, self.random.choice(self.hosts))

    def _accepted(self) -> list:
        return [job for job in list(self.promises.jobs.values()) if job.accepted]
