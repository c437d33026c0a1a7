"""Entry hosts in one process: store, engines and datagrams in memory."""

from __future__ import annotations

import asyncio
import random
from contextlib import AsyncExitStack, asynccontextmanager

import attrs
from returns.result import Failure, Success

from aspenbridge.entry import (
    Address,
    EntryHost,
    EntryPorts,
    EntrySettings,
    OperatorTables,
    StoreLimits,
    TimeBounds,
)
from aspenbridge.fleet import (
    CallKind,
    Configuration,
    EngineEntry,
    RequestLimits,
    Route,
    Target,
)
from aspenbridge.ports import (
    AnswerHead,
    AttemptError,
    CallOutcome,
    Change,
    ChangePage,
    Committed,
    Conflict,
    HistoryLost,
    Row,
    RowKey,
    RowRange,
    Unavailable,
)
from aspenbridge.relay import CallerRequest

STORE_DELAY_S = 0.004
SILENT_CALL_S = 1.0  # a call is given up after this
EVENT_S = 0.02


class MemoryStore:
    """Rows, changes and objects; can be away, lose answers and its history."""

    def __init__(self) -> None:
        self.rows_by_key: dict[RowKey, Row] = {}
        self.history: list[Change] = []
        self.objects: dict[str, bytes] = {}
        self.version = 0
        self.deaf_until_s = 0.0  # feeds hear nothing, without an error
        self.unreachable_for: set[str] = set()  # hosts that get no answer; "*" for all
        self.silent = False  # while away: gives no answer, not a refusal
        self.lose_answers = 0
        self.lose_table = ""  # only answers about this one
        self.away_after_loss: set[str] = set()  # hosts cut off with the answer
        self.history_from = 0
        self.changed = asyncio.Event()

    def client(self, host: str) -> StoreAsSeen:
        return StoreAsSeen(self, host)

    def apply(self, transaction):
        parts = {
            entry.key.part
            for entry in (
                *transaction.checks,
                *transaction.puts,
                *transaction.deletes,
            )
        }
        assert len(parts) == 1, "a transaction keeps to one part"
        entries = (*transaction.checks, *transaction.puts, *transaction.deletes)
        assert len(entries) <= 100, "a transaction has at most 100 entries"
        size_bytes = sum(len(put.value) for put in transaction.puts) * 4 / 3
        assert size_bytes < 1_000_000, "a transaction has at most one megabyte"
        stale = {
            check.key: self.rows_by_key.get(check.key)
            for check in transaction.checks
            if self.version_of(check.key) != check.version
        }
        if stale:
            return Failure(Conflict(stale))
        self.version += 1
        for put in transaction.puts:
            self.rows_by_key[put.key] = Row(put.key, put.value, self.version)
            self.history.append(Change(put.key, put.value, self.version))
        for delete in transaction.deletes:
            if self.rows_by_key.pop(delete.key, None):
                self.history.append(Change(delete.key, None, self.version))
        self._notify()
        return Success(Committed({put.key: self.version for put in transaction.puts}))

    def version_of(self, key: RowKey) -> int:
        row = self.rows_by_key.get(key)
        return 0 if row is None else row.version

    def write(self, table: str, key: str, value: bytes | None) -> None:
        """Write a row as operator or engine."""
        self.version += 1
        row_key = RowKey(table, key)
        if value is None:
            self.rows_by_key.pop(row_key, None)
        else:
            self.rows_by_key[row_key] = Row(row_key, value, self.version)
        self.history.append(Change(row_key, value, self.version))
        self._notify()

    def forget_history(self) -> None:
        self.history_from = self.version
        self._notify()

    def _notify(self) -> None:
        self.changed.set()
        self.changed = asyncio.Event()


