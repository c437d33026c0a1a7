"""Simulated delays within and between three regions, and network faults."""

from __future__ import annotations

import asyncio
from collections import deque

from aspenbridge.ports import CallOutcome, EngineFailure, PeerUnreachableError

# Delays in one direction.
LOCAL_DELAY_S = 0.001  # between failure domains of one region
REGION_DELAY_S = 0.030  # between regions
CLIENT_DELAY_S = 0.003  # between a caller and a host


class Network:
    """
    One-way delays; a region may be partitioned from the others.

    :ivar cross_region_bytes: the bytes of generated text that engines sent to
        hosts of other regions.
    """

    def __init__(self, clock) -> None:
        self.clock = clock
        self.partitioned_regions: set[str] = set()
        self.cross_region_bytes = 0
        self.peer_messages = 0

    def delay_s(self, source: str, target: str) -> float:
        return LOCAL_DELAY_S if source == target else REGION_DELAY_S

    def partitioned(self, source: str, target: str) -> bool:
        return source != target and bool({source, target} & self.partitioned_regions)

    async def delay_message(self, source: str, target: str) -> None:
        await asyncio.sleep(self.delay_s(source, target))


class TrialPeers:
    """Delivers messages of one host to the others."""

    def __init__(self, network: Network, region: str, hosts: dict) -> None:
        self._network = network
        self._region = region
        self._hosts = hosts

    async def call(self, address, message, deadline_s):
        network = self._network
        network.peer_messages += 1
        host = self._hosts[address]
        if host.dead or network.partitioned(self._region, host.region):
            await network.clock.sleep_until(deadline_s)
            raise PeerUnreachableError(address, "no answer", sent=True)
        try:
            async with asyncio.timeout(deadline_s - network.clock.now_s()):
                await network.delay_message(self._region, host.region)
                reply = await host.scheduler.handle(message)
                await network.delay_message(host.region, self._region)
                return reply
        except TimeoutError:
            raise PeerUnreachableError(address, "too late", sent=True) from None


class TrialEngines:
    """
    Engine calls of one host; each chunk arrives in order after a delay.

    :ivar lost: the names of engines that have crashed.
    """

    def __init__(
        self, network: Network, region: str, engines: dict, region_by_engine
    ) -> None:
        self._network = network
        self._region = region
        self._engines = engines
        self._region_by_engine = region_by_engine
        self.lost: set[str] = set()

    async def generate(self, engine, call):
        await self._reach(engine)
        chunks: asyncio.Queue = asyncio.Queue()
        delay_s = self._network.delay_s(
            self._region, self._region_by_engine[engine.name]
        )
        pump = asyncio.ensure_future(self._pump(engine, call, chunks, delay_s))
        try:
            while True:
                item = await chunks.get()
                if isinstance(item, EngineFailure):
                    raise item
                if item is None:
                    return
                if delay_s > LOCAL_DELAY_S and item.text:
                    self._network.cross_region_bytes += len(item.text)
                yield item
        finally:
            pump.cancel()

    async def _pump(self, engine, call, chunks, delay_s) -> None:
        loop = asyncio.get_running_loop()
        in_flight: deque = deque()

        def send(item) -> None:
            in_flight.append(item)
            loop.call_later(delay_s, lambda: chunks.put_nowait(in_flight.popleft()))

        stream = self._engines[engine.name].generate(call)
        try:
            async for chunk in stream:
                send(chunk)
            send(None)
        except EngineFailure as failure:
            send(failure)
        finally:
            await stream.aclose()

    async def cancel(self, engine, attempt_id) -> None:
        await self._reach(engine)
        self._engines[engine.name].cancel(attempt_id)

    async def load(self, engine):
        await self._reach(engine)
        return self._engines[engine.name].report()

    async def _reach(self, engine) -> None:
        region = self._region_by_engine[engine.name]
        if self._network.partitioned(self._region, region):
            await asyncio.sleep(0.25)
            raise EngineFailure(engine.name, CallOutcome.NOT_SENT, "cut off")
        await self._network.delay_message(self._region, region)
        if engine.name in self.lost:
            raise EngineFailure(engine.name, CallOutcome.NOT_SENT, "refused")
