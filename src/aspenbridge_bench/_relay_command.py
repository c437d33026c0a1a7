"""``relay``: the processor time that a host uses per streamed token."""

from __future__ import annotations

import asyncio
import time
from pathlib import Path
from typing import TYPE_CHECKING, Any, ClassVar

import attrs
import msgspec
from cleo.commands.command import Command
from cleo.helpers import option

from aspenbridge.backends import open_session
from aspenbridge.loop import run_on_loop

from ._fit import Point, fit
from ._local_fleet import MODEL, LocalFleet, authorization
from ._processes import Processes

if TYPE_CHECKING:
    import aiohttp

FIRST_PORT = 26000
ENGINES = 4
STREAM_COUNTS = (8, 32, 96)
ANSWER_TOKENS = 100
MEASURE_S = 6.0
IDLE_S = 8.0
CUSTOMER = "kgotso"
REGION = "gauteng"


@attrs.frozen
class RelayCost:
    """The resources that a host used while a number of streams ran."""

    streams: int
    requests: int
    tokens: int
    seconds: float
    cpu_s: float
    resident_bytes: int

    @property
    def tokens_per_s(self) -> float:
        """The number of tokens that the host relayed per second."""
        return self.tokens / self.seconds


@attrs.define
class _Load:
    """Streams at one host, each started when the previous one has ended."""

    session: aiohttp.ClientSession
    url: str
    until_s: float
    requests: int = 0
    tokens: int = 0

    async def stream(self, number: int) -> None:
        """Request one generation after another until the time is up."""
        while time.monotonic() < self.until_s:
            await self._request(f"respondent {number} answers {self.requests}")
            self.requests += 1

    async def _request(self, prompt: str) -> None:
        body = {
            "model": MODEL,
            "messages": [{"role": "user", "content": prompt}],
            "max_tokens": ANSWER_TOKENS,
            "stream": True,
        }
        async with self.session.post(
            f"{self.url}/v1/chat/completions",
            data=msgspec.json.encode(body),
            headers=authorization(CUSTOMER),
        ) as response:
            response.raise_for_status()
            async for line in response.content:
                self.tokens += line.startswith(b'data: {"id"')


async def relay_cost(fleet: LocalFleet, streams: int) -> RelayCost:
    """Run streams through the only host of a fleet."""
    host = fleet.hosts[0]
    started_s = time.monotonic()
    cpu_before_s = fleet.processes.cpu_s(host.name)
    load = _Load(fleet.session, host.url, started_s + MEASURE_S)
    await asyncio.gather(*(load.stream(number) for number in range(streams)))
    return RelayCost(
        streams=streams,
        requests=load.requests,
        tokens=load.tokens,
        seconds=time.monotonic() - started_s,
        cpu_s=fleet.processes.cpu_s(host.name) - cpu_before_s,
        resident_bytes=fleet.processes.resident_bytes(host.name),
    )


class RelayCommand(Command):
    """Measures the processor time of a host per streamed token."""

    name = "relay"
    description = "Measure the processor time of a host per streamed token."
    options: ClassVar = [
        option("seed", None, "Seed of the stand-ins.", flag=False, default="1"),
        option("output", "o", "File for the JSON output.", flag=False),
    ]

    def handle(self) -> int:
        """Run the command and return its exit code."""
        return run_on_loop(self._measure(int(self.option("seed"))))

    async def _measure(self, seed: int) -> int:
        with Processes(FIRST_PORT) as processes:
            async with open_session() as session:
                fleet = LocalFleet(processes, session, seed)
                await fleet.start_platform()
                await fleet.start_engines([REGION] * ENGINES)
                await fleet.configure([CUSTOMER])
                await fleet.start_hosts([REGION])
                report = await self._report(fleet, seed)
        body = msgspec.json.format(msgspec.json.encode(report), indent=1)
        if self.option("output"):
            Path(self.option("output")).write_bytes(body + b"\n")
        self.line(body.decode())
        return 0

    async def _report(self, fleet: LocalFleet, seed: int) -> dict[str, Any]:
        name = fleet.hosts[0].name
        empty_bytes = fleet.processes.resident_bytes(name)
        cpu_before_s = fleet.processes.cpu_s(name)
        await asyncio.sleep(IDLE_S)
        idle_share = (fleet.processes.cpu_s(name) - cpu_before_s) / IDLE_S
        costs = [await relay_cost(fleet, streams) for streams in STREAM_COUNTS]
        points = [Point(round(c.tokens_per_s), c.cpu_s / c.seconds) for c in costs]
        slope = fit("host process", "s per s", "tokens/s", points)
        return {
            "command": f"python -m aspenbridge_bench relay --seed {seed}",
            "seed": seed,
            "empty_resident_bytes": empty_bytes,
            "idle_cpu_share": idle_share,
            "costs": [attrs.asdict(cost) for cost in costs],
            "slope": attrs.asdict(slope),
            "tokens_per_s_a_core": (1.0 - slope.intercept) / slope.slope,
        }
