"""
Stand-ins of the platform, engines and callers, and the processes of hosts.

All run on loopback addresses and the real clock. A case starts entry hosts
with the command of the deploy file and gives them settings as `DEPLOY.md` shows
them.
"""

from __future__ import annotations

import asyncio
import base64
import bisect
import contextlib
import json
import os
import signal
import socket
import sys
import tempfile
import time
import tomllib
from pathlib import Path

from aiohttp import web

REPOSITORY = Path(__file__).resolve().parents[2]
STORE_DELAY_S = 0.004
OBJECT_DELAY_S = 0.025
HISTORY_S = 20.0
HEARTBEAT_S = 1.2
MAX_RANGE_ROWS = 500
MAX_RANGE_BYTES = 1_000_000
RESTART_DELAY_S = 0.5
MAX_HEAD_BYTES = 32 * 1024
CASE_LIMIT_S = 115.0  # for one run of a case; its end takes a moment more
LIMITS = {
    "maxHeaderBytes": 16384,
    "maxBodyBytes": 4194304,
    "headerTimeoutMs": 5000,
    "idleTimeoutMs": 15000,
}
SETTINGS = """
nodeName = "{name}"
role = "entry"
machineClass = "edge"
serves = ["edge"]
ip = "{ip}"
zone = "{zone}"
region = "savo"
portRange = [{peers},{peers}]
seeds = []
bootstrap = true
faultCounted = false
discovery = "platform"
entry = "vip"
heartbeatMs = 1200
contracts = ["base","drain","config","cost","recover","batch","stream","engine","platform"]
[zones]
puijo = "savo"
[listen]
frontend = "{ip}:{callers}"
ready = "{ip}:{ready}"
[limits]
cpuQuota = 0.717
cpus = 3
memoryMb = {memory_mb}
maxFds = 8200
linkMbps = 1000.0
diskMb = 0
[faultTolerance]
machines = 1
zones = 0
regions = 0
[bounds]
seedLagS = 3
reuseAfterS = 2
contactMs = 4000
ackMs = 5000
catchUpS = 4.8
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
[platform]
addr = "{store}"
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
"""


class Record:
    """Writes what was sent, answered and run to `record.txt`."""

    def __init__(self, path: Path) -> None:
        self._file = path.open("w", encoding="utf-8")
        self._begun_s = time.monotonic()

    def write(self, text: str) -> None:
        """Add a line with the time since the start."""
        at_s = time.monotonic() - self._begun_s
        self._file.write(f"{at_s:8.3f} {text}\n")
        self._file.flush()

    def close(self) -> None:
        """Close the file."""
        self._file.close()


