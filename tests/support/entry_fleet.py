"""Entry hosts in one process, with store, engines and network in memory."""

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
    BodyEnd,
    CallOutcome,
    ChangePage,
    Committed,
    Conflict,
    HistoryLost,
    Row,
    RowChange,
    RowKey,
    RowRange,
    Unavailable,
)
from aspenbridge.relay import CallerRequest

STORE_DELAY_S = 0.004
CALL_TIMEOUT_S = 1.0  # time after which a call without a reply fails
MAX_PAGE_ROWS = 500
ROW_BYTES = 65_536  # of the value of a row; a longer one is refused
EVENT_S = 0.02  # time between two events of a run
ENTRY_LIFETIME_S = 3.6  # of an engine that is silent, in the store


class MemoryStore:
    """
    Rows, changes and objects that all hosts share.

    Tests can make it unreachable, stall its feeds, or have it lose replies or
    the history of its changes.
    """

    def __init__(self) -> None:
        self.rows_by_key: dict[RowKey, Row] = {}
        self.history: list[RowChange] = []
        self.objects: dict[str, bytes] = {}
        self.version = 0
        # Before this time change feeds report neither changes nor an error.
        self.feeds_stalled_until_s = 0.0
        # How late hosts handle the replies of their feeds, by their names.
        self.feed_delays_s: dict[str, float] = {}
        # Names of hosts whose calls fail; "*" stands for all hosts. The calls
        # fail after a timeout if ``calls_time_out`` is set, else at once.
        self.unreachable_for: set[str] = set()
        self.calls_time_out = False
        self.unreadable_tables: set[str] = set()  # reads of them fail
        # The most rows that one read returns, by table.
        self.page_rows: dict[str, int] = {}
        self.cuts_objects = False  # reads of objects return their first half
        # How many of the next writes get no reply. Only writes to the table
        # ``lossy_table`` count, or all writes if it is empty. After such a
        # write the hosts in ``unreachable_after_loss`` can't reach the store.
        self.replies_to_lose = 0
        self.lossy_table = ""
        self.unreachable_after_loss: set[str] = set()
        # Feeds that ask for changes after an older version get HistoryLost.
        self.history_from = 0
        self.changed = asyncio.Event()

    def client(self, host: str) -> HostStoreClient:
        return HostStoreClient(self, host)

    def apply(self, transaction):
        parts = {
            entry.key.part
            for entry in (
                *transaction.checks,
                *transaction.puts,
                *transaction.deletes,
            )
        }
        assert len(parts) == 1, "a transaction writes rows of one part only"
        entries = (*transaction.checks, *transaction.puts, *transaction.deletes)
        assert len(entries) <= 100, "a transaction has at most 100 entries"
        size_bytes = sum(len(put.value) for put in transaction.puts) * 4 / 3
        assert size_bytes < 1_000_000, "a transaction has at most one megabyte"
        if any(len(put.value) > ROW_BYTES for put in transaction.puts):
            return Failure(Unavailable("status 400", maybe_applied=True))
        conflicts = {
            check.key: self.rows_by_key.get(check.key)
            for check in transaction.checks
            if self.version_of(check.key) != check.version
        }
        if conflicts:
            return Failure(Conflict(conflicts))
        self.version += 1
        for put in transaction.puts:
            self.rows_by_key[put.key] = Row(put.key, put.value, self.version)
            self.history.append(RowChange(put.key, put.value, self.version))
        for delete in transaction.deletes:
            if self.rows_by_key.pop(delete.key, None):
                self.history.append(RowChange(delete.key, None, self.version))
        self._notify()
        return Success(Committed({put.key: self.version for put in transaction.puts}))

    def version_of(self, key: RowKey) -> int:
        row = self.rows_by_key.get(key)
        return 0 if row is None else row.version

    def write(self, table: str, key: str, value: bytes | None) -> None:
        """Write a row as the operator or an engine; None deletes the row."""
        self.version += 1
        row_key = RowKey(table, key)
        if value is None:
            self.rows_by_key.pop(row_key, None)
        else:
            self.rows_by_key[row_key] = Row(row_key, value, self.version)
        self.history.append(RowChange(row_key, value, self.version))
        self._notify()

    def forget_history(self) -> None:
        """Lose the changes up to now, so that followers read whole tables."""
        self.history_from = self.version
        self._notify()

    def _notify(self) -> None:
        self.changed.set()
        self.changed = asyncio.Event()


