"""
Models how long requests wait for a slot when hosts know the load late.

Answers which rule of placement suits a size of fleet, before it is built in.
Each request holds a slot for a fixed time; an engine queues what it can't run.
Hosts count their own requests exactly and learn the counts of the others at
the intervals of the product's load reports.
"""

from __future__ import annotations

import heapq
from collections import deque
from collections.abc import Callable
from random import Random
from typing import TYPE_CHECKING

import attrs

from aspenbridge.fleet import (
    DIRECT_PEERS,
    OTHER_DOMAIN_DELAY_S,
    EngineEntry,
    direct_interval_s,
    draw_engines,
    plan_fanout,
    preference_key,
)

if TYPE_CHECKING:
    from collections.abc import Sequence

SLOTS = 8
SLOT_S = 0.7  # for which a request holds a slot
DELIVERY_S = 0.002  # of a report
FAILURE_DOMAINS = 6
LATE_S = 0.2  # a wait that callers notice beside the engine's own delay


@attrs.define(eq=False)
class ModelEngine:
    """An engine as a host sees it; ``online`` is set before each choice."""

    entry: EngineEntry
    network_delay_s: float = 0.0
    online: int = 0
    batch: int = 0

    @property
    def key(self) -> tuple[float, int]:
        """The lowest key is preferred, as on a host."""
        return preference_key(
            self.entry.slots, self.online, self.batch, self.network_delay_s
        )


Rule = Callable[["Sequence[ModelEngine]", Random], ModelEngine]


def lowest(engines: Sequence[ModelEngine], random: Random) -> ModelEngine:
    """Choose the preferred one of all engines, as in a small fleet."""
    return min(engines, key=lambda engine: engine.key)


def drawn(engines: Sequence[ModelEngine], random: Random) -> ModelEngine:
    """Choose the preferred one of a few drawn engines, as in large fleets."""
    return lowest(draw_engines(engines, random), random)


RULES: dict[str, Rule] = {"lowest": lowest, "drawn": drawn}


@attrs.frozen
class Waits:
    """Waits for a slot: their mean, and the share of late ones."""

    mean_s: float
    late_share: float


@attrs.frozen
class ModelSize:
    """A fleet and its load."""

    hosts: int
    engines: int
    requests_per_s: float


def report_interval_s(hosts: int) -> float:
    """Return the time between two changes of what hosts know of one host."""
    if hosts - 1 <= DIRECT_PEERS:
        return direct_interval_s(hosts - 1)
    # A report that is passed on takes another round to reach most hosts.
    return 2 * plan_fanout(hosts, FAILURE_DOMAINS).interval_s


class PlacementModel:
    """Plays one size of fleet with one rule."""

    def __init__(
        self, size: ModelSize, rule: Rule, seed: int, interval_s: float | None = None
    ) -> None:
        self._size = size
        self._rule = rule
        self._random = Random(seed)
        self._interval_s = (
            report_interval_s(size.hosts) if interval_s is None else interval_s
        )
        self._engines = [
            ModelEngine(
                EngineEntry(f"e{n}", "llm", "", 0, _domain(n), SLOTS, False, 1, 0.0)
            )
            for n in range(size.engines)
        ]
        empty = [0] * size.engines
        self._own = [list(empty) for _ in range(size.hosts)]
        self._reported = [list(empty) for _ in range(size.hosts)]
        self._sums = list(empty)  # of the reported counts
        self._running = list(empty)
        self._queues: list[deque[tuple[float, int]]] = [deque() for _ in empty]
        self._events: list[tuple[float, int, Callable[[float], None]]] = []
        self._number = 0
        self._waits_s: list[float] = []

    def run(self, seconds: float) -> Waits:
        """Play so many seconds of arrivals and return the waits."""
        for host in range(self._size.hosts):
            self._at(
                self._random.uniform(0, self._interval_s),
                lambda now_s, host=host: self._report(host, now_s),  # type: ignore[misc]
            )
        self._at(0.0, self._arrive)
        while self._events and self._events[0][0] < seconds:
            now_s, _, action = heapq.heappop(self._events)
            action(now_s)
        late = sum(wait_s > LATE_S for wait_s in self._waits_s)
        count = len(self._waits_s)
        return Waits(sum(self._waits_s) / count, late / count)

    def _at(self, time_s: float, action: Callable[[float], None]) -> None:
        self._number += 1
        heapq.heappush(self._events, (time_s, self._number, action))

    def _arrive(self, now_s: float) -> None:
        self._at(
            now_s + self._random.expovariate(self._size.requests_per_s), self._arrive
        )
        host = self._random.randrange(self._size.hosts)
        own, reported = self._own[host], self._reported[host]
        for number, engine in enumerate(self._engines):
            engine.online = self._sums[number] - reported[number] + own[number]
            near = engine.entry.failure_domain == _domain(host)
            engine.network_delay_s = 0.0 if near else OTHER_DOMAIN_DELAY_S
        chosen = self._engines.index(self._rule(self._engines, self._random))
        self._count(host, chosen, 1, now_s)
        if self._running[chosen] < SLOTS:
            self._start(host, chosen, now_s, now_s)
        else:
            self._queues[chosen].append((now_s, host))

    def _start(self, host: int, engine: int, now_s: float, arrived_s: float) -> None:
        self._waits_s.append(now_s - arrived_s)
        self._running[engine] += 1
        self._at(now_s + SLOT_S, lambda end_s: self._end(host, engine, end_s))

    def _end(self, host: int, engine: int, now_s: float) -> None:
        self._running[engine] -= 1
        self._count(host, engine, -1, now_s)
        if self._queues[engine]:
            arrived_s, waiting_host = self._queues[engine].popleft()
            self._start(waiting_host, engine, now_s, arrived_s)

    def _count(self, host: int, engine: int, change: int, now_s: float) -> None:
        self._own[host][engine] += change
        if not self._interval_s:
            counts = list(self._own[host])
            self._at(now_s + DELIVERY_S, lambda _: self._apply(host, counts))

    def _report(self, host: int, now_s: float) -> None:
        if self._interval_s:
            self._apply(host, list(self._own[host]))
            self._at(
                now_s + self._interval_s, lambda next_s: self._report(host, next_s)
            )

    def _apply(self, host: int, counts: list[int]) -> None:
        reported = self._reported[host]
        for engine, count in enumerate(counts):
            if count != reported[engine]:
                self._sums[engine] += count - reported[engine]
        self._reported[host] = counts


def _domain(number: int) -> str:
    return f"d{number % FAILURE_DOMAINS}"