class Store:
    """The platform's metadata store: linearizable, and it loses nothing."""

    def __init__(self, record: Record) -> None:
        self._record = record
        self.rows: dict[tuple[str, str], dict[str, dict]] = {}
        self.objects: dict[str, bytes] = {}
        self.version = 0
        self._changes: list[dict] = []
        self._changed = asyncio.Event()
        self._history_from = 0
        self.address = ""

    async def start(self, stack: contextlib.AsyncExitStack) -> None:
        """Listen on a free port."""
        self.address = await serve(stack, self.handle)

    def write(self, table: str, key: str, fields: object) -> int:
        """Write a row as the operator or an engine does; None removes it."""
        value = None if fields is None else json.dumps(fields).encode()
        self.version += 1
        self._put({"table": table, "part": "", "key": key}, value)
        self._wake()
        return self.version

    def _put(self, key: dict, value: bytes | None) -> None:
        table, part, name = key["table"], key.get("part", ""), key["key"]
        rows = self.rows.setdefault((table, part), {})
        row = {"table": table, "part": part, "key": name, "ver": self.version}
        if value is None:
            if rows.pop(name, None) is None:
                return
            row["tombstone"] = True
        else:
            row["value"] = base64.b64encode(value).decode()
            rows[name] = row
        self._changes.append(row | {"at_s": time.monotonic()})
        oldest_s = time.monotonic() - HISTORY_S
        while self._changes and self._changes[0]["at_s"] < oldest_s:
            self._history_from = self._changes.pop(0)["ver"]

    def _wake(self) -> None:
        self._changed.set()
        self._changed = asyncio.Event()

    def row(self, table: str, part: str, key: str) -> dict | None:
        """Return a row, or None."""
        return self.rows.get((table, part), {}).get(key)

    async def handle(self, request: web.BaseRequest) -> web.StreamResponse:
        """Answer one call."""
        body = await request.content.read()
        call = request.path.split("/")[1]
        is_object = call.startswith("blob-")
        await asyncio.sleep(OBJECT_DELAY_S if is_object else STORE_DELAY_S)
        query = request.query
        if call == "rows-tx":
            return self._transact(json.loads(body))
        if call == "rows-get":
            return self._range(query)
        if call == "rows-feed":
            return await self._feed(query)
        if call == "rows-parts":
            parts = sorted(p for t, p in self.rows if t == query["table"])
            return web.json_response({"parts": parts, "hasMore": False})
        return self._object(call, request.path.split("/", 2)[2], body)

    def _transact(self, fields: dict) -> web.Response:
        found = []
        conflict = False
        for check in fields.get("expectedRev", ()):
            row = self.row(check["table"], check.get("part", ""), check["key"])
            conflict |= (row["ver"] if row else 0) != check["ver"]
            if row:
                found.append(row)
        if conflict:
            return web.json_response({"rows": found, "ver": self.version}, status=412)
        for entry in (*fields.get("setKeys", ()), *fields.get("remove", ())):
            if entry["table"] in ("op", "servers"):
                return web.Response(status=403)
        self.version += 1
        for entry in fields.get("setKeys", ()):
            self._put(entry, base64.b64decode(entry["value"]))
        for entry in fields.get("remove", ()):
            self._put(entry, None)
        self._wake()
        return web.json_response({"ver": self.version, "nowMs": now_ms()})

    def _range(self, query: dict) -> web.Response:
        rows = self.rows.get((query["table"], query.get("part", "")), {})
        low, high = query.get("from", ""), query.get("to", "")
        names = sorted(rows)
        chosen, size, more = [], 0, False
        for name in names[bisect.bisect_left(names, low) :]:
            if high and name >= high:
                break
            size += len(rows[name]["value"])
            if len(chosen) >= MAX_RANGE_ROWS or (chosen and size > MAX_RANGE_BYTES):
                more = True
                break
            chosen.append(rows[name])
        return web.json_response(
            {"rows": chosen, "hasMore": more, "ver": self.version, "nowMs": now_ms()}
        )

    async def _feed(self, query: dict) -> web.Response:
        after, until_s = int(query["after"]), time.monotonic()
        until_s += int(query["waitMs"]) / 1000
        while True:
            if after < self._history_from:
                return web.json_response({}, status=410)
            first = bisect.bisect_right(self._changes, after, key=lambda r: r["ver"])
            rows = [
                {name: value for name, value in row.items() if name != "at_s"}
                for row in self._changes[first:]
                if row["table"] == query["table"]
            ]
            remaining_s = until_s - time.monotonic()
            if rows or remaining_s <= 0:
                return web.json_response(
                    {"rows": rows, "ver": self.version, "nowMs": now_ms()}
                )
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(remaining_s):
                    await self._changed.wait()

    def _object(self, call: str, name: str, body: bytes) -> web.Response:
        if call == "blob-put":
            if name in self.objects:
                return web.Response(status=412)
            if sum(map(len, self.objects.values())) + len(body) > 400_000_000:
                return web.Response(status=507)
            self.objects[name] = body
            return web.Response(status=200)
        if call == "blob-get":
            found = self.objects.get(name)
            return web.Response(status=404 if found is None else 200, body=found)
        self.objects.pop(name, None)
        return web.Response(status=200)