class HostStoreClient:
    """The store as one host reaches it; implements the ports of the store."""

    def __init__(self, store: MemoryStore, host: str) -> None:
        self._store = store
        self._host = host
        self.killed = False  # calls of a killed host never return

    async def _wait_for_store(self) -> bool:
        """Wait as long as a call takes; return whether it succeeds."""
        if self.killed:
            await asyncio.Event().wait()
        reached = not self._store.unreachable_for & {self._host, "*"}
        timed_out = self._store.calls_time_out and not reached
        await asyncio.sleep(CALL_TIMEOUT_S if timed_out else STORE_DELAY_S)
        return reached and not self._store.unreachable_for & {self._host, "*"}

    async def transact(self, transaction):
        if not await self._wait_for_store():
            return Failure(Unavailable("store unreachable", maybe_applied=False))
        result = self._store.apply(transaction)
        tables = {put.key.table for put in transaction.puts}
        may_lose_reply = (
            not self._store.lossy_table or self._store.lossy_table in tables
        )
        if (
            self._store.replies_to_lose
            and may_lose_reply
            and isinstance(result, Success)
        ):
            self._store.replies_to_lose -= 1
            self._store.unreachable_for |= self._store.unreachable_after_loss
            return Failure(Unavailable("reply lost", maybe_applied=True))
        return result

    async def read(self, keys):
        if not await self._wait_for_store():
            return Failure(Unavailable("store unreachable", maybe_applied=False))
        return Success(tuple(self._store.rows_by_key.get(key) for key in keys))

    async def scan(self, table, prefix, *, after="", limit=1000):
        raise AssertionError("not used")

    async def rows(self, table, part="", *, start="", end=""):
        unreadable = table in self._store.unreadable_tables
        if not await self._wait_for_store() or unreadable:
            return Failure(Unavailable("store unreachable", maybe_applied=False))
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
        page = tuple(rows[: self._store.page_rows.get(table, MAX_PAGE_ROWS)])
        complete = len(page) == len(rows)
        return Success(RowRange(page, self._store.version, complete=complete))

    async def parts(self, table):
        if not await self._wait_for_store():
            return Failure(Unavailable("store unreachable", maybe_applied=False))
        keys = self._store.rows_by_key
        return Success(tuple(sorted({k.part for k in keys if k.table == table})))

    async def changes(self, table, after, wait_s):
        until_s = asyncio.get_running_loop().time() + wait_s
        while True:
            if not await self._wait_for_store():
                return Failure(Unavailable("store unreachable", maybe_applied=False))
            if after < self._store.history_from:
                return Failure(HistoryLost())
            stalled = (
                asyncio.get_running_loop().time() < self._store.feeds_stalled_until_s
            )
            changes = tuple(
                change
                for change in self._store.history
                if not stalled and change.key.table == table and change.version > after
            )
            remaining_s = until_s - asyncio.get_running_loop().time()
            if changes or remaining_s <= 0:
                page = ChangePage(changes, after if stalled else self._store.version)
                await asyncio.sleep(self._store.feed_delays_s.get(self._host, 0.0))
                return Success(page)
            try:
                async with asyncio.timeout(remaining_s):
                    await self._store.changed.wait()
            except TimeoutError:
                continue

    async def put(self, name, body):
        if not await self._wait_for_store():
            return Failure(Unavailable("store unreachable", maybe_applied=False))
        self._store.objects.setdefault(name, body)
        return Success(None)

    async def get(self, name):
        if not await self._wait_for_store():
            return Failure(Unavailable("store unreachable", maybe_applied=False))
        body = self._store.objects.get(name)
        if body is not None and self._store.cuts_objects:
            body = body[: len(body) // 2]
        return Success(body)

    async def delete(self, name):
        self._store.objects.pop(name, None)
        return Success(None)


@attrs.define
class Fault:
    """How one request fails; a fault in ``MemoryEngines`` is used once."""

    status: int = 0  # answers with this status; 0 for a normal answer
    break_after: int | None = None  # breaks the connection after so many events
    connection_lost: bool = False  # whether what breaks is a connection that ends
    outcome: CallOutcome | None = None  # fails with it before the request runs
    delay_s: float = 0.0  # before it fails with ``outcome``
    head_pause_s: float = 0.0  # silence before the head, after the run began
    pause_at: int | None = None  # the event before which the engine is silent
    pause_s: float = 0.0  # for how long
    # The event that never ends: only small parts of it come.
    trickle_at: int | None = None


@attrs.define
class Run:
    """
    A request that reached an engine; it may still wait for a slot.

    :ivar events: the ids of the events that the engine sent.
    """

    engine: str
    request_id: str
    resume_after: int | None
    started_s: float
    ended_s: float | None = None
    events: list[int] = attrs.field(factory=list)
    target: str = ""
    deadline_s: float = 0.0
    body: bytes = b""
    parts: tuple[str, ...] = ()  # of the prompt that others may share
    host: str = ""  # that sent it


@attrs.frozen
class Crash:
    """An engine's crash, with the body that caused it; empty if by itself."""

    engine: str
    at_s: float
    body: bytes
    parts: frozenset[str] = frozenset()  # that caused it


PARTS_HEADER = "parts"  # holds the shared parts of a prompt, for engines


def parts_of(call) -> tuple[str, ...]:
    """Return the shared parts of the prompt of a request or a call."""
    text = dict(call.headers).get(PARTS_HEADER, "")
    return tuple(text.split()) if text else ()


class MemoryEngines:
    """Engines that run eight requests at once each and queue the others."""

    def __init__(self, events: int = 10) -> None:
        self.events = events
        self.event_s = EVENT_S
        self.text = "t"
        self.runs: list[Run] = []
        self.faults: dict[str, list[Fault]] = {}  # by request id; "*" for any request
        self.crashing_bodies: set[bytes] = set()  # they crash engines that run them
        self.crashing_parts: set[str] = set()  # prompts with them crash engines
        # How many events engines send of an answer that crashes them; None if
        # they crash before its head.
        self.crash_events: int | None = None
        # What marks the end of answers. With ``CONNECTION`` one that crashes
        # its engine ends in an orderly way.
        self.body_end = BodyEnd.CHUNKS
        self.crash_after_s = EVENT_S  # from when such a request begins to run
        self.crashes_are_silent = False  # connections stay open without data
        self.abandoned_runs_go_on = False  # when a crashing request is cancelled
        self.crashes: list[Crash] = []
        self.down: set[str] = set()  # engines that accept no connection
        self.leaving: set[str] = set()  # engines that say so in their answers
        self.on_crash = lambda engine_id: None
        self._slots: dict[str, asyncio.Semaphore] = {}
        self.most_running: dict[str, int] = {}
        self._running: dict[str, int] = {}

    def _pop_fault(self, request_id: str) -> Fault:
        for key in (request_id, "*"):
            if self.faults.get(key):
                return self.faults[key].pop(0)
        return Fault()

    def crash(
        self, engine_id: str, body: bytes = b"", parts: frozenset[str] = frozenset()
    ) -> None:
        """Break all requests that run on an engine, which then is down."""
        now_s = asyncio.get_running_loop().time()
        self.crashes.append(Crash(engine_id, now_s, body, parts))
        self.down.add(engine_id)
        self.on_crash(engine_id)

    def crash_count(self, engine_id: str) -> int:
        return sum(crash.engine == engine_id for crash in self.crashes)

    async def open(self, engine_id, address, call, answer_deadline_s, host=""):
        if engine_id in self.down:
            raise AttemptError(CallOutcome.NOT_SENT, "connection refused")
        fault = self._pop_fault(call.request_id)
        if fault.outcome is not None:
            if fault.delay_s:
                await asyncio.sleep(fault.delay_s)
            leaves = fault.outcome is CallOutcome.REFUSED and engine_id in self.leaving
            raise AttemptError(fault.outcome, "injected fault", engine_leaves=leaves)
        run = Run(
            engine_id,
            call.request_id,
            call.resume_after,
            asyncio.get_running_loop().time(),
            target=call.target,
            deadline_s=call.deadline_s,
            body=call.body,
            parts=parts_of(call),
            host=host,
        )
        self.runs.append(run)
        crash_count = self.crash_count(engine_id)
        slot = self._slots.setdefault(engine_id, asyncio.Semaphore(8))
        limit_s = answer_deadline_s - asyncio.get_running_loop().time()
        try:
            async with asyncio.timeout(limit_s):
                await slot.acquire()
        except TimeoutError as error:
            raise AttemptError(CallOutcome.BROKEN, "no answer in time") from error
        answer = MemoryAnswer(self, run, fault, slot, crash_count)
        try:
            async with asyncio.timeout(limit_s):
                await asyncio.sleep(fault.head_pause_s)
        except TimeoutError as error:
            answer.close()
            raise AttemptError(CallOutcome.BROKEN, "no answer in time") from error
        except asyncio.CancelledError:
            answer.close()
            raise
        guilty = self.crashing_parts.intersection(run.parts)
        answer.crashing_parts = guilty
        if call.body in self.crashing_bodies or (guilty and self.crash_events is None):
            try:
                await self._run_crashing(run, guilty, crash_count, limit_s)
                answer.raise_if_crashed()
            finally:
                answer.close()
        return answer

    async def _run_crashing(self, run, parts, crash_count, limit_s):
        """Crash an engine unless it has crashed meanwhile."""

        def crash():
            if self.crash_count(run.engine) == crash_count:
                self.crash(run.engine, run.body, frozenset(parts))

        loop = asyncio.get_running_loop()
        timer = loop.call_later(self.crash_after_s, crash)
        try:
            if self.crashes_are_silent:
                await asyncio.sleep(limit_s)
                raise AttemptError(CallOutcome.BROKEN, "no answer in time")
            await asyncio.sleep(self.crash_after_s + 0.001)
        except asyncio.CancelledError:
            if not self.abandoned_runs_go_on:
                timer.cancel()
            raise


class HostEngineCaller:
    """The engines as one host reaches them."""

    def __init__(self, engines: MemoryEngines, host: str) -> None:
        self._engines = engines
        self._host = host
        self.killed = False  # a killed host sends nothing more

    async def open(self, *call):
        if self.killed:
            await asyncio.Event().wait()
        if isinstance(self._engines, MemoryEngines):
            return await self._engines.open(*call, host=self._host)
        return await self._engines.open(*call)  # over sockets


class MemoryAnswer:
    """The events of one run; closing it frees the slot of the engine."""

    def __init__(self, engines, run, fault, slot, crash_count) -> None:
        self._engines, self._run, self._fault = engines, run, fault
        self._slot = slot
        self._crash_count = crash_count  # of the engine when the run was sent
        self._first_event = 0 if run.resume_after is None else run.resume_after + 1
        self._next_event = self._first_event
        self._due_s: float | None = None  # when the next event is due
        self._broken = False  # whether a part of an event was sent
        self.crashing_parts: set[str] = set()  # of the prompt of this run
        self._failed_body = b"failed"
        status = fault.status or 200
        self.head = AnswerHead(
            status,
            (("Content-Type", "text/event-stream"),),
            status == 200,
            engines.body_end,
            engine_leaves=run.engine in engines.leaving,
        )

    async def read(self):
        if self._fault.status:
            rest, self._failed_body = self._failed_body, b""
            return rest
        if self._broken:
            raise AttemptError(
                CallOutcome.BROKEN,
                "reset",
                connection_lost=self._fault.connection_lost,
            )
        number = self._next_event
        sent = number - self._first_event
        ends = number >= self._engines.events
        if self.crashing_parts and (ends or sent >= (self._engines.crash_events or 0)):
            self._crash()
            return b""
        if ends:
            return b""
        if number == self._fault.trickle_at:
            await asyncio.sleep(self._engines.event_s)
            return b"x"
        # The time of the event stands, so that a call that was cancelled and
        # made again gets it when it is due.
        loop = asyncio.get_running_loop()
        if self._due_s is None:
            paused = number == self._fault.pause_at
            pause_s = self._fault.pause_s if paused else 0.0
            self._due_s = loop.time() + self._engines.event_s + pause_s
        await asyncio.sleep(self._due_s - loop.time())
        self._due_s = None
        self.raise_if_crashed()
        if self._fault.break_after == number - self._first_event:
            self._broken = True
            return f"id: {number}\nda".encode()
        self._run.events.append(number)
        self._next_event += 1
        return f"id: {number}\ndata: {self._engines.text}{number}\n\n".encode()

    def _crash(self) -> None:
        """Crash the engine; raise unless the connection looks whole."""
        if self._engines.crash_count(self._run.engine) == self._crash_count:
            parts = frozenset(self.crashing_parts)
            self._engines.crash(self._run.engine, self._run.body, parts)
        if self.head.body_end is not BodyEnd.CONNECTION:
            self.raise_if_crashed()

    def raise_if_crashed(self) -> None:
        if self._engines.crash_count(self._run.engine) != self._crash_count:
            raise AttemptError(
                CallOutcome.BROKEN, "connection reset", connection_lost=True
            )

    def close(self) -> None:
        if self._run.ended_s is None:
            self._run.ended_s = asyncio.get_running_loop().time()
            self._slot.release()


class MemoryDatagrams:
    """
    Datagrams between hosts of one process.

    Those to addresses in ``lost`` are dropped. A host in one of the ``groups``
    exchanges datagrams only with hosts of that group.
    """

    def __init__(self) -> None:
        self.receivers = {}
        self.lost: set[tuple[str, int]] = set()
        self.groups: list[set[tuple[str, int]]] = []

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
        latency_goal_s=0.3,
        event_gap_goal_s=0.3,
        max_attempts=2,
        resumable=True,
        priority=0,
        completion_goal_s=18.0,
        retention_s=60.0,
    )
    return attrs.evolve(route, **changes)


