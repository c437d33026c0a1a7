"""
Stand-ins of the platform for the cases of this review, on loopback addresses.

The store, the engines, the balancer and the clients run in the process of a
script. Entry hosts are processes of their own, started as the deploy file says.
"""

from __future__ import annotations

import asyncio
import base64
import contextlib
import json
import os
import random
import shutil
import signal
import socket
import struct
import subprocess
import tempfile
import sys
import time
import tomllib
import traceback
from pathlib import Path

import aiohttp
from aiohttp import web

ROOT = Path(__file__).resolve().parents[2]
RESET = struct.pack("ii", 1, 0)
IDLE_S = 20  # how long an engine keeps an idle connection, which it states
ENTRY_LIFETIME_S = 3.6  # of a silent engine: three heartbeats
ENGINE_DOWN_S = 3.0  # "back after some seconds"
EVENT_S = 0.02
SLOTS = 8
QUEUE = 24
HELD, BROKEN, COULD_NOT_RUN = 0, 10, 2  # exit codes of a case; see run.sh
LIMIT_S = 114.0  # of a whole case
ROW_BYTES = 65536
MAX_TRANSACTION_BYTES = 1_000_000
# Of the rule LOST for items of batch jobs.
CALM_S = 5.0
UNFINISHED_S = 3.0
FAILED_S = 20.0
SHORT_RUN_S = 1.0
ZONES = {"jhb-a": "gauteng", "cpt-a": "western-cape", "dbn-a": "kwazulu-natal"}
LIMITS = {
    "maxHeaderBytes": 16384,
    "maxBodyBytes": 4194304,
    "headerTimeoutMs": 5000,
    "idleTimeoutMs": 15000,
}
BOUNDS = """\
seedLagS = 3
reuseAfterS = 2
contactMs = 4000
ackMs = 5000
catchUpS = 4.7
drainMs = 3000
graceS = 8
lossSlackMs = 200
configApplyMs = 3000
rollbackSlackMs = 250
partitionMs = 6000
recoverS = 12
iterationMs = 400
retryAfterS = 0
finishS = 18
statusS = 120
cancelMs = 3000
settleMs = 1000
quotaOvershoot = 0.1
"""


class CouldNotRunError(Exception):
    """The case could not run as it is meant to."""


def run_case(main) -> None:
    """Run a case within its time, and exit with one of the codes above."""
    try:
        code = asyncio.run(_limited(main))
    except BaseException:
        traceback.print_exc()
        code = COULD_NOT_RUN
    sys.exit(code)


async def _limited(main) -> int:
    # The processes of the hosts are ended also when the script is stopped.
    task = asyncio.current_task()
    assert task is not None
    loop = asyncio.get_running_loop()
    loop.add_signal_handler(signal.SIGTERM, task.cancel)
    async with asyncio.timeout(LIMIT_S):
        return await main()


class Record:
    """The events of a run, in the order in which they were seen."""

    def __init__(self, path: Path) -> None:
        self._file = path.open("w")
        self._begin_s = time.monotonic()

    def now_s(self) -> float:
        return time.monotonic() - self._begin_s

    def add(self, what: str, **details: object) -> None:
        text = " ".join(f"{key}={value}" for key, value in details.items())
        self._file.write(f"{self.now_s():8.3f} {what} {text}\n")
        self._file.flush()


