"""One run of the soak: hosts, stand-ins, callers and overlapping faults."""

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
from ._oracle import Oracle

if TYPE_CHECKING:
    from collections.abc import Callable
    from pathlib import Path

ENGINES = 3
ONLINE_CALLERS = 6
RESULT_READERS = 4
JOB_INTERVAL_S = 1.2  # mean time between two submissions
# How long the hosts may take to finish all jobs once the faults have ended.
# Jobs are taken over within seconds then.
SETTLE_LIMIT_S = 90.0


@attrs.frozen
class Options:
    """The options of one run, as the command line gives them."""

    seed: int
    seconds: float = 12.0
    hosts: int = 4
    removed_guard: str = ""  # a key of GUARDS; empty: none is removed
    first_fault: str = ""  # a kind of fault to begin with; empty: any
    subnet: int = 1  # hosts listen on 127.0.<subnet>.*; differs in parallel runs


class SoakRun:
    """
    The hosts, engines, store and callers of one run.

    :ivar engines: the engines that are registered and not draining.
    :ivar version: the configuration version that was written last.
    """

    def __init__(self, options: Options, directory: Path) -> None:
        self.options = options
        self.random = Random(options.seed)
        self.store = StoreStandIn()
        self.store.random = self.random
        self.runs: list = []
        self.oracle = Oracle(self.runs)
        self.hosts: list[HostProcess] = []
        self.engines: list[EngineStandIn] = []
        self.version = 0
        self.on_crash: Callable[[EngineStandIn, str], None] = lambda *_: None
        self._engine_number = 0
        self._directory = directory
        self._stack = AsyncExitStack()
        self.callers: Callers

    async def run(self) -> Oracle:
        """
        Start all parts, inject faults, end them, and check the promises.

        :return: the oracle, which holds the violations.
        """
        async with self._stack:
            await self._start()
            faults = Faults(self)
            tasks = [asyncio.create_task(c) for c in self._loops()]
            try:
                await faults.inject(self.options.seconds)
                await faults.heal()
                await faults.drain_without_faults()
            finally:
                for task in tasks:
                    task.cancel()
                await asyncio.gather(*tasks, return_exceptions=True)
            await self._settle()
            self.oracle.check_runs()
            self.oracle.check_jobs_ended()
            self.oracle.check_crashing_requests(self.hosts)
            self.oracle.fault_counts = faults.counts
        return self.oracle

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
                f"127.0.{self.options.subnet}.{number + 1}",
                store_port,
                self._directory,
                self.options.removed_guard,
            )
            await self._stack.enter_async_context(host)
            await host.start()
            self.hosts.append(host)
        for host in self.hosts:
            await host.wait_ready()
        session = await self._stack.enter_async_context(
            aiohttp.ClientSession(connector=aiohttp.TCPConnector(limit=0))
        )
        self.callers = Callers(self.hosts, self.oracle, self.random, session)
        self.callers.versions.append(self.version)

    def _loops(self) -> list:
        callers = [self.callers.send_requests_forever() for _ in range(ONLINE_CALLERS)]
        return [
            *callers,
            self.callers.submit_jobs_forever(JOB_INTERVAL_S),
            *(self.callers.read_results_forever() for _ in range(RESULT_READERS)),
        ]

    async def add_engine(self) -> EngineStandIn:
        """Start an engine and register it in the store."""
        self._engine_number += 1
        name = f"i-{self._engine_number}"
        engine = EngineStandIn(name, self.random, self.runs)
        engine.on_crash = lambda *crash: self.on_crash(*crash)
        await self._stack.enter_async_context(engine)
        self.engines.append(engine)
        self.register(engine, "ready")
        return engine

    def register(self, engine: EngineStandIn, state: str) -> None:
        """Write the row that registers an engine in a state."""
        row = engine_row(engine.link.address, state, engine.started_ms)
        self.store.write("servers", engine.name, row)

    def change_configuration(self) -> None:
        """Write a new configuration version with a route of its own."""
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

    def clear_engine_faults(self) -> None:
        """End the faults of all engines."""
        for engine in self.engines:
            engine.faults = EngineFaults()

    async def _settle(self) -> None:
        """
        Wait until all results are read and every host returns each job.

        It is a violation if this takes longer than ``SETTLE_LIMIT_S``.
        """
        try:
            async with asyncio.timeout(SETTLE_LIMIT_S):
                for host in self.hosts:
                    await host.wait_ready()
                await self._read_until_done()
                for job in self._accepted_jobs():
                    for host in self.hosts:
                        while not await self.callers.read(job, host):
                            await asyncio.sleep(0.2)
        except TimeoutError:
            self.oracle.add_violation("all settles", f"not in {SETTLE_LIMIT_S} s")

    async def _read_until_done(self) -> None:
        while open_jobs := [job for job in self._accepted_jobs() if not job.done]:
            for job in open_jobs:
                await self.callers.read(job, self.random.choice(self.hosts))

    def _accepted_jobs(self) -> list:
        return [job for job in list(self.oracle.jobs.values()) if job.accepted]