class StoreAsSeen:
    """The store as one host reaches it."""

    def __init__(self, store: MemoryStore, host: str) -> None:
        self._store = store
        self._host = host

    async def _reach(self) -> bool:
        reached = not self._store.unreachable_for & {self._host, "*"}
        silent = self._store.silent and not reached
        await asyncio.sleep(SILENT_CALL_S if silent else STORE_DELAY_S)
        return reached and not self._store.unreachable_for & {self._host, "*"}

    async def transact(self, transaction):
        if not await self._reach():
            return Failure(Unavailable("away", maybe_applied=False))
        result = self._store.apply(transaction)
        tables = {put.key.table for put in transaction.puts}
        lost = not self._store.lose_table or self._store.lose_table in tables
        if self._store.lose_answers and lost and isinstance(result, Success):
            self._store.lose_answers -= 1
            self._store.unreachable_for |= self._store.away_after_loss
            return Failure(Unavailable("answer lost", maybe_applied=True))
        return result

    async def read(self, keys):
        if not await self._reach():
            return Failure(Unavailable("away", maybe_applied=False))
        return Success(tuple(self._store.rows_by_key.get(key) for key in keys))

    async def scan(self, table, prefix, *, after="", limit=1000):
        raise AssertionError("not used")

    async def rows(self, table, part="", *, start="", end=""):
        if not await self._reach():
            return Failure(Unavailable("away", maybe_applied=False))
        rows = sorted(
            (
                row
                for key, row in self._store.rows_by_key.items()
                if (key.table, key.part) == (table, part)
                and key.key >= start
                and (not end or key.key < end)
            ),
            key=lambda row: row.key.key,
        )
        return Success(RowRange(tuple(rows), self._store.version, complete=True))

    async def parts(self, table):
        if not await self._reach():
            return Failure(Unavailable("away", maybe_applied=False))
        keys = self._store.rows_by_key
        return Success(tuple(sorted({k.part for k in keys if k.table == table})))

    async def changes(self, table, after, wait_s):
        until_s = asyncio.get_running_loop().time() + wait_s
        while True:
            if not await self._reach():
                return Failure(Unavailable("away", maybe_applied=False))
            if after < self._store.history_from:
                return Failure(HistoryLost())
            deaf = asyncio.get_running_loop().time() < self._store.deaf_until_s
            found = tuple(
                change
                for change in self._store.history
                if not deaf and change.key.table == table and change.version > after
            )
            left_s = until_s - asyncio.get_running_loop().time()
            if found or left_s <= 0:
                return Success(
                    ChangePage(found, after if deaf else self._store.version)
                )
            try:
                async with asyncio.timeout(left_s):
                    await self._store.changed.wait()
            except TimeoutError:
                continue

    async def put(self, name, body):
        if not await self._reach():
            return Failure(Unavailable("away", maybe_applied=False))
        self._store.objects.setdefault(name, body)
        return Success(None)

    async def get(self, name):
        if not await self._reach():
            return Failure(Unavailable("away", maybe_applied=False))
        return Success(self._store.objects.get(name))

    async def delete(self, name):
        self._store.objects.pop(name, None)
        return Success(None)


@attrs.define
class Fault:
    """What an engine does to the next request that fits."""

    status: int = 0  # answers with this status
    break_after: int | None = None  # events before the connection breaks
    outcome: CallOutcome | None = None  # fails before an answer
    silent_s: float = 0.0


@attrs.define
class Run:
    """A request that reached an engine."""

    engine: str
    request_id: str
    resume_after: int | None
    started_s: float
    ended_s: float | None = None
    events: list[int] = attrs.field(factory=list)
    target: str = ""
    deadline_s: float = 0.0


