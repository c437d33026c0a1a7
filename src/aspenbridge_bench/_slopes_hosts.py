"""Measures the cost of membership: member state, probes, idle loops."""

from __future__ import annotations

import asyncio
import random
import time
from functools import partial
from typing import TYPE_CHECKING, Any

import attrs

from aspenbridge.configuration import ConfigObject
from aspenbridge.membership import Members
from aspenbridge.peers import (
    Ack,
    GrantRelease,
    GrantReply,
    GrantRequest,
    MemberNews,
    Probe,
    ProbeReply,
)
from aspenbridge.peers._codec import encode_message
from aspenbridge.ports import PeerAddress
from aspenbridge.settings import HostSettings, Settings

from ._clocks import FastClock, JumpClock
from ._fit import Point, Slope, fit
from ._fleet import CountedFleet, Counts, WirePeers
from ._measure import async_cpu_s, cpu_s, resident_bytes

if TYPE_CHECKING:
    from aspenbridge.host import HostCore
    from aspenbridge.peers import Message
    from aspenbridge.ports import Clock

SIZES = (10, 100, 420)
UPDATES_PER_MESSAGE = 8
IDLE_VIRTUAL_S = 300.0
WARM_UP_VIRTUAL_S = 20.0
PROBES = 200


def member_news(number: int, counter: int = 1) -> MemberNews:
    """Return an update about a host, with ids of the usual length."""
    return MemberNews(
        incarnation=f"host-{number:03d}-{number:024x}",
        address=f"10.{number // 250}.{number % 250}.17:8081",
        state="live",
        region=f"region-{number % 4}",
        failure_domain=f"domain-{number % 11}",
        counter=counter,
    )


class SimulatedPeers:
    """Simulates all other hosts of a fleet for one host under test."""

    def __init__(self, size: int, source: random.Random) -> None:
        self._size = size
        self._random = source
        self._by_address = {member_news(n).address: n for n in range(size)}
        self._counter = 1

    def reply_to(self, address: PeerAddress, message: Any) -> Any:
        """Return the reply of the host that has an address."""
        if not isinstance(message, Probe):
            return Ack()
        self._counter += 1
        sender = member_news(self._by_address[str(address)], self._counter)
        return ProbeReply(sender, self.random_updates(), message.revision)

    def random_updates(self) -> tuple[MemberNews, ...]:
        """Return current updates about randomly chosen hosts."""
        count = min(UPDATES_PER_MESSAGE, self._size)
        numbers = self._random.sample(range(self._size), count)
        return tuple(member_news(number, self._counter) for number in numbers)

    def probe(self) -> Probe:
        """Return a probe from a randomly chosen host."""
        self._counter += 1
        number = self._random.randrange(self._size)
        return Probe(member_news(number, self._counter), self.random_updates(), 1)


def _members(size: int) -> Members:
    members = Members(FastClock(1.0))
    for number in range(size):
        members.apply(member_news(number), direct=True)
    return members


def _fleet(size: int, seed: int, clock: Clock) -> tuple[CountedFleet, SimulatedPeers]:
    source = random.Random(seed)
    simulated = SimulatedPeers(size, source)
    fleet = CountedFleet(clock, source, WirePeers(simulated.reply_to))
    return fleet, simulated


def _settings() -> Settings:
    return Settings(host=HostSettings(name="measured"))


async def _probe_costs(size: int, seed: int) -> tuple[float, float]:
    """Return the processor seconds and the bytes of sending one probe."""
    fleet, simulated = _fleet(size, seed, FastClock(0.001))
    async with fleet.host(_settings()) as host:
        _add_members(host, size)
        spent_s = await async_cpu_s(host.detector.tick, PROBES)
        peers = fleet.peers
        exchanged_bytes = peers.sent_bytes + peers.received_bytes
        simulated.probe()
    return spent_s, exchanged_bytes / peers.calls


def _add_members(host: HostCore, size: int) -> None:
    for number in range(size):
        host.members.apply(member_news(number), direct=True)


@attrs.frozen
class IdleCost:
    """
    What one host without work uses, per second of virtual time.

    :ivar hosts: the size of the fleet.
    :ivar cpu_share: processor seconds per second.
    :ivar silent_share: the share of hosts that sent nothing for four seconds.
    """

    hosts: int
    cpu_share: float
    bytes_per_s: float
    counts_per_s: dict[str, float]
    silent_share: float