class Store:
    """Rows, change feeds and objects; acknowledges a write once it is done."""

    def __init__(self) -> None:
        self.rows: dict[tuple[str, str, str], dict] = {}
        self.history: list[dict] = []
        self.objects: dict[str, bytes] = {}
        self.version = 0
        self._changed = asyncio.Event()
        self.address = ""

    async def start(self) -> None:
        loop = asyncio.get_running_loop()
        server = await loop.create_server(web.Server(self._handle), "127.0.0.1", 0)
        self.address = f"127.0.0.1:{server.sockets[0].getsockname()[1]}"

    def write(self, table: str, key: str, fields: dict | None) -> None:
        """
        Write or remove a row as the operator or an engine does.

        One that is written again as it was does not change.
        """
        value = None if fields is None else json.dumps(fields).encode()
        row = self.rows.get((table, "", key))
        if value is not None and row and base64.b64decode(row["value"]) == value:
            return
        self.version += 1
        self._put({"table": table, "part": "", "key": key}, value)
        self._wake()

    def _put(self, entry: dict, value: bytes | None) -> None:
        key = entry["table"], entry.get("part", ""), entry["key"]
        row = {"table": key[0], "part": key[1], "key": key[2], "ver": self.version}
        if value is None:
            if self.rows.pop(key, None) is None:
                return
            row["tombstone"] = True
        else:
            row["value"] = base64.b64encode(value).decode()
            self.rows[key] = row
        self.history.append(row)

    def _wake(self) -> None:
        self._changed.set()
        self._changed = asyncio.Event()

    async def _handle(self, request: web.BaseRequest) -> web.StreamResponse:
        body = await request.content.read()
        call = request.path.split("/")[1]
        await asyncio.sleep(0.025 if call.startswith("blob") else 0.004)
        if call == "rows-tx":
            return self._transact(json.loads(body))
        if call == "rows-get":
            return self._read(request.query)
        if call == "rows-feed":
            return await self._feed(request.query)
        if call == "rows-parts":
            table = request.query["table"]
            parts = sorted({p for t, p, _ in self.rows if t == table})
            parts = [part for part in parts if part > request.query.get("after", "")]
            return self._rows_answer(parts=parts[:1000], hasMore=len(parts) > 1000)
        if call == "blob-list":
            prefix, after = request.query["prefix"], request.query.get("after", "")
            names = [n for n in sorted(self.objects) if n.startswith(prefix)]
            names = [name for name in names if name > after]
            return web.json_response(
                {"names": names[:1000], "hasMore": len(names) > 1000}
            )
        name = request.path.split("/", 2)[2]
        if call == "blob-put":
            if name in self.objects:
                return web.Response(status=412)
            self.objects[name] = body
            return web.Response(status=200)
        if call == "blob-get":
            found = self.objects.get(name)
            return web.Response(status=404 if found is None else 200, body=found)
        if call == "blob-drop":
            self.objects.pop(name, None)
            return web.Response(status=200)
        return web.Response(status=404)

    def _transact(self, fields: dict) -> web.Response:
        entries = [
            entry
            for kind in ("expectedRev", "setKeys", "remove")
            for entry in fields.get(kind, ())
        ]
        if len({entry.get("part", "") for entry in entries}) > 1 or len(entries) > 100:
            return web.Response(status=400)
        written = [*fields.get("setKeys", ()), *fields.get("remove", ())]
        if any(entry["table"] in ("op", "servers") for entry in written):
            return web.Response(status=403)
        sizes = [len(entry["value"]) for entry in fields.get("setKeys", ())]
        if any(size > ROW_BYTES * 4 / 3 for size in sizes):
            return web.Response(status=400)
        if sum(sizes) > MAX_TRANSACTION_BYTES:
            return web.Response(status=400)
        checks = fields.get("expectedRev", ())
        keys = [(c["table"], c.get("part", ""), c["key"]) for c in checks]
        found = [self.rows.get(key) for key in keys]
        if any(
            (row["ver"] if row else 0) != check["ver"]
            for row, check in zip(found, checks, strict=True)
        ):
            rows = [row for row in found if row]
            return self._rows_answer(412, rows=rows)
        self.version += 1
        for entry in fields.get("setKeys", ()):
            self._put(entry, base64.b64decode(entry["value"]))
        for entry in fields.get("remove", ()):
            self._put(entry, None)
        self._wake()
        return self._rows_answer()

    def _read(self, query) -> web.Response:
        low, high = query.get("from", ""), query.get("to", "")
        rows = [
            row
            for (table, part, key), row in sorted(self.rows.items())
            if (table, part) == (query["table"], query.get("part", ""))
            and key >= low
            and (not high or key < high)
        ]
        limit = min(500, int(query.get("limit", 500)))
        return self._rows_answer(rows=rows[:limit], hasMore=len(rows) > limit)

    def _rows_answer(self, status: int = 200, **fields) -> web.Response:
        now_ms = int(time.monotonic() * 1000)
        stated = {"ver": self.version, "nowMs": now_ms}
        return web.json_response(fields | stated, status=status)

    async def _feed(self, query) -> web.Response:
        after, table = int(query["after"]), query["table"]
        until_s = time.monotonic() + int(query["waitMs"]) / 1000
        while True:
            rows = [r for r in self.history if r["ver"] > after and r["table"] == table]
            remaining_s = until_s - time.monotonic()
            if rows or remaining_s <= 0:
                return self._rows_answer(rows=rows)
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(remaining_s):
                    await self._changed.wait()


