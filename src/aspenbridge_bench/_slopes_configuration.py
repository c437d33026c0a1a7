"""
Measures the cost of the configuration at a host.

The sizes are numbers of objects and of changes.
"""

from __future__ import annotations

import random
from functools import partial
from typing import TYPE_CHECKING

from aspenbridge.configuration import Authority, Change, ConfigObject, Follower, View
from aspenbridge.store import Store, encode_record
from aspenbridge_standins._faults import Faults, FaultyCalls
from aspenbridge_standins._platform import FaultyTable

from ._clocks import FastClock
from ._fit import Point, Slope, fit
from ._fleet import UNLIMITED_PER_S
from ._measure import async_cpu_s, cpu_s, resident_bytes

if TYPE_CHECKING:
    from collections.abc import Callable

ENGINE_SIZES = (100, 650, 2600)
CUSTOMER_SIZES = (300, 2400, 9600)
SNAPSHOT_SIZES = (500, 4000, 12200)
CHANGE_COUNTS = (1, 20, 100)
MODELS = 7
REGIONS = 4
TOKEN = bytes(16)


def engine(number: int) -> ConfigObject:
    """Return an engine with a configuration of the usual size."""
    spec = {
        "address": f"10.{number // 250}.{number % 250}.9:8000",
        "region": f"region-{number % REGIONS}",
        "failure_domain": f"domain-{number % 11}",
        "model": f"model-{number % MODELS}",
        "version": "2026-05-01",
        "adapters": ["adapter-a", "adapter-b"],
    }
    labels = {"pool": f"pool-{number % 3}", "tier": "night"}
    return ConfigObject("engine", f"engine-{number:05d}", spec, labels)


def customer(number: int) -> ConfigObject:
    """Return a customer with a configuration of the usual size."""
    spec = {"key_salt": f"{number:032x}", "key_digest": f"{number:0128x}"}
    labels = {"partner": f"partner-{number % 40}"}
    return ConfigObject("customer", f"customer-{number:05d}", spec, labels)


def fleet_objects(count: int) -> list[ConfigObject]:
    """Return engines and customers in the expected proportion."""
    engines = count * 2600 // 12200
    return [
        *(engine(number) for number in range(engines)),
        *(customer(number) for number in range(count - engines)),
    ]


def _view(make: Callable[[int], ConfigObject], count: int) -> View:
    view = View()
    view.replace(1, [make(number) for number in range(count)])
    return view


def _state(
    name: str, make: Callable[[int], ConfigObject], sizes: tuple[int, ...]
) -> Slope:
    points = [Point(size, resident_bytes(partial(_view, make, size))) for size in sizes]
    return fit(f"{name} in the view", "bytes", name, points)


def _row_bytes(
    name: str, make: Callable[[int], ConfigObject], sizes: tuple[int, ...]
) -> Slope:
    points = [
        Point(size, sum(len(encode_record(make(n), TOKEN)) for n in range(size)))
        for size in sizes
    ]
    return fit(f"{name} in the table", "bytes", name, points)


def _apply_cost() -> Slope:
    """Return the cost of applying a change, over the size of the view."""
    points = []
    for size in SNAPSHOT_SIZES:
        view = View()
        view.replace(1, fleet_objects(size))

        def apply(view: View = view) -> None:
            view.apply(Change(view.revision + 1, "bench", 0.0, put=(engine(7),)))

        points.append(Point(size, cpu_s(apply, 500)))
    return fit("change applied", "s", "objects", points)


def _lookup_cost() -> Slope:
    points = []
    for size in SNAPSHOT_SIZES:
        view = View()
        view.replace(1, fleet_objects(size))
        spent_s = cpu_s(partial(view.eligible, "model-1", None), 2)
        points.append(Point(size, spent_s))
    return fit("engines of a model found", "s", "objects", points)


async def _snapshot_cost(seed: int) -> tuple[Slope, Slope]:
    cpu_times, reads = [], []
    for size in SNAPSHOT_SIZES:
        table, store, clock = _store(seed)
        accepted = await Authority(store, clock).accept("b", 0, fleet_objects(size))
        accepted.unwrap()
        reads_before = table.calls.read_count

        async def load(store: Store = store, clock: FastClock = clock) -> None:
            await Follower(store, clock, View()).refresh()

        cpu_times.append(Point(size, await async_cpu_s(load, 1)))
        reads.append(Point(size, (table.calls.read_count - reads_before) / 5))
    return (
        fit("snapshot loaded", "s", "objects", cpu_times),
        fit("snapshot loaded", "table reads", "objects", reads),
    )


async def _change_cost(seed: int) -> tuple[Slope, Slope, Slope]:
    """Return the cost of fetching and applying several changes at once."""
    table, store, clock = _store(seed)
    authority = Authority(store, clock)
    (await authority.accept("bench", 0, fleet_objects(500))).unwrap()
    cpu_times, reads, writes = [], [], []
    revision = 1
    for count in CHANGE_COUNTS:
        view = View()
        follower = Follower(store, clock, view)
        await follower.refresh()
        writes_before = table.calls.write_count
        for _ in range(count):
            (await authority.accept("bench", revision, [engine(7)])).unwrap()
            revision += 1
        writes.append(Point(count, table.calls.write_count - writes_before))
        reads_before = table.calls.read_count
        cpu_times.append(Point(count, await async_cpu_s(follower.refresh, 1)))
        reads.append(Point(count, (table.calls.read_count - reads_before) / 5))
    return (
        fit("changes followed", "s", "changes", cpu_times),
        fit("changes followed, per poll", "table reads", "changes", reads),
        fit("changes accepted", "table writes", "changes", writes),
    )


def _store(seed: int) -> tuple[FaultyTable, Store, FastClock]:
    clock, source = FastClock(1.0), random.Random(seed)
    faults = Faults(writes_per_s=UNLIMITED_PER_S, reads_per_s=UNLIMITED_PER_S)
    table = FaultyTable(FaultyCalls(faults, clock, source))
    return table, Store(table, clock, source), clock


async def configuration_slopes(seed: int) -> list[Slope]:
    """Return the slopes over engines, customers and changes."""
    return [
        _state("engines", engine, ENGINE_SIZES),
        _state("customers", customer, CUSTOMER_SIZES),
        _row_bytes("engines", engine, ENGINE_SIZES),
        _row_bytes("customers", customer, CUSTOMER_SIZES),
        _lookup_cost(),
        _apply_cost(),
        *await _snapshot_cost(seed),
        *await _change_cost(seed),
    ]