def make_configuration(version=1, routes=None) -> Configuration:
    batch = make_route("batch", kind=CallKind.BATCH, max_attempts=3)
    once = make_route("once", resumable=False, max_attempts=1)
    return Configuration(
        version=version,
        routes=tuple(routes or (make_route(), batch, once)),
        limits=RequestLimits(16384, 4194304, 15.0),
    )


def make_engine(name, **changes) -> EngineEntry:
    entry = EngineEntry(name, "llm", "10.0.0.9", 80, "a-1", 8, False, 1, 0.0)
    return attrs.evolve(entry, **changes)


def part_fields(*parts) -> dict[str, tuple]:
    """Return the fields of a request or item for the parts of its prompt."""
    return {"headers": ((PARTS_HEADER, " ".join(parts)),), "prompt_parts": parts}


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
class RecordedResponse:
    """Records the response to a caller; satisfies ``ResponseWriter``."""

    status: int = 0
    body: bytes = b""
    finished: bool = False
    aborted: bool = False
    problem: object = None
    first_write_s: float | None = None  # when the first part was written

    async def begin(self, head, length=None):
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
    """
    Entry hosts that share one store and some engines.

    As a context manager it starts the hosts and waits until they know each
    other; at its end it kills them.
    """

    def __init__(self, clock, hosts=3, engines=2, events=10) -> None:
        self.clock = clock
        self.store = MemoryStore()
        self.engines = MemoryEngines(events)
        self.datagrams = MemoryDatagrams()
        self.configurations = {b"1": make_configuration()}
        self.entries = {f"e{n}": make_engine(f"e{n}") for n in range(engines)}
        self.hosts: dict[str, EntryHost] = {}
        self._stacks: dict[str, AsyncExitStack] = {}
        self._initial_hosts = [f"h{number}" for number in range(hosts)]
        self._start_count = 0
        self.engines.on_crash = self._restart_engine
        self.engine_down_s = 2.0  # how long a crashed engine is down
        self.returns_under_new_id = False  # whether it does after a crash
        self._engine_starts = 1
        self._restarts: set[asyncio.Task] = set()

    async def __aenter__(self):
        self.store.write("op", "config", b"1")
        for name in self.entries:
            self.store.write("servers", name, name.encode())
        for name in self._initial_hosts:
            await self.start(name)
        await asyncio.sleep(1.5)
        return self

    async def __aexit__(self, *error):
        for restart in self._restarts:
            restart.cancel()
        for name in list(self._stacks):
            await self.kill(name)

    def _restart_engine(self, engine_id: str) -> None:
        task = asyncio.create_task(self._register_after_crash(engine_id))
        self._restarts.add(task)
        task.add_done_callback(self._restarts.discard)

    async def _register_after_crash(self, engine_id: str) -> None:
        """Have a crashed engine's entry lapse or change as the store would."""
        self._engine_starts += 1
        start = self._engine_starts
        lapsed = asyncio.create_task(self._lapse(engine_id))
        self._restarts.add(lapsed)
        await asyncio.sleep(self.engine_down_s)
        name = f"e-{start}" if self.returns_under_new_id else engine_id
        row = f"{name}#{start}"
        self.entries[row] = make_engine(name, started_ms=start)
        if name == engine_id:
            lapsed.cancel()
            self.engines.down.discard(engine_id)
        self.store.write("servers", name, row.encode())

    async def _lapse(self, engine_id: str) -> None:
        await asyncio.sleep(ENTRY_LIFETIME_S)
        self.store.write("servers", engine_id, None)

    async def start(self, name: str) -> EntryHost:
        self._start_count += 1
        ip = f"10.0.1.{self._start_count}"
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
            store_limits=StoreLimits(ROW_BYTES, 8_000_000),
            bounds=TimeBounds(8.0, 120.0),
            engine_heartbeat_s=1.2,
        )
        client = self.store.client(name)
        ports = EntryPorts(
            clock=self.clock,
            random=random.Random(self._start_count),
            table=client,
            feed=client,
            objects=client,
            engine_caller=HostEngineCaller(self.engines, name),
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
        """Stop a host at once; it does not release its jobs to other hosts."""
        host = self.hosts.pop(name)
        host.ports.table.killed = True
        host.ports.engine_caller.killed = True
        await self._stacks.pop(name).aclose()
        # Its tasks would go on in this process, run items and list results.
        await host.worker._running.stop_all()

    def cut_off(self, name: str) -> None:
        """Cut a host off from the store and from the other hosts."""
        self.store.unreachable_for |= {name}
        self.datagrams.groups.append({self.address(name)})

    def address(self, name: str) -> tuple[str, int]:
        """Return the address at which a host receives datagrams."""
        settings = self.hosts[name].settings
        return settings.ip, settings.peer_ports[0]

    def reconnect(self) -> None:
        """Connect all hosts with the store and with each other again."""
        self.store.unreachable_for = set()
        self.datagrams.groups = []

    async def relay(self, host: str, request: CallerRequest) -> RecordedResponse:
        response = RecordedResponse()
        entry = self.hosts[host]
        await entry.relay.serve(request, entry.configuration.current, response)
        return response