class Engine:
    """
    One model engine; each start has a new id and keeps the address.

    A request whose body begins with ``killer`` crashes the engine at its first
    token: all connections are reset, and it is back after ``ENGINE_DOWN_S``.
    """

    def __init__(self, store: Store, record: Record, zone: str, service: str) -> None:
        self.store, self.record, self.zone, self.service = store, record, zone, service
        self.id = ""
        self.down = True
        self.port = 0
        self.crashes_s: list[float] = []
        self.back_s = 0.0  # when it was back after its last crash
        self.arrivals: list[dict] = []  # of this engine, through all its starts
        self.running: dict[str, float] = {}
        self.waiting = 0
        self._slots = asyncio.Semaphore(SLOTS)
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()
        self._tasks: set[asyncio.Task] = set()
        self._returning: asyncio.Task | None = None

    async def start(self) -> None:
        self.id = f"i-{random.randbytes(4).hex()}"
        self._slots = asyncio.Semaphore(SLOTS)
        self.running, self.waiting = {}, 0
        self._server = await self._listen()
        self.port = self._server.sockets[0].getsockname()[1]
        self.down = False
        self.back_s = self.record.now_s() if self.crashes_s else 0.0
        self.store.write(
            "servers",
            self.id,
            {
                "service": self.service,
                "addr": f"127.0.0.1:{self.port}",
                "zone": self.zone,
                "version": "v1",
                "slots": SLOTS,
                "state": "ready",
                "coldLeftMs": 0,
                "stage": "both",
                "models": [{"name": "m", "version": 1, "adapters": []}],
                "seq": 1,
                "born": int(time.time() * 1000),
            },
        )
        self.record.add("engine starts", engine=self.id, port=self.port)

    async def _listen(self) -> asyncio.Server:
        """Listen at the address as before, or at a new one if it is taken."""
        limit = 8 * 1024 * 1024
        try:
            return await asyncio.start_server(
                self._serve, "127.0.0.1", self.port, limit=limit
            )
        except OSError:
            return await asyncio.start_server(self._serve, "127.0.0.1", 0, limit=limit)

    def crash(self, cause: str) -> None:
        if self.down:
            return
        self.down = True
        self.crashes_s.append(self.record.now_s())
        self.record.add("engine crashes", engine=self.id, cause=cause)
        assert self._server is not None
        self._server.close()
        for writer in list(self._writers):
            sock = writer.get_extra_info("socket")
            if sock is not None:
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET)
            writer.transport.abort()
        for task in list(self._tasks):
            task.cancel()
        self._returning = asyncio.create_task(self._come_back(self.id))

    async def _come_back(self, old_id: str) -> None:
        crashed_s = time.monotonic()
        await asyncio.sleep(ENGINE_DOWN_S)
        await self.start()
        await asyncio.sleep(crashed_s + ENTRY_LIFETIME_S - time.monotonic())
        self.store.write("servers", old_id, None)
        self.record.add("entry lapses", engine=old_id)

    async def _serve(self, reader, writer) -> None:
        task = asyncio.current_task()
        assert task is not None
        self._tasks.add(task)
        self._writers.add(writer)
        try:
            while await self._serve_one(reader, writer):
                pass
        except (
            ConnectionError,
            TimeoutError,
            asyncio.IncompleteReadError,
            asyncio.CancelledError,
        ):
            pass
        finally:
            self._writers.discard(writer)
            self._tasks.discard(task)
            writer.transport.abort()

    async def _serve_one(self, reader, writer) -> bool:
        async with asyncio.timeout(IDLE_S):
            head = await reader.readuntil(b"\r\n\r\n")
        lines = head.decode("latin-1").split("\r\n")
        method, target, _ = lines[0].split(" ")
        headers = {}
        for line in lines[1:]:
            name, _, value = line.partition(":")
            headers[name.strip().lower()] = value.strip()
        body = await reader.readexactly(int(headers.get("content-length", 0)))
        request_id = headers.get("x-aspenbridge-attempt-id", "")
        base = {
            "X-Aspenbridge-Attempt-Id": request_id,
            "Keep-Alive": f"timeout={IDLE_S}",
        }
        if method == "GET" and target in ("/healthz", "/report"):
            return self._tell(writer, target, base)
        expected = headers.get("x-aspenbridge-expect-instance", self.id)
        if expected != self.id:
            self.record.add("engine answers 421", engine=self.id, id=request_id)
            rejected = {
                "X-Aspenbridge-Not-Executed": "1",
                "X-Aspenbridge-Instance-Id": self.id,
            }
            return self._answer(writer, 421, base | rejected)
        arrival = {
            "at_s": self.record.now_s(),
            "engine": self.id,
            "id": request_id,
            "body": body,
            "target": target,
            "resume": headers.get("last-event-id"),
            "ran": False,
            "end": "open",
        }
        self.arrivals.append(arrival)
        if self.waiting >= QUEUE:
            arrival["end"], arrival["ended_s"] = "refused", self.record.now_s()
            self.record.add("engine refuses", engine=self.id, id=request_id)
            return self._answer(writer, 503, base | {"X-Aspenbridge-Not-Executed": "1"})
        self.waiting += 1
        gone = asyncio.ensure_future(reader.read(1))
        queued = True
        try:
            async with self._slots:
                self.waiting -= 1
                queued = False
                return await self._run(writer, headers, arrival, base, gone)
        finally:
            self.waiting -= queued and not self.down
            gone.cancel()
            await asyncio.wait([gone])
            if arrival["end"] == "open":
                arrival["end"] = "broken"
            arrival["ended_s"] = self.record.now_s()

    def _tell(self, writer, target: str, base: dict) -> bool:
        """Answer a question about the engine itself."""
        if target == "/healthz":
            health = {"X-Aspenbridge-Instance-Id": self.id}
            return self._answer(writer, 200, base | health)
        report = {
            "stage": "both",
            "models": [{"name": "m", "version": 1, "adapters": []}],
            "busy": False,
            "seq": 0,
            "queued": self.waiting,
            "active": len(self.running),
            "kvUsed": 0,
            "kvTotal": 147261,
            "handles": 0,
        }
        answer = json.dumps(report).encode()
        json_type = {"Content-Type": "application/json"}
        return self._answer(writer, 200, base | json_type, answer)

    def _answer(self, writer, status: int, headers: dict, body: bytes = b"") -> bool:
        lines = [f"HTTP/1.1 {status} X"]
        lines += [f"{n}: {v}" for n, v in headers.items()]
        lines += [f"Content-Length: {len(body)}", "", ""]
        writer.write("\r\n".join(lines).encode() + body)
        return True

    async def _run(self, writer, headers, arrival, base, gone) -> bool:
        request_id = arrival["id"]
        await asyncio.sleep(0.03)
        if gone.done():  # an engine drops a request whose caller has left
            arrival["end"] = "left"
            return False
        deadline_ms = float(headers.get("x-aspenbridge-deadline-ms", "inf"))
        until_s = arrival["at_s"] + deadline_ms / 1000
        if self.record.now_s() >= until_s:
            arrival["end"] = "refused"
            return self._answer(writer, 503, base | {"X-Aspenbridge-Not-Executed": "1"})
        arrival["ran"] = True
        self.running[request_id] = time.monotonic()
        self.record.add(
            "engine runs",
            engine=self.id,
            id=request_id,
            resume=arrival["resume"],
            killer=arrival["body"][:6] == b"killer",
        )
        try:
            if arrival["body"].startswith(b"killer"):
                self.crash(request_id)
                await asyncio.sleep(1)
            count = int(headers["x-aspenbridge-token-count"].split(",")[1])
            first = int(arrival["resume"] or 0) + 1
            head = base | {
                "X-Aspenbridge-Server-Stamp": f"s.{request_id}",
                "X-Aspenbridge-Weight-Versions": "1",
                "Content-Type": "text/event-stream",
                "Transfer-Encoding": "chunked",
            }
            lines = ["HTTP/1.1 200 OK", *(f"{n}: {v}" for n, v in head.items()), "", ""]
            writer.write("\r\n".join(lines).encode())
            for number in range(first, count + 1):
                if gone.done() or self.record.now_s() >= until_s:
                    arrival["end"] = "left"  # or its time is up
                    return False
                event = f"id: {number}\ndata: {request_id}.{number}\n\n".encode()
                writer.write(b"%x\r\n%b\r\n" % (len(event), event))
                await writer.drain()
                await asyncio.sleep(EVENT_S)
            writer.write(b"0\r\n\r\n")
            await writer.drain()
            arrival["end"] = "whole"
            self.record.add("engine ends", engine=self.id, id=request_id)
            return not gone.done()
        finally:
            self.running.pop(request_id, None)


