"""Measures how fast changes reach all hosts and what selectors cost.

``python -m tests.measure.control SEED`` prints the results as JSON. The times
until a change is in force are virtual time; the times of selector lookups and
updates are CPU time of the machine that runs the script.
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
from aspenbridge.membership._prober import _NoRevisionTracker
from aspenbridge.online import Generation
from aspenbridge.work import Work
from tests.support.control_fleet import ControlFleet, customer, engine
from tests.support.virtual_loop import run_virtual

HOSTS = 10
CHANGES = 40
LINK_DELAY_S = 0.03  # of a message between hosts, in one direction


class CountingTable(MemoryTable):
    """Counts reads of the configuration table."""

    config_reads = 0

    async def read(self, keys):
        self.config_reads += bool(keys) and keys[0].table == "config"
        return await super().read(keys)


def measure_spread(seed, *, hosts=HOSTS, announce=True, gossip=True, cut_hosts=0):
    """
    Measure the time until a change is in force on all hosts.

    :param announce: whether the accepting host notifies its peers.
    :param gossip: whether hosts exchange their revisions with their probes.
    :param cut_hosts: the number of hosts that can't reach the table.
    """

    async def main(clock):
        fleet = ControlFleet(clock, seed, delay_s=LINK_DELAY_S)
        fleet.table = CountingTable()
        async with AsyncExitStack() as stack:
            await fleet.start(stack, hosts)
            await fleet.advance(20.0)
            for host in fleet.hosts if not gossip else ():
                host.prober.revision_tracker = _NoRevisionTracker()
            for faults in fleet.faults[hosts - cut_hosts :]:
                faults.down = True
            await fleet.advance(20.0)
            reads_before, started_s = fleet.table.config_reads, clock.now_s()
            await fleet.advance(60.0)
            idle_reads = (
                (fleet.table.config_reads - reads_before)
                / (clock.now_s() - started_s)
                / hosts
            )
            times, reads = [], []
            for number in range(CHANGES):
                times.append(
                    await time_change(fleet, number, hosts - cut_hosts, announce, reads)
                )
            states = sorted({host.state for host in fleet.hosts})
            return summary(times) | {
                "idle_reads_s_host": round(idle_reads, 3),
                "reads_per_change_host": round(sum(reads) / len(reads) / hosts, 2),
                "states": states,
            }

    async def time_change(fleet, number, acceptors, announce, reads):
        await fleet.advance(fleet.random.uniform(0.0, 6.0))
        host = fleet.hosts[fleet.random.randrange(acceptors)]
        reads_before = fleet.table.config_reads
        change = (await fleet.put(host, customer(f"c{number}"))).unwrap()
        if announce:
            asyncio.ensure_future(host.announce(change.revision))
        took_s = await fleet.wait_until(
            lambda: all(each.view.revision >= change.revision for each in fleet.hosts)
        )
        reads.append(fleet.table.config_reads - reads_before)
        return took_s

    return run_virtual(main)


def start_generation(fleet, host, number):
    name = f"w{number}-{host.settings.host.name}"
    deadline_s = fleet.clock.now_s() + 120
    work = Work(name, "kgotso", "coder", "p", 600, True, deadline_s)
    return asyncio.ensure_future(consume(host, Generation(work)))


async def consume(host, generation):
    async for _ in host.generator.run(generation):
        pass


def any_running(fleet, version):
    """Return whether a generation runs on the version and is not revoked."""
    return any(
        grant.engine.version == version and not grant.revoked.is_set()
        for host in fleet.hosts
        for _, grant in host.generator._running_grants._held.values()
    )


def measure_recall(seed, *, cut_hosts=0):
    """
    Measure the time until a recalled version runs on no engine.

    A generation counts as running until its slot is released or revoked.

    :param cut_hosts: the number of hosts that can't reach the table.
    """

    async def main(clock):
        fleet = ControlFleet(clock, seed, delay_s=LINK_DELAY_S)
        names = [f"e{number}" for number in range(6)]
        for name in names:
            fleet.add_engine(name)
        async with AsyncExitStack() as stack:
            await fleet.start(stack, HOSTS)
            await fleet.advance(20.0)
            put = [engine(name, version=str(n % 2)) for n, name in enumerate(names)]
            change = (await fleet.put(fleet.hosts[0], *put)).unwrap()
            await fleet.hosts[0].announce(change.revision)
            for faults in fleet.faults[HOSTS - cut_hosts :]:
                faults.down = True
            await fleet.advance(20.0)
            return summary([await time_recall(fleet, n) for n in range(10)])

    async def time_recall(fleet, number):
        tasks = [
            start_generation(fleet, host, number)
            for host in fleet.hosts
            for _ in range(2)
        ]
        await fleet.advance(2.0)
        version = f"coder@{number % 2}"
        recall = ConfigObject("recall", "r", {"selector": version})
        change = (await fleet.put(fleet.hosts[0], recall)).unwrap()
        asyncio.ensure_future(fleet.hosts[0].announce(change.revision))
        took_s = await fleet.wait_until(lambda: not any_running(fleet, str(number % 2)))
        base_revision = fleet.hosts[0].view.revision
        await asyncio.gather(*tasks)
        await fleet.hosts[0].authority.accept("x", base_revision, [], [("recall", "r")])
        await fleet.advance(20.0)
        return took_s

    return run_virtual(main)


def measure_selectors(seed, engines=2_600, customers=9_600, rules=100):
    """Measure the CPU time of engine lookups and of configuration changes."""
    rng = random.Random(seed)

    def make_engine(n):
        labels = {"pool": f"p{rng.randrange(10)}", "rack": f"r{n % 50}"}
        return engine(f"e{n}", f"m{n % 16}", str(n % 3), (f"a{n % 40}",), **labels)

    def make_rule(n):
        work = f"customer.labels.tier = t{n % 20} and class = batch"
        spec = {"work": work, "engines": f"labels.pool in (p{n % 10}, p{n % 7})"}
        return ConfigObject("placement", f"rule{n}", spec)

    objects = [make_engine(n) for n in range(engines)]
    objects += [customer(f"c{n}", tier=f"t{n % 30}") for n in range(customers)]
    objects += [make_rule(n) for n in range(rules)]
    objects += [
        ConfigObject("drain", f"d{n}", {"engines": f"labels.rack = r{n}"})
        for n in range(10)
    ]
    objects += [
        ConfigObject("recall", f"x{n}", {"selector": f"m{n}@2"}) for n in range(5)
    ]
    view = View()
    results = {"load_s": cpu_time_s(lambda: view.replace(1, objects))}
    works = [random_work(rng, customers) for _ in range(2_000)]
    results["first_lookup_us"] = (
        cpu_time_s(lambda: look_up(view, works)) / len(works) * 1e6
    )
    results["next_lookup_us"] = (
        cpu_time_s(lambda: look_up(view, works)) / len(works) * 1e6
    )
    evaluations = view.placement.evaluations
    results["engine_label_us"] = (
        time_per_change(view, [make_engine(n) for n in range(100)]) * 1e6
    )
    new_evaluations = view.placement.evaluations - evaluations
    results["engine_label_evaluations"] = new_evaluations / 100
    results["lookup_after_label_us"] = (
        cpu_time_s(lambda: look_up(view, works)) / len(works) * 1e6
    )
    results["customer_label_us"] = (
        time_per_change(view, [customer(f"c{n}", tier="t1") for n in range(100)]) * 1e6
    )
    results["rule_change_us"] = (
        time_per_change(view, [make_rule(n + 3) for n in range(30)]) * 1e6
    )
    return {name: round(value, 2) for name, value in results.items()}


def random_work(rng, customers):
    name, model = f"c{rng.randrange(customers)}", f"m{rng.randrange(16)}"
    return Work("w", name, model, "", 1, False, 0)


def look_up(view, works):
    for work in works:
        view.eligible_for(work)


def time_per_change(view, items):
    def apply_all():
        for item in items:
            view.apply(Change(view.revision + 1, "x", 0.0, put=(item,)))

    return cpu_time_s(apply_all) / len(items)


def cpu_time_s(action):
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
                "announced": measure_spread(seed),
                "gossip only": measure_spread(seed, announce=False),
                "polling only": measure_spread(seed, announce=False, gossip=False),
                "3 hosts cut, announced": measure_spread(seed, cut_hosts=3),
                "3 hosts cut, gossip only": measure_spread(
                    seed, announce=False, cut_hosts=3
                ),
                "40 hosts, gossip only": measure_spread(seed, hosts=40, announce=False),
                "recall": measure_recall(seed),
                "recall, 3 hosts cut": measure_recall(seed, cut_hosts=3),
                "selectors": measure_selectors(seed),
            },
            indent=1,
        )
        + "\n"
    )


if __name__ == "__main__":
    main(int(sys.argv[1]))
