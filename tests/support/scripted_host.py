"""A host with its HTTP servers before a scripted engine, and raw callers."""

from __future__ import annotations

import asyncio
import socket
from contextlib import AsyncExitStack
from typing import NamedTuple, Self

from aspenbridge.clock import SystemClock
from aspenbridge.entry import Address
from aspenbridge.fleet import CallKind
from aspenbridge.platform._connections import open_engine_session
from aspenbridge.platform._engine_calls import HttpEngineCaller
from aspenbridge.platform._ingress import Ingress
from tests.support.engine_scripts import ScriptedEngine
from tests.support.entry_fleet import (
    EntryFleet,
    make_configuration,
    make_engine,
    make_route,
)
from tests.support.processes import own_ip

BUDGET_MS = 1500  # of a request; longer than a host waits for the next event
ENGINES = 3
SLOTS = 1000  # all cases of a test run at once


class Reply(NamedTuple):
    """What a caller received, and whether it looks complete to it."""

    status: int
    body: bytes
    complete: bool
    headers: dict[str, str]


class HostUnderTest:
    """
    A host with its HTTP servers before a scripted engine.

    The engine is registered several times, under ids made of the name of its
    service and a number.

    :param services: the number of engines of each service.
    :param routes: those of the first configuration; None for three usual ones.
    """

    def __init__(self, services=None, routes=None) -> None:
        self._services = services or {"llm": ENGINES}
        self._routes = routes or (
            make_route(),
            make_route("once", resumable=False, max_attempts=1),
            make_route("batch", kind=CallKind.BATCH),
        )
        self._stack = AsyncExitStack()
        self._number = 0

    async def __aenter__(self) -> Self:
        clock = SystemClock()
        self.engine = await self._stack.enter_async_context(ScriptedEngine())
        session = await self._stack.enter_async_context(open_engine_session())
        self.fleet = EntryFleet(clock, hosts=1, engines=0)
        self.fleet.engines = HttpEngineCaller(session, clock)
        self.fleet.entries = {
            f"{service}-{n}": make_engine(
                f"{service}-{n}",
                service=service,
                ip="127.0.0.1",
                port=self.engine.port,
                slots=SLOTS,
            )
            for service, engines in self._services.items()
            for n in range(engines)
        }
        self.fleet.configurations[b"1"] = make_configuration(1, self._routes)
        await self._stack.enter_async_context(self.fleet)
        addresses = [free_address() for _ in range(3)]
        self.callers = addresses[0]
        self.host = self.fleet.hosts["h0"]
        self.ingress = await self._stack.enter_async_context(
            Ingress(self.host, *addresses)
        )
        return self

    async def __aexit__(self, *error: object) -> None:
        await self._stack.aclose()

    async def connect(self) -> socket.socket:
        sock = socket.socket()
        sock.setblocking(False)
        loop = asyncio.get_running_loop()
        await loop.sock_connect(sock, (self.callers.ip, self.callers.port))
        return sock

    def add_script(self, answers) -> str:
        """Have the engine give these answers to a request; return its id."""
        self._number += 1
        request_id = f"r{self._number}"
        self.engine.scripts[request_id] = list(answers)
        return request_id

    async def send(
        self, sock, path, answers, *, version="1.1", headers=(), body=b"q"
    ) -> str:
        """Send a request whose script is given; return its id."""
        request_id = self.add_script(answers)
        lines = [
            f"POST /{path}/{request_id} HTTP/{version}",
            "Host: a.example",
            f"X-Aspenbridge-Attempt-Id: {request_id}",
            f"X-Aspenbridge-Deadline-Ms: {BUDGET_MS}",
            f"Content-Length: {len(body)}",
            *headers,
        ]
        data = "\r\n".join([*lines, "", ""]).encode() + body
        await asyncio.get_running_loop().sock_sendall(sock, data)
        return request_id

    async def call(self, path, answers, **options) -> Reply:
        """Send one request on a connection of its own; return the reply."""
        with await self.connect() as sock:
            await self.send(sock, path, answers, **options)
            return await read_reply(sock)


def free_address() -> Address:
    with socket.socket() as sock:
        sock.bind((own_ip(), 0))
        return Address(*sock.getsockname())


async def read_reply(sock) -> Reply:
    """Read one reply; it ends where its framing or the connection ends."""
    loop = asyncio.get_running_loop()
    data, closed, reset = b"", False, False
    while not closed and not (reply := parse_reply(data, ended=False)):
        try:
            received = await loop.sock_recv(sock, 65536)
        except ConnectionResetError:
            reset, received = True, b""
        closed = not received
        data += received
    if closed:
        reply = parse_reply(data, ended=not reset)
    return reply or Reply(0, data, complete=False, headers={})


def parse_reply(data: bytes, *, ended: bool) -> Reply | None:
    """
    Return the reply, or None while it is incomplete.

    :param ended: whether the connection has ended in an orderly way.
    """
    head, found, body = data.partition(b"\r\n\r\n")
    if not found:
        return None
    lines = head.decode().split("\r\n")
    status = int(lines[0].split()[1])
    fields = dict(line.split(": ", 1) for line in lines[1:])
    if "Content-Length" in fields:
        length = int(fields["Content-Length"])
        return (
            Reply(status, body[:length], True, fields) if len(body) >= length else None
        )
    if fields.get("Transfer-Encoding") != "chunked":
        return Reply(status, body, True, fields) if ended else None
    parts, at = [], 0
    while (line_end := body.find(b"\r\n", at)) >= 0:
        length = int(body[at:line_end] or b"0", 16)
        begin, at = line_end + 2, line_end + 2 + length + 2
        if len(body) < at:
            return None
        if length == 0:
            return Reply(status, b"".join(parts), True, fields)
        parts.append(body[begin : begin + length])
    return None