def expected_text(item_id: str, count: int) -> str:
    return "\n".join(f"{item_id}.{number}" for number in range(1, count + 1))


def free_ports(ip: str, count: int) -> list[int]:
    with contextlib.ExitStack() as stack:
        socks = [stack.enter_context(socket.socket()) for _ in range(count)]
        for sock in socks:
            sock.bind((ip, 0))
        return [sock.getsockname()[1] for sock in socks]


class Host:
    """An entry host, a process of its own."""

    def __init__(self, rig: Rig, number: int, zone: str) -> None:
        self.rig, self.zone = rig, zone
        pid = os.getpid()
        self.ip = f"127.{64 + pid % 128}.{pid // 128 % 256}.{number + 1}"
        self.name = f"edge-{zone}-{number}"
        self.callers, self.ready_port, self.peers = free_ports(self.ip, 3)
        self.path = rig.folder / f"{self.name}.toml"
        self.log = (rig.folder / f"{self.name}.log").open("a")
        self.process: subprocess.Popen | None = None
        self.misses = 2
        self.restart_after_s = 0.5
        self.started_s = 0.0
        self.ends = 0  # of its process, killed or not

    def write_settings(self) -> None:
        zones = "\n".join(f'{zone} = "{region}"' for zone, region in ZONES.items())
        self.path.write_text(f"""\
nodeName = "{self.name}"
role = "entry"
machineClass = "edge"
serves = ["edge"]
ip = "{self.ip}"
zone = "{self.zone}"
region = "{ZONES[self.zone]}"
portRange = [{self.peers},{self.peers}]
seeds = []
bootstrap = true
discovery = "platform"
entry = "vip"
heartbeatMs = 1200
contracts = ["base","drain","config","cost","recover","batch","stream","engine","platform"]
faultCounted = false
[zones]
{zones}
[listen]
frontend = "{self.ip}:{self.callers}"
ready = "{self.ip}:{self.ready_port}"
[limits]
cpuQuota = 0.717
cpus = 3
memoryMb = 330
maxFds = 8200
linkMbps = 1000.0
diskMb = 0
[faultTolerance]
machines = 1
zones = 0
regions = 0
[bounds]
{BOUNDS}
[platform]
addr = "{self.rig.store.address}"
form = "table"
writesPerS = 800
readsPerS = 2000
txMs = 5.0
partWritesS = 200
rowBytes = 65536
across = false
historyS = 20
blobBytes = 8388608
blobMs = 25.0
blobMbS = 80.0
""")

    def start(self) -> None:
        system = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())
        keep = ("PATH", "HOME", "LANG")
        environment = {name: os.environ[name] for name in keep if name in os.environ}
        environment["PYTHONPATH"] = str(ROOT / "target" / "deps")
        environment["ASPENBRIDGE_BOOT"] = str(self.path)
        self.process = subprocess.Popen(
            system["roles"]["entry"]["run"].split(" "),
            cwd=ROOT,
            env=environment,
            stdin=subprocess.DEVNULL,
            stdout=self.log,
            stderr=self.log,
        )
        self.started_s = self.rig.record.now_s()
        self.rig.record.add("host starts", host=self.name, pid=self.process.pid)

    async def keep_running(self) -> None:
        """Start the process again a moment after it has ended."""
        while True:
            await asyncio.sleep(0.1)
            if self.process is None or self.process.poll() is None:
                continue
            self.rig.record.add(
                "host ended", host=self.name, code=self.process.returncode
            )
            self.process = None
            self.misses = 2
            self.ends += 1
            await asyncio.sleep(self.restart_after_s)
            self.start()

    def send_signal(self, number: int) -> None:
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(number)


