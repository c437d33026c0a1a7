"""What a host spends on the fleet: members, probes, idle loops."""

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
from aspenbridge.peers._codec import encode_bytes
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
NEWS_AT_ONCE = 8
IDLE_VIRTUAL_S = 300.0
WARM_VIRTUAL_S = 20.0
PROBES = 200


def member_news(number: int, counter: int = 1) -> MemberNews:
    """Return news of a host, with ids of the usual length."""
    return MemberNews(
        incarnation=f"host-{number:03d}-{number:024x}",
        address=f"10.{number // 250}.{number % 250}.17:8081",
        state="live",
        region=f"region-{number % 4}",
        failure_domain=f"domain-{number % 11}",
        counter=counter,
    )


class SimulatedPeers:
    """Answers for every other host of a fleet of one size."""

    def __init__(self, size: int, source: random.Random) -> None:
        self._size = size
        self._random = source
        self._by_address = {member_news(n).address: n for n in range(size)}
        self._counter = 1

    def answer(self, address: PeerAddress, message: Any) -> Any:
        """Answer as the host that has the address."""
        if not isinstance(message, Probe):
            return Ack()
        self._counter += 1
        sender = member_news(self._by_address[str(address)], self._counter)
        return ProbeReply(sender, self.some_news(), message.revision)

    def some_news(self) -> tuple[MemberNews, ...]:
        """Return fresh news of a few hosts."""
        count = min(NEWS_AT_ONCE, self._size)
        numbers = self._random.sample(range(self._size), count)
        return tuple(member_news(number, self._counter) for number in numbers)

    def probe(self) -> Probe:
        """Return a probe as one of the hosts sends it."""
        self._counter += 1
        number = self._random.randrange(self._size)
        return Probe(member_news(number, self._counter), self.some_news(), 1)


def _members(size: int) -> Members:
    members = Members(FastClock(1.0))
    for number in range(size):
        members.apply(member_news(number), direct=True)
    return members


def _fleet(size: int, seed: int, clock: Clock) -> tuple[CountedFleet, SimulatedPeers]:
    source = random.Random(seed)
    answers = SimulatedPeers(size, source)
    fleet = CountedFleet(clock, source, WirePeers(answers.answer))
    return fleet, answers


def _settings() -> Settings:
    return Settings(host=HostSettings(name="measured"))


async def _probe_costs(size: int, seed: int) -> tuple[float, float]:
    """Return processor time and bytes of one probe that is sent."""
    fleet, answers = _fleet(size, seed, FastClock(0.001))
    async with fleet.host(_settings()) as host:
        _fill(host, size)
        spent_s = await async_cpu_s(host.detector.tick, PROBES)
        peers = fleet.peers
        exchanged = peers.sent_bytes + peers.received_bytes
        answers.probe()
    return spent_s, exchanged / peers.calls


def _fill(host: HostCore, size: int) -> None:
    for number in range(size):
        host.members.apply(member_news(number), direct=True)


@attrs.frozen
class IdleCost:
    """What one host spends in a second with no work at all."""

    hosts: int
    cpu_share: float
    bytes_per_s: float
    counts_per_s: dict[str, float]
    silent_share: float


async def idle_cost(size: int, seed: int) -> IdleCost:
    """Run one host among others that answer, on a clock that jumps."""
    clock = JumpClock()
    fleet, answers = _fleet(size, seed, clock)
    await clock.run_for(1.0)  # lets the rate limits of the stand-ins fill
    async with fleet.host(_settings()) as host:
        accepted = await host.authority.accept("bench", 0, _one_engine())
        accepted.unwrap()
        _fill(host, size)
        probes = asyncio.create_task(_probed_by_others(host, answers))
        await clock.run_for(WARM_VIRTUAL_S)
        counts, started_s = Counts.of(fleet), clock.now_s()
        bytes_before = fleet.peers.sent_bytes + fleet.peers.received_bytes
        cpu = time.process_time()
        await clock.run_for(IDLE_VIRTUAL_S)
        spent_s = time.process_time() - cpu
        passed_s = clock.now_s() - started_s
        exchanged = fleet.peers.sent_bytes + fleet.peers.received_bytes - bytes_before
        per_s = attrs.asdict(Counts.of(fleet).since(counts))
        silent = host.members.not_received_since(clock.now_s() - 4.0)
        probes.cancel()
    return IdleCost(
        hosts=size,
        cpu_share=spent_s / passed_s,
        bytes_per_s=2 * exchanged / passed_s,
        counts_per_s={name: count / passed_s for name, count in per_s.items()},
        silent_share=len(silent) / size,
    )


async def _probed_by_others(host: HostCore, answers: SimulatedPeers) -> None:
    """Send the host one probe a second, as its peers together do."""
    clock = host.ports.clock
    while True:
        encode_bytes(await host.handle(answers.probe()))
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
    """Return the encoded bytes of the messages of one grant."""
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
    return {name: len(encode_bytes(message)) for name, message in messages.items()}


async def host_slopes(seed: int) -> tuple[list[Slope], list[IdleCost]]:
    """Return the slopes over the hosts that one host knows."""
    state, probe_cpu, probe_bytes, live = [], [], [], []
    for size in SIZES:
        state.append(Point(size, resident_bytes(partial(_members, size))))
        spent_s, exchanged = await _probe_costs(size, seed)
        probe_cpu.append(Point(size, spent_s))
        probe_bytes.append(Point(size, exchanged))
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
            [Point(item.hosts, item.cpu_share) for item in idle],
        ),
        fit(
            "idle host",
            "bytes per s",
            "hosts",
            [Point(item.hosts, item.bytes_per_s) for item in idle],
        ),
    ]
    return slopes, idle
