"""
Hosts that only exchange load reports, on a virtual clock.

``python -m tests.support.report_fleet HOSTS SECONDS`` prints what a host
receives in a second and how old its knowledge is, in a busy and an idle fleet.
"""

from __future__ import annotations

import asyncio
import random
import sys
from contextlib import AsyncExitStack, asynccontextmanager

from aspenbridge.fleet import LoadExchange, LoadView
from tests.support.virtual_loop import run_virtual

DELIVERY_S = 0.03
ENGINES = 45
DOMAINS = 3


def domain_of(address):
    """Return the failure domain of a host."""
    return f"domain-{address[1] % DOMAINS}"


class LossyDatagrams:
    """Datagrams that are lost at random, and counted by recipient."""

    def __init__(self, loss: float) -> None:
        self.receivers = {}
        self.received = {}
        self.received_bytes = 0
        self.crossing_bytes = 0  # between failure domains
        self.loss = loss
        self._random = random.Random(7)

    @asynccontextmanager
    async def open(self, address, receive):
        self.receivers[address] = receive
        self.received[address] = 0
        loop = asyncio.get_running_loop()

        def send(data, peer):
            if self._random.random() >= self.loss:
                loop.call_later(DELIVERY_S, self._deliver, peer, data, address)

        yield send
        self.receivers.pop(address, None)

    def _deliver(self, peer, data, sender):
        if peer in self.receivers:
            self.received[peer] += 1
            self.received_bytes += len(data)
            if domain_of(peer) != domain_of(sender):
                self.crossing_bytes += len(data)
            self.receivers[peer](data, sender)


class ReportFleet:
    """
    Hosts in three failure domains that know each other's addresses.

    While ``busy``, the load of each host changes seven times a second.
    """

    def __init__(self, clock, hosts, loss=0.02) -> None:
        self.clock = clock
        self.datagrams = LossyDatagrams(loss)
        addresses = [("10.0.0.1", number) for number in range(hosts)]
        self.domains = {address: domain_of(address) for address in addresses}
        self.exchanges = {}
        self.busy = True
        self._sent_s = {}  # by incarnation and sequence
        self._stack = AsyncExitStack()
        self._tasks = []

    async def __aenter__(self):
        for address, domain in self.domains.items():
            exchange = LoadExchange(
                f"host-{address[1]:03}-{address[1]:012x}",
                address,
                domain,
                LoadView(self.clock),
                lambda: self.domains,
                self.datagrams,
                self.clock,
                random.Random(address[1]),
            )
            exchange.heartbeat_age_s = lambda: 0.0
            exchange._report = self._record_sending(exchange._report)
            await self._stack.enter_async_context(exchange)
            self.exchanges[address] = exchange
            self._tasks.append(asyncio.create_task(self._run(exchange)))
        return self

    async def __aexit__(self, *error):
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        await self._stack.aclose()

    async def _run(self, exchange):
        draw = random.Random(exchange._host)
        await asyncio.sleep(draw.random())
        repeats = asyncio.create_task(exchange.run())
        running = []
        try:
            while True:
                await asyncio.sleep(draw.expovariate(7))
                if not self.busy:
                    continue
                if len(running) == 4:
                    exchange._load_view.add(running.pop(0), online=-1)
                else:
                    running.append(f"i-{draw.randrange(ENGINES):08x}")
                    exchange._load_view.add(running[-1], online=1)
        finally:
            repeats.cancel()

    def _record_sending(self, make_report):
        def recorded():
            report = make_report()
            self._sent_s[report.host, report.sequence] = self.clock.now_s()
            return report

        return recorded

    def ages_s(self):
        """Return how old what hosts know of each other is, in order."""
        now_s = self.clock.now_s()
        names = {exchange._host for exchange in self.exchanges.values()}
        return sorted(
            now_s - self._sent_s[name, heard.report.sequence]
            if (heard := exchange._heard.get(name))
            else 99.0
            for exchange in self.exchanges.values()
            for name in names - {exchange._host}
        )

    async def measure(self, seconds, samples=5):
        """Return what a host receives a second, and the ages."""
        network = self.datagrams
        before = dict(network.received)
        network.received_bytes = network.crossing_bytes = 0
        ages_s = []
        for _ in range(samples):
            await asyncio.sleep(seconds / samples)
            ages_s += self.ages_s()
        ages_s.sort()
        rates = [
            (count - before[address]) / seconds
            for address, count in network.received.items()
        ]
        return {
            "messages": sum(rates) / len(rates),
            "most_messages": max(rates),
            "bytes": network.received_bytes / seconds / len(rates),
            "crossing_bytes": network.crossing_bytes / seconds / len(rates),
            "age_mean_s": sum(ages_s) / len(ages_s),
            "age_99_s": ages_s[int(len(ages_s) * 0.99)],
        }


async def main(clock):
    hosts, seconds = int(sys.argv[1]), float(sys.argv[2])
    async with ReportFleet(clock, hosts) as fleet:
        for name in ("busy", "idle"):
            fleet.busy = name == "busy"
            await asyncio.sleep(4.0)
            rounded = {
                k: round(v, 3) for k, v in (await fleet.measure(seconds)).items()
            }
            sys.stdout.write(f"{hosts} {name} {rounded}\n")


if __name__ == "__main__":
    run_virtual(main)