class Rig:
    """A small deployment."""

    def __init__(self, folder: Path, hosts_per_zone: int, engines: int) -> None:
        self.record = Record(folder / "record.txt")
        self.folder = Path(tempfile.mkdtemp(prefix="review-"))
        self.store = Store()
        self.hosts_per_zone, self.engine_count = hosts_per_zone, engines
        self.hosts: list[Host] = []
        self.engines: list[Engine] = []
        self.session: aiohttp.ClientSession | None = None
        self._background: list[asyncio.Task] = []

    async def __aenter__(self) -> Rig:
        try:
            await self._start()
        except BaseException:
            await self.__aexit__()
            raise
        return self

    async def _start(self) -> None:
        self.session = aiohttp.ClientSession(
            connector=aiohttp.TCPConnector(limit=0, force_close=True)
        )
        await self.store.start()
        zones = list(ZONES)
        for number in range(self.engine_count):
            engine = Engine(self.store, self.record, zones[number % 3], "pool")
            self.engines.append(engine)
            await engine.start()
        for number in range(3 * self.hosts_per_zone):
            host = Host(self, number, zones[number % 3])
            host.write_settings()
            host.start()
            self.hosts.append(host)
            self._background.append(asyncio.create_task(host.keep_running()))
        self._background.append(asyncio.create_task(self._balance()))

    async def __aexit__(self, *error) -> None:
        for task in self._background:
            task.cancel()
        await asyncio.gather(*self._background, return_exceptions=True)
        if self.session is not None:
            await self.session.close()
        for host in self.hosts:
            host.send_signal(signal.SIGCONT)
            host.send_signal(signal.SIGKILL)
        for host in self.hosts:
            if host.process is not None:
                host.process.wait()
            host.log.close()
        shutil.rmtree(self.folder, ignore_errors=True)

    async def _balance(self) -> None:
        """Ask each host each second whether it is ready."""
        while True:
            await asyncio.gather(*(self._probe(host) for host in self.hosts))
            await asyncio.sleep(1.0)

    async def _probe(self, host: Host) -> None:
        try:
            async with asyncio.timeout(0.9):
                url = f"http://{host.ip}:{host.ready_port}/readyz"
                async with self.session.get(url) as answer:
                    ready = answer.status == 200
        except (aiohttp.ClientError, TimeoutError, OSError):
            ready = False
        host.misses = 0 if ready else host.misses + 1

    def ready_hosts(self) -> list[Host]:
        return [host for host in self.hosts if host.misses < 2] or self.hosts

    async def all_ready(self, limit_s: float = 20.0) -> None:
        async with asyncio.timeout(limit_s):
            while any(host.misses for host in self.hosts):
                await asyncio.sleep(0.1)

    @property
    def crashes_s(self) -> list[float]:
        """When engines crashed, in order."""
        return sorted(at_s for engine in self.engines for at_s in engine.crashes_s)

    def check_hosts(self, ends: int = 0) -> None:
        """
        Check that no host has ended but those that the case has killed.

        :param ends: how often each host was killed.
        """
        ended = {host.name: host.ends for host in self.hosts if host.ends != ends}
        if ended:
            raise CouldNotRunError(f"hosts have ended: {ended}")

    async def call(
        self,
        method: str,
        path: str,
        virtual_host: str,
        *,
        request_id: str = "",
        body: bytes | None = None,
        headers: dict | None = None,
        limit_s: float = 5.0,
        host: Host | None = None,
    ) -> tuple[int, bytes]:
        """Make one call at a host; status 0 when no whole answer came."""
        host = host or random.choice(self.ready_hosts())
        sent = {"Host": virtual_host} | (headers or {})
        if request_id:
            sent["X-Aspenbridge-Attempt-Id"] = request_id
        begun_s, status, answer = self.record.now_s(), 0, b""
        try:
            async with asyncio.timeout(limit_s):
                async with self.session.request(
                    method,
                    f"http://{host.ip}:{host.callers}{path}",
                    data=body,
                    headers=sent,
                ) as response:
                    answer = await response.read()
                    status = response.status
        except (aiohttp.ClientError, TimeoutError, OSError) as error:
            answer = repr(error).encode()[:100]
        self.record.add(
            "call",
            method=method,
            path=path.partition("?")[0],
            id=request_id,
            host=host.name,
            sent_s=f"{begun_s:.3f}",
            status=status,
            answer=answer[:160] if status != 200 else f"{len(answer)} bytes",
        )
        return status, answer