class MemoryEngines:
    """Engines that run ``slots`` requests at once and queue the others."""

    def __init__(self, events: int = 10) -> None:
        self.events = events
        self.event_s = EVENT_S
        self.text = "t"
        self.runs: list[Run] = []
        self.faults: dict[str, list[Fault]] = {}  # by request id, "*" for any
        self._places: dict[str, asyncio.Semaphore] = {}
        self.most_running: dict[str, int] = {}
        self._running: dict[str, int] = {}

    def _fault(self, request_id: str) -> Fault:
        for key in (request_id, "*"):
            if self.faults.get(key):
                return self.faults[key].pop(0)
        return Fault()

    async def open(self, engine_id, address, call, answer_deadline_s):
        fault = self._fault(call.request_id)
        if fault.outcome is not None:
            if fault.silent_s:
                await asyncio.sleep(fault.silent_s)
            raise AttemptError(fault.outcome, "told to")
        run = Run(
            engine_id,
            call.request_id,
            call.resume_after,
            asyncio.get_running_loop().time(),
            target=call.target,
            deadline_s=call.deadline_s,
        )
        self.runs.append(run)
        place = self._places.setdefault(engine_id, asyncio.Semaphore(8))
        limit_s = answer_deadline_s - asyncio.get_running_loop().time()
        try:
            async with asyncio.timeout(limit_s):
                await place.acquire()
        except TimeoutError as error:
            raise AttemptError(CallOutcome.BROKEN, "no answer in time") from error
        return MemoryAnswer(self, run, fault, place)


class MemoryAnswer:
    """Events of one run; the place is free when it is closed."""

    def __init__(self, engines, run, fault, place) -> None:
        self._engines, self._run, self._fault = engines, run, fault
        self._place = place
        status = fault.status or 200
        self.head = AnswerHead(
            status, (("Content-Type", "text/event-stream"),), status == 200
        )

    async def body(self):
        if self._fault.status:
            yield b"failed"
            return
        first = 0 if self._run.resume_after is None else self._run.resume_after + 1
        for number in range(first, self._engines.events):
            await asyncio.sleep(self._engines.event_s)
            if self._fault.break_after == number - first:
                yield f"id: {number}\nda".encode()
                raise AttemptError(CallOutcome.BROKEN, "reset")
            self._run.events.append(number)
            yield f"id: {number}\ndata: {self._engines.text}{number}\n\n".encode()

    def close(self) -> None:
        if self._run.ended_s is None:
            self._run.ended_s = asyncio.get_running_loop().time()
            self._place.release()


class MemoryDatagrams:
    """Datagrams between hosts of one process."""

    def __init__(self) -> None:
        self.receivers = {}
        self.lost: set[tuple[str, int]] = set()
        self.groups: list[set[tuple[str, int]]] = []  # hear only each other

    @asynccontextmanager
    async def open(self, address, receive):
        self.receivers[address] = receive

        def send(data, peer):
            if any((peer in group) != (address in group) for group in self.groups):
                return
            if peer not in self.lost and peer in self.receivers:
                loop = asyncio.get_running_loop()
                loop.call_later(0.03, self._deliver, peer, data, address)

        try:
            yield send
        finally:
            self.receivers.pop(address, None)

    def _deliver(self, peer, data, sender):
        if peer in self.receivers:
            self.receivers[peer](data, sender)


def make_route(name="online", **changes) -> Route:
    route = Route(
        name=name,
        host="a.example",
        prefix=f"/{name}/",
        kind=CallKind.STREAMING,
        targets=(Target("llm", 1.0),),
        request_limit_s=5.0,
        goal_s=0.3,
        pause_goal_s=0.3,
        max_engines=2,
        resumable=True,
        priority=0,
        completion_goal_s=18.0,
        retention_s=60.0,
    )
    return attrs.evolve(route, **changes)


def make_configuration(version=1, routes=None) -> Configuration:
    batch = make_route("batch", kind=CallKind.BATCH, max_engines=3)
    once = make_route("once", resumable=False, max_engines=1)
    return Configuration(
        version=version,
        routes=tuple(routes or (make_route(), batch, once)),
        limits=RequestLimits(16384, 4194304, 15.0),
    )


def make_engine(name, **changes) -> EngineEntry:
    entry = EngineEntry(name, "llm", "10.0.0.9", 80, "a-1", 8, False, 1, 0.0)
    return attrs.evolve(entry, **changes)


