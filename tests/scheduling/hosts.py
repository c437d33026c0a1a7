"""A few hosts with their schedulers and engines, in one process."""

from __future__ import annotations

import asyncio
import random

import attrs

from aspenbridge.configuration import View
from aspenbridge.configuration._objects import ConfigObject
from aspenbridge.embedded import EmbeddedEngine, EmbeddedEngines, EngineProfile
from aspenbridge.limits import RetryBudget
from aspenbridge.membership import HostRecord, Identity, Members
from aspenbridge.online import Generator
from aspenbridge.peers import MemberNews
from aspenbridge.ports import PeerAddress, PeerUnreachableError
from aspenbridge.scheduling import Scheduler
from aspenbridge.settings import HostSettings, SchedulingSettings, Settings
from aspenbridge.work import Work

MODEL = "m"


class SlowPeers:
    """Delivers messages after a delay; ``unresponsive`` hosts never reply."""

    def __init__(self, clock, delay_s: float = 0.001) -> None:
        self._clock = clock
        self._delay_s = delay_s
        self.handlers: dict[PeerAddress, Scheduler] = {}
        self.unresponsive: set[PeerAddress] = set()
        self.messages: list[object] = []

    async def call(self, address, message, deadline_s):
        self.messages.append(message)
        await self._clock.sleep_until(self._clock.now_s() + self._delay_s)
        if address in self.unresponsive:
            await self._clock.sleep_until(deadline_s)
            raise PeerUnreachableError(address, "no answer", sent=True)
        try:
            async with asyncio.timeout(deadline_s - self._clock.now_s()):
                return await self.handlers[address].handle(message)
        except TimeoutError:
            raise PeerUnreachableError(address, "too late", sent=True) from None


@attrs.define
class TestHost:
    name: str
    address: PeerAddress
    members: Members
    scheduler: Scheduler
    generator: Generator
    tasks: list = attrs.field(factory=list)

    def kill(self) -> None:
        for task in self.tasks:
            task.cancel()

    def work(self, clock, *, online=True, customer="a", tokens=20, remaining_s=60.0):
        return Work(
            work_id="w",
            customer=customer,
            model=MODEL,
            prompt="tell me " * 5,
            max_tokens=tokens,
            online=online,
            deadline_s=clock.now_s() + remaining_s,
        )


class TestFleet:
    """Hosts ``h0``, ``h1``, … and engines of one model in one region."""

    __test__ = False

    def __init__(self, clock, hosts=3, engines=1, sequences=8, **scheduling) -> None:
        self.clock = clock
        self.peers = SlowPeers(clock)
        self.engines = EmbeddedEngines()
        self.view = View()
        self.view.replace(1, [_engine(f"e{n}", sequences) for n in range(engines)])
        for number in range(engines):
            name = f"e{number}"
            self.engines.engines[name] = EmbeddedEngine(name, clock, EngineProfile())
        self.hosts = [self._host(n, scheduling) for n in range(hosts)]
        for host in self.hosts:
            for other in self.hosts:
                if other is not host:
                    news = MemberNews(other.name, str(other.address), "live", "r")
                    host.members.apply(news, direct=True)

    def _host(self, number, scheduling) -> TestHost:
        name = f"h{number}"
        address = PeerAddress("127.0.0.1", number + 1)
        record = HostRecord(name, name, str(address), "r", "d", "live", 0.0)
        settings = Settings(
            host=HostSettings(name, "r", "d"),
            scheduling=SchedulingSettings(**scheduling),
        )
        members = Members(self.clock)
        rng = random.Random(number)
        scheduler = Scheduler(
            settings,
            lambda: Identity(record, 1),
            members,
            lambda: False,
            self.view,
            self.peers,
            self.engines,
            self.clock,
            rng,
        )
        self.peers.handlers[address] = scheduler
        generator = Generator(
            self.view,
            scheduler.admission,
            self.engines,
            self.clock,
            rng,
            RetryBudget(0.1),
        )
        host = TestHost(name, address, members, scheduler, generator)
        host.tasks = [asyncio.ensure_future(loop()) for loop in scheduler.loops()]
        return host

    @property
    def owner(self) -> TestHost:
        name = self.hosts[0].scheduler.ownership.owner_of(f"{MODEL}/r")
        return next(host for host in self.hosts if host.name == name)

    @property
    def others(self) -> list[TestHost]:
        return [host for host in self.hosts if host is not self.owner]

    async def wait_past_grace(self) -> None:
        self.owner.scheduler.owner._group(f"{MODEL}/r")
        await asyncio.sleep(2.0)


def _engine(name, sequences) -> ConfigObject:
    spec = {
        "address": name,
        "region": "r",
        "failure_domain": "d",
        "model": MODEL,
        "version": "1",
        "max_sequences": sequences,
    }
    return ConfigObject("engine", name, spec)