class Host:
    """The process of one entry host, kept running as the platform does."""

    def __init__(
        self, number: int, store: str, folder: Path, record: Record, memory_mb: int
    ) -> None:
        self.name = f"edge-puijo-{number}"
        self.ip = f"127.0.{40 + os.getpid() % 200}.{number}"
        self._record = record
        self.memory_mb = memory_mb
        ports = free_ports(self.ip, 3)
        self.callers, self.ready, peers = ports
        self._settings = folder / f"{self.name}.toml"
        self._log = folder / f"{self.name}.log"
        self._settings.write_text(
            SETTINGS.format(
                name=self.name,
                ip=self.ip,
                zone="puijo",
                store=store,
                callers=self.callers,
                ready=self.ready,
                peers=peers,
                memory_mb=memory_mb,
            ),
            encoding="utf-8",
        )
        self.process: asyncio.subprocess.Process | None = None
        self.kept = True  # whether it is started again when it has ended
        self.peak_mb = 0.0
        self.over_limit = 0

    async def start(self) -> None:
        """Start the process with the command of the deploy file."""
        deploy = REPOSITORY / "deploy" / "system.toml"
        run = tomllib.loads(deploy.read_text(encoding="utf-8"))["roles"]["entry"]["run"]
        words = run.split()
        with self._log.open("ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                sys.executable if words[0] == "python3" else words[0],
                *words[1:],
                cwd=REPOSITORY,
                env={
                    "PATH": os.environ["PATH"],
                    "HOME": os.environ.get("HOME", "/"),
                    "PYTHONPATH": str(REPOSITORY / "target" / "deps"),
                    "ASPENBRIDGE_BOOT": str(self._settings),
                },
                stdin=asyncio.subprocess.DEVNULL,
                stdout=log,
                stderr=log,
            )
        self._record.write(f"{self.name} started")

    async def keep_running(self) -> None:
        """Start the process again whenever it has ended, until cancelled."""
        while True:
            assert self.process is not None
            code = await self.process.wait()
            self._record.write(f"{self.name} ended with {code}")
            await asyncio.sleep(RESTART_DELAY_S)
            while not self.kept:
                await asyncio.sleep(0.1)
            await self.start()

    async def watch_memory(self) -> None:
        """Kill the process when it exceeds its limit, until cancelled."""
        while True:
            used_mb = self.resident_mb()
            self.peak_mb = max(self.peak_mb, used_mb)
            if used_mb > self.memory_mb:
                self.over_limit += 1
                self._record.write(
                    f"{self.name} has {used_mb:.0f} MB, over its limit of "
                    f"{self.memory_mb} MB, and is killed"
                )
                self.send(signal.SIGKILL)
                await asyncio.sleep(RESTART_DELAY_S / 2)
            await asyncio.sleep(0.02)

    def resident_mb(self) -> float:
        """Return the memory that the process holds, in MB."""
        process = self.process
        if process is None or process.returncode is not None:
            return 0.0
        try:
            status = Path(f"/proc/{process.pid}/status").read_text()
        except OSError:
            return 0.0
        for line in status.splitlines():
            if line.startswith("RssAnon:"):
                return int(line.split()[1]) / 1024
        return 0.0

    def send(self, number: signal.Signals) -> None:
        """Send a signal to the process, if it runs."""
        process = self.process
        if process is not None and process.returncode is None:
            with contextlib.suppress(ProcessLookupError):
                process.send_signal(number)

    async def is_ready(self) -> bool:
        """Ask for readiness as the platform's balancer does."""
        try:
            status, _, _ = await call(
                f"{self.ip}:{self.ready}", "GET", "/readyz", timeout_s=1.0
            )
        except (OSError, TimeoutError, EOFError, ValueError):
            return False
        return status == 200


def http_server(handler) -> web.Server:
    """Return a server that takes heads up to `maxHeaderBytes` and more."""
    return web.Server(
        handler,
        access_log=None,
        keepalive_timeout=75.0,
        max_field_size=MAX_HEAD_BYTES,
        max_line_size=MAX_HEAD_BYTES,
    )


