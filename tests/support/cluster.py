"""Hosts on one in-memory platform, with faults for each host's calls."""

from __future__ import annotations

import asyncio
import json
import random
from contextlib import AsyncExitStack

import attrs
from returns.result import Failure

from aspenbridge.demo._fleet import MODEL, SERVICE, Fleet, configuration
from aspenbridge.host import HostCore
from aspenbridge.ports import PeerAddress, PeerUnreachableError, Unavailable
from aspenbridge.settings import BatchSettings, HostSettings, Settings
from aspenbridge.work import Work, new_id


class HostConnections:
    """
    The connections of one host to the table, the objects and its peers.

    While they are paused, calls to the table and the objects wait, except
    deletions of objects, and calls to peers fail.

    :ivar down: whether calls to the table and the objects fail, except
        deletions of objects.
    :ivar lose_replies: how many of the next commits are applied but reported
        as failed.
    :ivar writes: the number of transactions on the table.
    :ivar reads: the number of reads and scans of the table.
    :ivar puts: the number of writes of objects.
    :ivar isolated: whether calls to peers fail.
    """

    def __init__(self, fleet: Fleet) -> None:
        self._fleet = fleet
        self.down = False
        self.lose_replies = 0
        self.writes = 0
        self.reads = 0
        self.puts = 0
        self.isolated = False
        self._open = asyncio.Event()
        self._open.set()

    def pause(self) -> None:
        self._open.clear()

    def resume(self) -> None:
        self._open.set()

    async def transact(self, transaction):
        self.writes += 1
        await self._open.wait()
        if self.down:
            return Failure(Unavailable("down", maybe_applied=False))
        result = await self._fleet.table.transact(transaction)
        if self.lose_replies > 0:
            self.lose_replies -= 1
            return Failure(Unavailable("reply lost", maybe_applied=True))
        return result

    async def read(self, keys):
        self.reads += 1
        await self._open.wait()
        if self.down:
            return Failure(Unavailable("down", maybe_applied=False))
        return await self._fleet.table.read(keys)

    async def scan(self, table, prefix, *, after="", limit=1000):
        self.reads += 1
        await self._open.wait()
        if self.down:
            return Failure(Unavailable("down", maybe_applied=False))
        return await self._fleet.table.scan(table, prefix, after=after, limit=limit)

    async def put(self, name, body):
        self.puts += 1
        await self._open.wait()
        if self.down:
            return Failure(Unavailable("down", maybe_applied=False))
        return await self._fleet.objects.put(name, body)

    async def get(self, name):
        await self._open.wait()
        if self.down:
            return Failure(Unavailable("down", maybe_applied=False))
        return await self._fleet.objects.get(name)

    async def delete(self, name):
        return await self._fleet.objects.delete(name)

    async def call(self, address, message, deadline_s):
        if self.isolated or not self._open.is_set():
            raise PeerUnreachableError(address, "cut off", sent=False)
        try:
            async with asyncio.timeout_at(deadline_s):
                return await self._fleet.peers.call(address, message, deadline_s)
        except TimeoutError as error:
            raise PeerUnreachableError(address, "no answer", sent=True) from error


