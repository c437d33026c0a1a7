"""Measures the spread of changes and the cost of selectors.

``python -m tests.measure.control SEED`` prints JSON. Time until in force is
virtual; processor time is of the machine that runs it.
"""

from __future__ import annotations

import asyncio
import json
import random
import sys
import time
from contextlib import AsyncExitStack

from aspenbridge.configuration import Change, ConfigObject, View
from aspenbridge.embedded import MemoryTable
from aspenbridge.membership._prober import _NoRevisionExchange
from aspenbridge.online import Generation
from aspenbridge.work import Work
from tests.support.control_fleet import ControlFleet, customer, engine
from tests.support.virtual_loop import run_virtual

HOSTS = 10
CHANGES = 40
LINK_S = 0.03


class CountingTable(MemoryTable):
    """Counts reads of the configuration."""

    reads = 0

    async def read(self, keys):
        self.reads += bool(keys) and keys[0].table == "config"
        return await super().read(keys)


def spread(seed, *, hosts=HOSTS, announce=True, gossip=True, cut=0):
    async def main(clock):
        fleet = ControlFleet(clock, seed, delay_s=LINK_S)
        fleet.table = CountingTable()
        async with AsyncExitStack() as stack:
            await fleet.start(stack, hosts)
            await fleet.advance(20.0)
            for host in fleet.hosts if not gossip else ():
                host.prober.revision_exchange = _NoRevisionExchange()
            for faults in fleet.faults[hosts - cut :]:
                faults.down = True
            await fleet.advance(20.0)
            before, started_s = fleet.table.reads, clock.now_s()
            await fleet.advance(60.0)
            idle = (fleet.table.reads - before) / (clock.now_s() - started_s) / hosts
            times, reads = [], []
            for number in range(CHANGES):
                times.append(await one(fleet, number, hosts - cut, announce, reads))
            states = sorted({host.state for host in fleet.hosts})
            return summary(times) | {
                "idle_reads_s_host": round(idle, 3),
                "reads_per_change_host": round(sum(reads) / len(reads) / hosts, 2),
                "states": states,
            }

    async def one(fleet, number, acceptors, announce, reads):
        await fleet.advance(fleet.random.uniform(0.0, 6.0))
        host = fleet.hosts[fleet.random.randrange(acceptors)]
        before = fleet.table.reads
        change = (await fleet.put(host, customer(f"c{number}"))).unwrap()
        if announce:
            asyncio.ensure_future(host.announce(change.revision))
        took_s = await fleet.wait_until(
            lambda: all(it.view.revision >= change.revision for it in fleet.hosts)
        )
        reads.append(fleet.table.reads - before)
        return took_s

    return run_virtual(main)


def start(fleet, host, number):
    name = f"w{number}-{host.settings.host.name}"
    deadline_s = fleet.clock.now_s() + 120
    work = Work(name, "kgotso", "coder", "p", 600, True, deadline_s)
    return asyncio.ensure_future(consume(host, Generation(work)))


async def consume(host, generation):
    async for _ in host.generator.run(generation):
        pass


def running(fleet, version):
    return any(
        grant.engine.version == version and not grant.revoked.is_set()
        for host in fleet.hosts
        for _, grant in host.generator._placed._held.values()
    )


def recall(seed, *, cut=0):
    async def main(clock):
        fleet = ControlFleet(clock, seed, delay_s=LINK_S)
        names = [f"e{number}" for number in range(6)]
        for name in names:
            fleet.add_engine(name)
        async with AsyncExitStack() as stack:
            await fleet.start(stack, HOSTS)
            await fleet.advance(20.0)
            put = [engine(name, version=str(n % 2)) for n, name in enumerate(names)]
            change = (await fleet.put(fleet.hosts[0], *put)).unwrap()
            await fleet.hosts[0].announce(change.revision)
            for faults in fleet.faults[HOSTS - cut :]:
                faults.down = True
            await fleet.advance(20.0)
            return summary([await one(fleet, n) for n in range(10)])

    async def one(fleet, number):
        tasks = [start(fleet, host, number) for host in fleet.hosts for _ in range(2)]
        await fleet.advance(2.0)
        version = f"coder@{number % 2}"
        item = ConfigObject("recall", "r", {"selector": version})
        change = (await fleet.put(fleet.hosts[0], item)).unwrap()
        asyncio.ensure_future(fleet.hosts[0].announce(change.revision))
        took_s = await fleet.wait_until(lambda: not running(fleet, str(number % 2)))
        base = fleet.hosts[0].view.revision
        await asyncio.gather(*tasks)
        await fleet.hosts[0].authority.accept("x", base, [], [("recall", "r")])
        await fleet.advance(20.0)
        return took_s

    return run_virtual(main)