class Port:
    """An HTTP server on a port of 127.0.0.1 that can crash and come back."""

    def __init__(self, handler) -> None:
        self._server = http_server(handler)
        self._listener: asyncio.Server | None = None
        self._port = 0

    async def open(self) -> str:
        """Listen, on the same port as before; return the address."""
        loop = asyncio.get_running_loop()
        self._listener = await loop.create_server(
            self._server, "127.0.0.1", self._port, reuse_address=True
        )
        ip, self._port = self._listener.sockets[0].getsockname()[:2]
        return f"{ip}:{self._port}"

    def crash(self) -> None:
        """Refuse new connections and reset those that are open."""
        if self._listener is not None:
            self._listener.close()
            self._listener = None
        for connection in self._server.connections:
            if connection.transport is not None:
                connection.transport.abort()


async def serve(stack: contextlib.AsyncExitStack, handler) -> str:
    """Serve HTTP on a free port of 127.0.0.1; return the address."""
    server = http_server(handler)
    listener = await asyncio.get_running_loop().create_server(server, "127.0.0.1", 0)
    stack.callback(listener.close)
    ip, port = listener.sockets[0].getsockname()[:2]
    return f"{ip}:{port}"


def free_ports(ip: str, count: int) -> list[int]:
    """Return ports that are free for TCP and UDP on an address."""
    with contextlib.ExitStack() as stack:
        ports = []
        for _ in range(count):
            sock = stack.enter_context(socket.socket())
            sock.bind((ip, 0))
            ports.append(sock.getsockname()[1])
        return ports


def now_ms() -> int:
    """Return the store's steady clock."""
    return int(time.monotonic() * 1000)


async def call(
    address: str,
    method: str,
    target: str,
    *,
    headers: dict[str, str] | None = None,
    body: bytes = b"",
    timeout_s: float = 5.0,
) -> tuple[int, dict[str, str], bytes]:
    """
    Send one request on a new connection, as the callers of batch jobs do.

    :raises EOFError: when the connection ends before the answer does.
    """
    ip, port = address.split(":")
    async with asyncio.timeout(timeout_s):
        reader, writer = await asyncio.open_connection(ip, int(port))
        try:
            lines = [f"{method} {target} HTTP/1.1"]
            sent = {"Host": address} | (headers or {})
            if body:
                sent["Content-Length"] = str(len(body))
            lines += [f"{name}: {value}" for name, value in sent.items()]
            writer.write("\r\n".join(lines).encode() + b"\r\n\r\n" + body)
            await writer.drain()
            return await read_answer(reader)
        finally:
            writer.close()


async def read_answer(
    reader: asyncio.StreamReader,
) -> tuple[int, dict[str, str], bytes]:
    """Read one answer with a length or in chunks."""
    head = await reader.readuntil(b"\r\n\r\n")
    status_line, *lines = head.decode("latin-1").split("\r\n")
    status = int(status_line.split()[1])
    fields = dict(line.split(": ", 1) for line in lines if line)
    headers = {name.lower(): value for name, value in fields.items()}
    if headers.get("transfer-encoding") == "chunked":
        body = b""
        while size := int((await reader.readuntil(b"\r\n")).strip(), 16):
            body += (await reader.readexactly(size + 2))[:-2]
        await reader.readuntil(b"\r\n")
        return status, headers, body
    return status, headers, await reader.readexactly(
        int(headers.get("content-length", 0))
    )


def temporary_folder(stack: contextlib.AsyncExitStack) -> Path:
    """Return a folder that is removed at the end."""
    return Path(stack.enter_context(tempfile.TemporaryDirectory(prefix="review-")))


async def wait_ready(hosts: list[Host], limit_s: float = 20.0) -> None:
    """
    Wait until all hosts report that they are ready.

    :raises TimeoutError: when they don't in time.
    """
    async with asyncio.timeout(limit_s):
        while not all([await host.is_ready() for host in hosts]):
            await asyncio.sleep(0.1)


async def stop_tasks(tasks: list[asyncio.Task]) -> None:
    """Cancel tasks and wait for their ends."""
    for task in tasks:
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)


async def end_all(hosts: list[Host]) -> None:
    """Kill the processes of all hosts and wait for their ends."""
    for host in hosts:
        host.send(signal.SIGCONT)
        host.send(signal.SIGKILL)
    for host in hosts:
        if host.process is not None:
            await host.process.wait()