class Cluster:
    """
    Starts, kills, pauses and resumes hosts, which have numbers from 1 on.

    :param batch: batch settings that differ from the defaults.
    """

    def __init__(self, clock, seed: int = 1, **batch) -> None:
        self.clock = clock
        self.fleet = Fleet(clock, random.Random(seed))
        self.fleet.add_backends()
        self.hosts: dict[int, HostCore] = {}
        self.connections: dict[int, HostConnections] = {}
        self.batch = BatchSettings(**{"chunk_items": 10, **batch})

    async def __aenter__(self) -> Cluster:
        return self

    async def __aexit__(self, *_) -> None:
        async with AsyncExitStack() as stack:
            for host in self.hosts.values():
                stack.push_async_exit(host)

    async def start(self, *numbers: int) -> None:
        """
        Start hosts and let five seconds pass.

        The first call also writes the configuration.
        """
        for number in numbers:
            await self._start(number)
        if len(self.hosts) == len(numbers):
            first = self.hosts[numbers[0]]
            (await first.authority.accept("test", 0, configuration())).unwrap()
        for host in self.hosts.values():
            await host.follower.refresh()
        await asyncio.sleep(5.0)

    async def _start(self, number: int) -> None:
        connections = self.connections[number] = HostConnections(self.fleet)
        ports = attrs.evolve(
            self.fleet.ports(),
            table=connections,
            objects=connections,
            peers=connections,
        )
        settings = Settings(host=HostSettings(name=f"h{number}"), batch=self.batch)
        # Adds the host to the platform's host list.
        unused_host = self.fleet.host(number)
        host = HostCore(settings, ports, PeerAddress("127.0.0.1", number))
        assert unused_host is not host
        self.fleet.peers.handlers[PeerAddress("127.0.0.1", number)] = host
        self.hosts[number] = await host.__aenter__()

    async def kill(self, number: int) -> str:
        """Stop a host without a shutdown, and return its incarnation."""
        host = self.hosts.pop(number)
        self.connections[number].pause()
        self.fleet.peers.handlers.pop(PeerAddress("127.0.0.1", number))
        incarnation = host.identity().incarnation
        await host.__aexit__(None, None, None)
        return incarnation

    def pause(self, number: int) -> None:
        """Pause a host: its platform calls wait, and no peer reaches it."""
        self.connections[number].pause()
        self.fleet.peers.handlers.pop(PeerAddress("127.0.0.1", number))

    def resume(self, number: int) -> None:
        address = PeerAddress("127.0.0.1", number)
        self.fleet.peers.handlers[address] = self.hosts[number]
        self.connections[number].resume()

    def work(self, number: int, prompt: str, tokens: int = 10, limit_s: float = 30.0):
        """Return new online work; a host draws its id but doesn't run it."""
        host = self.hosts[number]
        return Work(
            work_id=new_id("req", host.ports.random),
            customer="kgotso",
            model=MODEL,
            prompt=prompt,
            max_tokens=tokens,
            online=True,
            deadline_s=self.clock.now_s() + limit_s,
        )

    async def submit(
        self, number: int, items: int, customer: str = "kgotso", tokens: int = 20
    ):
        """Upload a file of items to a host, and submit a job for it."""
        host = self.hosts[number]
        lines = [json.dumps(item(index, tokens)) for index in range(items)]
        file = (await host.files.upload(customer, "\n".join(lines).encode())).unwrap()
        due_wall_s = self.clock.wall_s() + 3600.0
        return (await host.jobs.submit(file, None, due_wall_s, {})).unwrap()

    async def wait_until(self, check, limit_s: float = 120.0) -> float:
        """Wait until a check returns true; return the wait in seconds."""
        started_s = self.clock.now_s()
        while not await check():
            assert self.clock.now_s() < started_s + limit_s, (
                "the condition did not hold in time"
            )
            await asyncio.sleep(0.1)
        return self.clock.now_s() - started_s

    async def result_ids(self, number: int, job) -> list[str]:
        """Return the custom_id of each counted result of a job."""
        outcomes = await self.hosts[number].jobs.outcomes(job.customer, job.job_id)
        return [outcome.custom_id for outcome in outcomes.unwrap()]

    async def book(self, number: int, key: str | None = "b", limit_s: float = 20.0):
        """Send a booking through a host and return the result of the call."""
        return await self.hosts[number].calls.call(
            "lainaamo",
            SERVICE,
            "POST",
            "/bookings",
            b'{"tool": "chainsaw"}',
            key,
            self.clock.now_s() + limit_s,
        )

    @property
    def bookings(self) -> int:
        """How many bookings the service has run."""
        return sum(self.fleet.ledger.runs.values())

    async def job_completed(self, number: int, job) -> bool:
        """Return whether a host reports the job as completed."""
        status = await self.hosts[number].jobs.status(job.customer, job.job_id)
        return status.unwrap().job.state == "completed"


def item(number: int, tokens: int, model: str = MODEL) -> dict[str, object]:
    message = {"role": "user", "content": f"summarise call {number}"}
    body = {"model": model, "messages": [message], "max_tokens": tokens}
    return {"custom_id": f"call-{number}", "body": body}