def batch_route(name: str, host: str, prefix: str, **changes) -> dict:
    return {
        "name": name,
        "host": host,
        "prefix": prefix,
        "routeKind": "batch",
        "service": "pool",
        "timeoutMs": 15000,
        "latencyGoalMs": 500,
        "gapTargetMs": 300,
        "completionTargetMs": 18000,
        "maxAttempts": 3,
        "retainS": 60,
        "priority": 2,
        "resumable": True,
        "sticky": True,
    } | changes


def stream_route(name: str, host: str, prefix: str, **changes) -> dict:
    return {
        "name": name,
        "host": host,
        "prefix": prefix,
        "routeKind": "streaming",
        "service": "pool",
        "timeoutMs": 5000,
        "latencyGoalMs": 300,
        "gapTargetMs": 300,
        "maxAttempts": 2,
        "priority": 0,
        "resumable": True,
        "sticky": True,
    } | changes


def configuration(version: int, routes: list[dict]) -> dict:
    return {
        "version": version,
        "routes": routes,
        "services": [{"name": "pool", "healthPath": "/healthz", "maxConns": 360}],
        "limits": LIMITS,
    }


class Job:
    """A batch job as its client knows it."""

    def __init__(self, rig: Rig, name: str, host: str, prefix: str) -> None:
        self.rig, self.name, self.host, self.prefix = rig, name, host, prefix
        self.id = f"{name}-{random.randbytes(6).hex()}"
        self.items: list[dict] = []
        self.texts: dict[str, str] = {}
        self.results: list[dict] = []
        self.accepted_s: float | None = None
        self.answers: list[int] = []

    def add_item(self, part: str, body: bytes, events: int) -> str:
        item_id = random.randbytes(8).hex()
        self.texts[item_id] = expected_text(item_id, events)
        self.items.append(
            {
                "id": item_id,
                "path": f"{self.prefix}3/{item_id[:4]}",
                "headers": {
                    "X-Aspenbridge-Model": "m",
                    "X-Aspenbridge-Token-Count": f"350,{events}",
                    "X-Aspenbridge-Prefix-Hash": f"{part}:100,{item_id}:250",
                },
                "body": base64.b64encode(body).decode(),
                "tokens": 350 + events,
            }
        )
        return item_id

    async def submit(self, tries: int = 4) -> bool:
        body = json.dumps({"requests": self.items}).encode()
        self.rig.record.add("job", id=self.id, items=[i["id"] for i in self.items])
        host: Host | None = None
        for _ in range(tries):
            others = [h for h in self.rig.ready_hosts() if h is not host]
            host = random.choice(others)
            status, _ = await self.rig.call(
                "POST",
                f"{self.prefix}{self.id[:6]}",
                self.host,
                request_id=self.id,
                body=body,
                headers={
                    "Content-Type": "application/json",
                    "X-Aspenbridge-Deadline-Ms": "4000",
                },
                limit_s=4.0,
                host=host,
            )
            self.answers.append(status)
            if status == 202:
                self.accepted_s = self.rig.record.now_s()
                return True
            await asyncio.sleep(0.3)
        return False

    async def read(self) -> None:
        """Read results twice a second until all are there."""
        while len(self.results) < len(self.items):
            status, answer = await self.rig.call(
                "GET",
                f"/lots/{self.id}?after={len(self.results)}",
                self.host,
                headers={"X-Aspenbridge-Wait-Ms": "1000"},
                limit_s=2.5,
            )
            if status == 200:
                page = json.loads(answer)
                for result in page["results"]:
                    self.rig.record.add(
                        "result",
                        job=self.id,
                        item=result["id"],
                        state=result["state"],
                        whole=result["text"] == self.texts.get(result["id"]),
                    )
                self.results += page["results"]
            await asyncio.sleep(0.5)

    def listed(self) -> set[str]:
        return {result["id"] for result in self.results}