def make_request(request_id="r1", path="/online/x", **changes) -> CallerRequest:
    request = CallerRequest(
        request_id=request_id,
        method="POST",
        target=path,
        host="a.example",
        headers=(),
        body=b"question",
        received_s=asyncio.get_running_loop().time(),
        deadline_s=asyncio.get_running_loop().time() + 5.0,
        resume_after=None,
    )
    return attrs.evolve(request, **changes)


@attrs.define
class RecordedReply:
    """What a caller got."""

    status: int = 0
    body: bytes = b""
    finished: bool = False
    aborted: bool = False
    problem: object = None
    first_write_s: float | None = None

    async def begin(self, head):
        self.status = head.status

    async def write(self, data):
        if self.first_write_s is None:
            self.first_write_s = asyncio.get_running_loop().time()
        self.body += data

    async def finish(self):
        self.finished = True

    def abort(self):
        self.aborted = True

    async def refuse(self, problem):
        self.problem = problem
        self.status = problem.status


class EntryFleet:
    """Hosts with one store and some engines."""

    def __init__(self, clock, hosts=3, engines=2, events=10) -> None:
        self.clock = clock
        self.store = MemoryStore()
        self.engines = MemoryEngines(events)
        self.datagrams = MemoryDatagrams()
        self.configurations = {b"1": make_configuration()}
        self.entries = {f"e{n}": make_engine(f"e{n}") for n in range(engines)}
        self.hosts: dict[str, EntryHost] = {}
        self._stacks: dict[str, AsyncExitStack] = {}
        self._first = [f"h{number}" for number in range(hosts)]
        self._starts = 0

    async def __aenter__(self):
        self.store.write("op", "config", b"1")
        for name in self.entries:
            self.store.write("servers", name, name.encode())
        for name in self._first:
            await self.start(name)
        await asyncio.sleep(1.5)
        return self

    async def __aexit__(self, *error):
        for name in list(self._stacks):
            await self.kill(name)

    async def start(self, name: str) -> EntryHost:
        self._starts += 1
        ip = f"10.0.1.{self._starts}"
        settings = EntrySettings(
            host=name,
            failure_domain="a-1",
            region="a",
            regions={"a-1": "a"},
            ip=ip,
            callers=Address(ip, 80),
            readiness=Address(ip, 81),
            peer_ports=range(7000, 7010),
            store=Address("10.0.2.1", 1),
            store_limits=StoreLimits(65536, 8_000_000),
            bounds=TimeBounds(8.0, 120.0),
        )
        client = self.store.client(name)
        ports = EntryPorts(
            clock=self.clock,
            random=random.Random(self._starts),
            table=client,
            feed=client,
            objects=client,
            caller=self.engines,
            datagrams=self.datagrams,
            tables=OperatorTables(
                "op",
                "config",
                "servers",
                lambda value: self.configurations[value],
                lambda engine_id, value: self.entries[value.decode()],
            ),
        )
        host = EntryHost(settings, ports)
        stack = AsyncExitStack()
        await stack.enter_async_context(host)
        self.hosts[name], self._stacks[name] = host, stack
        return host

    async def kill(self, name: str) -> None:
        """End a host without a farewell."""
        del self.hosts[name]
        await self._stacks.pop(name).aclose()

    def cut_off(self, name: str) -> None:
        """Take the store and the other hosts away from a host."""
        self.store.unreachable_for |= {name}
        self.datagrams.groups.append({self.address(name)})

    def address(self, name: str) -> tuple[str, int]:
        """Return where a host hears the others."""
        settings = self.hosts[name].settings
        return settings.ip, settings.peer_ports[0]

    def reconnect(self) -> None:
        """Undo all cuts."""
        self.store.unreachable_for = set()
        self.datagrams.groups = []

    async def relay(self, host: str, request: CallerRequest) -> RecordedReply:
        reply = RecordedReply()
        entry = self.hosts[host]
        await entry.relay.serve(request, entry.configuration.current, reply)
        return reply