def selectors(seed, engines=2_600, customers=9_600, rules=100):
    rng = random.Random(seed)

    def an_engine(n):
        labels = {"pool": f"p{rng.randrange(10)}", "rack": f"r{n % 50}"}
        return engine(f"e{n}", f"m{n % 16}", str(n % 3), (f"a{n % 40}",), **labels)

    def a_rule(n):
        work = f"customer.labels.tier = t{n % 20} and class = batch"
        spec = {"work": work, "engines": f"labels.pool in (p{n % 10}, p{n % 7})"}
        return ConfigObject("placement", f"rule{n}", spec)

    objects = [an_engine(n) for n in range(engines)]
    objects += [customer(f"c{n}", tier=f"t{n % 30}") for n in range(customers)]
    objects += [a_rule(n) for n in range(rules)]
    objects += [
        ConfigObject("drain", f"d{n}", {"engines": f"labels.rack = r{n}"})
        for n in range(10)
    ]
    objects += [
        ConfigObject("recall", f"x{n}", {"selector": f"m{n}@2"}) for n in range(5)
    ]
    view = View()
    found = {"load_s": timed(lambda: view.replace(1, objects))}
    works = [some_work(rng, customers) for _ in range(2_000)]
    found["first_lookup_us"] = timed(lambda: look(view, works)) / len(works) * 1e6
    found["next_lookup_us"] = timed(lambda: look(view, works)) / len(works) * 1e6
    evaluations = view.placement.evaluations
    found["engine_label_us"] = changed(view, [an_engine(n) for n in range(100)]) * 1e6
    made = view.placement.evaluations - evaluations
    found["engine_label_evaluations"] = made / 100
    found["lookup_after_label_us"] = timed(lambda: look(view, works)) / len(works) * 1e6
    found["customer_label_us"] = (
        changed(view, [customer(f"c{n}", tier="t1") for n in range(100)]) * 1e6
    )
    found["rule_change_us"] = changed(view, [a_rule(n + 3) for n in range(30)]) * 1e6
    return {name: round(value, 2) for name, value in found.items()}


def some_work(rng, customers):
    name, model = f"c{rng.randrange(customers)}", f"m{rng.randrange(16)}"
    return Work("w", name, model, "", 1, False, 0)


def look(view, works):
    for work in works:
        view.eligible_for(work)


def changed(view, items):
    def apply():
        for item in items:
            view.apply(Change(view.revision + 1, "x", 0.0, put=(item,)))

    return timed(apply) / len(items)


def timed(action):
    started_s = time.process_time()
    action()
    return time.process_time() - started_s


def summary(times):
    ordered = sorted(times)
    return {
        "count": len(ordered),
        "p50_s": round(ordered[len(ordered) // 2], 2),
        "max_s": round(ordered[-1], 2),
    }


def main(seed):
    sys.stdout.write(
        json.dumps(
            {
                "announced": spread(seed),
                "gossip only": spread(seed, announce=False),
                "polling only": spread(seed, announce=False, gossip=False),
                "3 hosts cut, announced": spread(seed, cut=3),
                "3 hosts cut, gossip only": spread(seed, announce=False, cut=3),
                "40 hosts, gossip only": spread(seed, hosts=40, announce=False),
                "recall": recall(seed),
                "recall, 3 hosts cut": recall(seed, cut=3),
                "selectors": selectors(seed),
            },
            indent=1,
        )
        + "\n"
    )


if __name__ == "__main__":
    main(int(sys.argv[1]))
