"""Delays of the brief's three regions, and faults on the way."""

from __future__ import annotations

import asyncio
from collections import deque

from aspenbridge.ports import CallOutcome, EngineFailure, PeerUnreachableError

DOMAIN_DELAY_S = 0.001
REGION_DELAY_S = 0.030
CLIENT_DELAY_S = 0.003


class Network:
    """One-way delays; a region may be cut off from the others."""

    def __init__(self, clock) -> None:
        self.clock = clock
        self.cut: set[str] = set()
        self.region_bytes = 0
        self.peer_messages = 0

    def delay_s(self, source: str, target: str) -> float:
        return DOMAIN_DELAY_S if source == target else REGION_DELAY_S

    def apart(self, source: str, target: str) -> bool:
        return source != target and bool({source, target} & self.cut)

    async def cross(self, source: str, target: str) -> None:
        await asyncio.sleep(self.delay_s(source, target))


class TrialPeers:
    """Messages of one host to the others."""

    def __init__(self, network: Network, region: str, hosts: dict) -> None:
        self._network = network
        self._region = region
        self._hosts = hosts

    async def call(self, address, message, deadline_s):
        network = self._network
        network.peer_messages += 1
        host = self._hosts[address]
        if host.dead or network.apart(self._region, host.region):
            await network.clock.sleep_until(deadline_s)
            raise PeerUnreachableError(address, "no answer", sent=True)
        try:
            async with asyncio.timeout(deadline_s - network.clock.now_s()):
                await network.cross(self._region, host.region)
                reply = await host.scheduler.handle(message)
                await network.cross(host.region, self._region)
                return reply
        except TimeoutError:
            raise PeerUnreachableError(address, "too late", sent=True) from None


class TrialEngines:
    """Engine calls of one host; chunks cross the link one after another."""

    def __init__(self, network: Network, region: str, engines: dict, where) -> None:
        self._network = network
        self._region = region
        self._engines = engines
        self._where = where
        self.lost: set[str] = set()

    async def generate(self, engine, call):
        await self._cross(engine)
        chunks: asyncio.Queue = asyncio.Queue()
        delay_s = self._network.delay_s(self._region, self._where[engine.name])
        pump = asyncio.ensure_future(self._pump(engine, call, chunks, delay_s))
        try:
            while True:
                item = await chunks.get()
                if isinstance(item, EngineFailure):
                    raise item
                if item is None:
                    return
                if delay_s > DOMAIN_DELAY_S and item.text:
                    self._network.region_bytes += len(item.text)
                yield item
        finally:
            pump.cancel()

    async def _pump(self, engine, call, chunks, delay_s) -> None:
        loop = asyncio.get_running_loop()
        under_way: deque = deque()

        def send(item) -> None:
            under_way.append(item)
            loop.call_later(delay_s, lambda: chunks.put_nowait(under_way.popleft()))

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
        await self._cross(engine)
        self._engines[engine.name].cancel(attempt_id)

    async def load(self, engine):
        await self._cross(engine)
        return self._engines[engine.name].report()

    async def _cross(self, engine) -> None:
        region = self._where[engine.name]
        if self._network.apart(self._region, region):
            await asyncio.sleep(0.25)
            raise EngineFailure(engine.name, CallOutcome.NOT_SENT, "cut off")
        await self._network.cross(self._region, region)
        if engine.name in self.lost:
            raise EngineFailure(engine.name, CallOutcome.NOT_SENT, "refused")