async def idle_cost(size: int, seed: int) -> IdleCost:
    """Run one host and simulated peers without work, on a jumping clock."""
    clock = JumpClock()
    fleet, simulated = _fleet(size, seed, clock)
    await clock.run_for(1.0)  # fills the token buckets of the stand-ins
    async with fleet.host(_settings()) as host:
        accepted = await host.authority.accept("bench", 0, _one_engine())
        accepted.unwrap()
        _add_members(host, size)
        probes = asyncio.create_task(_send_peer_probes(host, simulated))
        await clock.run_for(WARM_UP_VIRTUAL_S)
        counts_before, started_s = Counts.of(fleet), clock.now_s()
        bytes_before = fleet.peers.sent_bytes + fleet.peers.received_bytes
        cpu_before_s = time.process_time()
        await clock.run_for(IDLE_VIRTUAL_S)
        spent_s = time.process_time() - cpu_before_s
        elapsed_s = clock.now_s() - started_s
        exchanged_bytes = (
            fleet.peers.sent_bytes + fleet.peers.received_bytes - bytes_before
        )
        counts = attrs.asdict(Counts.of(fleet).since(counts_before))
        silent = host.members.not_received_since(clock.now_s() - 4.0)
        probes.cancel()
    return IdleCost(
        hosts=size,
        cpu_share=spent_s / elapsed_s,
        bytes_per_s=2 * exchanged_bytes / elapsed_s,
        counts_per_s={name: count / elapsed_s for name, count in counts.items()},
        silent_share=len(silent) / size,
    )


async def _send_peer_probes(host: HostCore, simulated: SimulatedPeers) -> None:
    """Send the host one probe per second, as many as all peers send."""
    clock = host.ports.clock
    while True:
        encode_message(await host.handle(simulated.probe()))
        await clock.sleep_until(clock.now_s() + 1.0)


def _one_engine() -> list[ConfigObject]:
    spec = {
        "address": "127.0.0.1:9",
        "region": "region-0",
        "failure_domain": "domain-0",
        "model": "coder",
        "version": "1",
    }
    return [ConfigObject("engine", "engine-1", spec)]


def grant_messages() -> dict[str, int]:
    """Return the encoded size in bytes of each message of one grant."""
    request = GrantRequest(
        grant=f"grant-{7:024x}",
        group="coder/region-0/03",
        online=True,
        customer="customer-0421",
        prompt_tokens=420,
        max_tokens=256,
        prefix_hashes=(11, 12, 13, 14),
        wait_s=0.25,
        origin=member_news(3).incarnation,
    )
    reply = GrantReply(True, "engine-0042", member_news(5).incarnation)
    release = GrantRelease("coder/region-0/03", request.grant, 180)
    messages: dict[str, Message] = {
        "request": request,
        "reply": reply,
        "release": release,
        "ack": Ack(),
    }
    return {name: len(encode_message(message)) for name, message in messages.items()}


async def host_slopes(seed: int) -> tuple[list[Slope], list[IdleCost]]:
    """Return the slopes over the number of hosts in the fleet."""
    state, probe_cpu, probe_bytes, live = [], [], [], []
    for size in SIZES:
        state.append(Point(size, resident_bytes(partial(_members, size))))
        spent_s, exchanged_bytes = await _probe_costs(size, seed)
        probe_cpu.append(Point(size, spent_s))
        probe_bytes.append(Point(size, exchanged_bytes))
        live.append(Point(size, cpu_s(_members(size).live, PROBES)))
    idle = [await idle_cost(size, seed) for size in SIZES]
    slopes = [
        fit("member state", "bytes", "hosts", state),
        fit("probe sent, both ends", "s", "hosts", probe_cpu),
        fit("probe and reply", "bytes", "hosts", probe_bytes),
        fit("list of live members", "s", "hosts", live),
        fit(
            "idle host",
            "s per s",
            "hosts",
            [Point(cost.hosts, cost.cpu_share) for cost in idle],
        ),
        fit(
            "idle host",
            "bytes per s",
            "hosts",
            [Point(cost.hosts, cost.bytes_per_s) for cost in idle],
        ),
    ]
    return slopes, idle