def lost_items(rig: Rig, jobs: list[Job]) -> tuple[list[str], dict[str, object]]:
    """
    Return the items that the rule LOST counts now, and what decided it.

    The jobs are open, and ``finishS`` is over. Not counted are items of jobs of
    which an engine had an unlisted item in the last 5 s, and items that failed
    at an engine in the last 20 s. None counts if these 5 s were not calm, if
    an engine was half full in them, or if an item of any job was finished in
    the last 3 s.
    """
    now_s = rig.record.now_s()
    since_s = now_s - CALM_S
    arrivals = [a for engine in rig.engines for a in engine.arrivals]
    texts = {item for job in jobs for item in job.texts}

    def ended_s(arrival: dict) -> float:
        return arrival.get("ended_s", now_s)

    # Runs that their sender ends within a second count as neither.
    runs = [
        a
        for a in arrivals
        if a["end"] != "left" or ended_s(a) - a["at_s"] >= SHORT_RUN_S
    ]
    had = {a["id"] for a in runs if ended_s(a) >= since_s}
    failed = {
        a["id"]
        for a in runs
        if a["end"] in ("broken", "refused", "left") and ended_s(a) >= now_s - FAILED_S
    }
    finished = [
        a["id"]
        for a in arrivals
        if a["id"] in texts
        and a["end"] == "whole"
        and ended_s(a) >= now_s - UNFINISHED_S
    ]
    fullest = max(_most_at_once(e.arrivals, since_s, now_s) for e in rig.engines)
    calm = all(not e.down and e.back_s < since_s for e in rig.engines) and all(
        host.process is not None and host.started_s < since_s for host in rig.hosts
    )
    unlisted = {job.id: job.texts.keys() - job.listed() for job in jobs}
    lost = [
        item
        for items in unlisted.values()
        if not items & had
        for item in sorted(items - failed)
    ]
    details = {
        "unlisted": sum(map(len, unlisted.values())),
        "lost": len(lost),
        "never_at_an_engine": len(set(lost) - {a["id"] for a in arrivals}),
        "calm": calm,
        "fullest_engine": fullest,
        "finished_in_3_s": len(finished),
        "unlisted_had_in_5_s": sum(len(items & had) for items in unlisted.values()),
    }
    counts = calm and not finished and fullest < SLOTS / 2
    return (lost if counts else []), details


def _most_at_once(arrivals: list[dict], since_s: float, now_s: float) -> int:
    """Return how many requests an engine had at most since a time."""
    spans = [(a["at_s"], a.get("ended_s", now_s)) for a in arrivals]
    spans = [span for span in spans if span[1] >= since_s]
    times_s = [since_s, *(begin_s for begin_s, _ in spans if begin_s >= since_s)]
    return max(sum(b <= at_s <= e for b, e in spans) for at_s in times_s)
