"""A simulated deployment: hosts and engines in three regions."""

from __future__ import annotations

import asyncio
import random

import attrs

from aspenbridge.configuration import ConfigObject, View
from aspenbridge.embedded import EmbeddedEngine, EngineProfile
from aspenbridge.limits import RetryBudget
from aspenbridge.membership import HostRecord, Identity, Members
from aspenbridge.online import Generator
from aspenbridge.peers import MemberNews
from aspenbridge.ports import PeerAddress
from aspenbridge.scheduling import Scheduler
from aspenbridge.settings import HostSettings, SchedulingSettings, Settings
from tests.trials.network import Network, TrialEngines, TrialPeers

MODEL = "m"
REGIONS = ("north", "middle", "south")
DETECTED_AFTER_S = 5.0  # when the other hosts know that a host is lost


@attrs.define
class TrialHost:
    name: str
    region: str
    address: PeerAddress
    members: Members
    engines: TrialEngines
    scheduler: Scheduler
    generator: Generator
    dead: bool = False
    tasks: list = attrs.field(factory=list)


class TrialFleet:
    """
    Hosts and engines, assigned to the regions in turn.

    The default numbers of hosts and engines are those of the current
    deployment.

    :param sequences: the slots of each engine (``max_sequences``).
    :param cache: the limit of an engine's prefix cache, in tokens.
    :param settings: scheduling settings that differ from the defaults.
    """

    def __init__(
        self, clock, seed, hosts=10, engines=5, sequences=32, cache=50_000, **settings
    ) -> None:
        self.clock = clock
        self.random = random.Random(seed)
        self.network = Network(clock)
        self.sequences = sequences
        profile = EngineProfile(cache_limit_tokens=cache)
        names = [f"e{number}" for number in range(engines)]
        self.engines = {name: EmbeddedEngine(name, clock, profile) for name in names}
        self.region_by_engine = {name: REGIONS[n % 3] for n, name in enumerate(names)}
        self.view = View()
        self.view.replace(1, [self._engine(name) for name in names])
        self._hosts: dict[PeerAddress, TrialHost] = {}
        self._settings = SchedulingSettings(**settings)
        for number in range(hosts):
            self._add_host(number)
        for host in self.hosts:
            self._add_members(host)

    @property
    def hosts(self) -> list[TrialHost]:
        """The hosts that were not killed."""
        return [host for host in self._hosts.values() if not host.dead]

    def kill_host(self, host: TrialHost) -> None:
        """Stop a host; the others detect it after ``DETECTED_AFTER_S``."""
        host.dead = True
        for task in host.tasks:
            task.cancel()
        asyncio.get_running_loop().call_later(
            DETECTED_AFTER_S, self._declare_failed, host.name
        )

    def lose_engine(self, name: str) -> None:
        """Crash an engine that does not restart."""
        for host in self._hosts.values():
            host.engines.lost.add(name)
        self.engines[name].crash()

    def owner_hosts(self) -> list[TrialHost]:
        """Return the hosts that own the engine groups, as one host sees it."""
        ownership = self.hosts[0].scheduler.ownership
        owners = {ownership.owner_of(f"{MODEL}/{region}") for region in REGIONS}
        return [host for host in self.hosts if host.name in owners]

    def total(self, counter) -> int:
        """Return the sum of a counter over the hosts that were not killed."""
        return sum(counter(host) for host in self.hosts)

    def _declare_failed(self, name: str) -> None:
        for host in self.hosts:
            host.members.declare_failed(name)

    def _add_members(self, host: TrialHost) -> None:
        for other in self.hosts:
            if other is not host:
                news = MemberNews(
                    other.name, str(other.address), "live", other.region, ""
                )
                host.members.apply(news, direct=True)

    def _add_host(self, number: int) -> None:
        name, region = f"h{number}", REGIONS[number % 3]
        address = PeerAddress("127.0.0.1", number + 1)
        record = HostRecord(name, name, str(address), region, "d", "live", 0.0)
        settings = Settings(
            host=HostSettings(name, region, "d"), scheduling=self._settings
        )
        rng = random.Random(self.random.getrandbits(32))
        members = Members(self.clock)
        engines = TrialEngines(
            self.network, region, self.engines, self.region_by_engine
        )
        scheduler = Scheduler(
            settings,
            lambda: Identity(record, 1),
            members,
            lambda: False,
            self.view,
            TrialPeers(self.network, region, self._hosts),
            engines,
            self.clock,
            rng,
        )
        generator = Generator(
            self.view,
            scheduler.admission,
            engines,
            self.clock,
            rng,
            RetryBudget(settings.limits.retry_budget),
        )
        host = TrialHost(name, region, address, members, engines, scheduler, generator)
        host.tasks = [asyncio.ensure_future(loop()) for loop in scheduler.loops()]
        self._hosts[address] = host

    def _engine(self, name: str) -> ConfigObject:
        spec = {
            "address": name,
            "region": self.region_by_engine[name],
            "failure_domain": "d",
            "model": MODEL,
            "version": "1",
            "max_sequences": self.sequences,
        }
        return ConfigObject("engine", name, spec)
