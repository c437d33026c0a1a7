"""Faults from outside, in series and overlapping, chosen by a seed."""

from __future__ import annotations

import asyncio
from collections import Counter
from typing import TYPE_CHECKING, Any

from tests.support.platform_standins import STALE_READS_S

from ._engines import EngineFaults
from ._hosts import DRAIN_S
from ._links import LinkState
from ._promises import Blind, now_s

if TYPE_CHECKING:
    from collections.abc import Callable, Coroutine

    from ._run import SoakRun

GAP_S = 0.7  # between two faults, on average
PAUSE_S = 6.0  # others have claimed the jobs of the host by then
SILENCE_S = 3.0  # just before a killed host counts as gone
DEAF_S = 4.0  # the turns of three hosts
CHANGE_S = 1.0  # a new configuration is in force everywhere and was asked for
LAST_S = 5.0  # the longest fault; longer than a host counts as living


class Faults:
    """Injects faults into a run and takes them back."""

    def __init__(self, run: SoakRun) -> None:
        self._run = run
        self._random = run.random
        self._tasks: set[asyncio.Task[None]] = set()
        self.counts: Counter[str] = Counter()

    async def inject(self, seconds: float) -> None:
        """Begin faults for a time; they end by themselves."""
        until_s = now_s() + seconds
        kinds: list[tuple[str, Callable[[], Coroutine[Any, Any, None]]]] = [
            ("host killed", self._kill),
            ("host stopped", self._stop),
            ("host paused", self._pause),
            ("host reloaded", self._reload),
            ("store away", self._store_away),
            ("store slow", self._store_slow),
            ("store loses answers", self._store_loses),
            ("store forgets", self._store_forgets),
            ("feeds hear nothing", self._feeds_deaf),
            ("host wakes to deaf feeds", self._pause_then_deaf),
            ("host killed, feeds deaf", self._kill_then_deaf),
            ("link to the store", self._store_link),
            ("link to an engine", self._engine_link),
            ("engine errs", self._engine_errs),
            ("engine crashed", self._engine_crashes),
            ("engine drained", self._engine_drains),
            ("configuration changed", self._configuration),
        ]
        while now_s() < until_s:
            name, fault = self._random.choice(kinds)
            self.counts[name] += 1
            task = asyncio.create_task(fault())
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)
            await asyncio.sleep(self._random.uniform(0.2, 2 * GAP_S))

    async def heal(self) -> None:
        """Wait for the faults to end and bring all hosts back."""
        await asyncio.gather(*self._tasks)
        self._run.store.unavailable = False
        self._run.calm_engines()
        for host in self._run.hosts:
            host.store.set(LinkState.OPEN)
            host.resume()
            await host.start()
        for engine in self._run.engines:
            engine.link.set(LinkState.OPEN)

    async def drain_in_calm(self) -> None:
        """Drain an engine while every host hears the store."""
        for host in self._run.hosts:
            await host.wait_ready()
        await asyncio.sleep(DRAIN_S)
        await self._engine_drains()

    def _length_s(self) -> float:
        return self._random.uniform(0.5, LAST_S)

    def _blind(self, length_s: float, host: str = "*") -> None:
        """Note that a host, or all, may not hear the store for this long."""
        until_s = now_s() + length_s + DRAIN_S
        self._run.promises.blind.append(Blind(host, now_s(), until_s))

    async def _kill(self) -> None:
        host = self._random.choice(self._run.hosts)
        await host.kill()
        await asyncio.sleep(self._length_s() / 2)
        await host.start()

    async def _stop(self) -> None:
        host = self._random.choice(self._run.hosts)
        kills, was_ready = host.kills, await host.is_ready()
        code = await host.stop()
        if was_ready and code not in (0, None) and host.kills == kills:
            self._run.promises.blame("clean stops", f"{host.name} ended with {code}")
        await host.start()

    async def _pause(self) -> None:
        host = self._random.choice(self._run.hosts)
        length_s = self._length_s() * 1.5
        self._blind(length_s, host.name)
        host.pause()
        await asyncio.sleep(length_s)
        host.resume()

    async def _reload(self) -> None:
        self._random.choice(self._run.hosts).reload()

    async def _store_away(self) -> None:
        length_s = self._length_s()
        self._blind(length_s)
        self._run.store.unavailable = True
        await asyncio.sleep(length_s)
        self._run.store.unavailable = False

    async def _store_slow(self) -> None:
        length_s = self._length_s()
        self._blind(length_s)
        self._run.store.delay_s = 0.2
        await asyncio.sleep(length_s)
        self._run.store.delay_s = 0.003

    async def _store_loses(self) -> None:
        self._run.store.lost_response_share = 0.3
        await asyncio.sleep(self._length_s())
        self._run.store.lost_response_share = 0.0

    async def _store_forgets(self) -> None:
        self._blind(STALE_READS_S)
        self._run.change_configuration()
        await asyncio.sleep(CHANGE_S)
        self._run.store.drop_history()

    async def _feeds_deaf(self) -> None:
        length_s = self._length_s()
        self._blind(length_s)
        self._run.store.feeds_silent_until_s = now_s() + length_s
        await asyncio.sleep(length_s)

    async def _pause_then_deaf(self) -> None:
        """Wake a host that was replaced before it can hear of it."""
        host = self._random.choice(self._run.hosts)
        self._blind(PAUSE_S + DEAF_S)
        host.pause()
        await asyncio.sleep(PAUSE_S)
        self._run.store.feeds_silent_until_s = now_s() + DEAF_S
        host.resume()

    async def _kill_then_deaf(self) -> None:
        """Have hosts take over a job without hearing each other's claims."""
        host = self._random.choice(self._run.hosts)
        self._blind(PAUSE_S + DEAF_S)
        await host.kill()
        await asyncio.sleep(SILENCE_S)
        self._run.store.feeds_silent_until_s = now_s() + DEAF_S
        await asyncio.sleep(DEAF_S)
        await host.start()

    async def _store_link(self) -> None:
        host = self._random.choice(self._run.hosts)
        link, length_s = host.store, self._length_s() * 1.5
        self._blind(length_s, host.name)
        link.set(self._random.choice(list(LinkState)[1:]))
        await asyncio.sleep(length_s)
        link.set(LinkState.OPEN)

    async def _engine_link(self) -> None:
        link = self._random.choice(self._run.engines).link
        link.set(self._random.choice(list(LinkState)[1:]))
        await asyncio.sleep(self._length_s())
        link.set(LinkState.OPEN)

    async def _engine_errs(self) -> None:
        engine = self._random.choice(self._run.engines)
        engine.faults = EngineFaults(
            lose_answer=0.1, wrong_answer=0.1, break_off=0.1, fail=0.05
        )
        await asyncio.sleep(self._length_s())
        engine.faults = EngineFaults()

    async def _engine_crashes(self) -> None:
        engine = self._random.choice(self._run.engines)
        if len(self._run.engines) < 2:
            return
        self._run.engines.remove(engine)
        engine.link.set(LinkState.RESET)
        await asyncio.sleep(0.5)
        self._run.store.write("servers", engine.name, None)
        await self._run.add_engine()

    async def _engine_drains(self) -> None:
        if len(self._run.engines) < 2:
            return
        await self._run.add_engine()
        engine = self._random.choice(self._run.engines[:-1])
        self._run.engines.remove(engine)
        self._run.register(engine, "draining")
        self._run.promises.drained_s[engine.name] = now_s()
        await asyncio.sleep(DRAIN_S * 2)
        self._run.promises.check_drain(engine.name)
        self._run.store.write("servers", engine.name, None)

    async def _configuration(self) -> None:
        self._run.change_configuration()
