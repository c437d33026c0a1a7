"""Crowds of callers that do not behave, and what a process holds for them."""

from __future__ import annotations

import asyncio
import json
import socket
from base64 import b64encode
from contextlib import asynccontextmanager, suppress
from itertools import count
from pathlib import Path
from typing import TYPE_CHECKING

import attrs

if TYPE_CHECKING:
    from collections.abc import AsyncIterator, Awaitable, Callable

Address = tuple[str, int]
BODY_BYTES = 4 * 1024 * 1024  # the most that the operator allows
PIECE_BYTES = 64 * 1024
PIECE_PAUSE_S = 0.01
BYTE_PAUSE_S = 0.02
RETRY_PAUSE_S = 0.05  # before a caller whose connection ended comes again
SAMPLE_INTERVAL_S = 0.02
SMALL_RECEIVE_BUFFER_BYTES = 4096
TRIES = 4  # of an ordinary caller, which retries a few times
NUMBERS = count()


@attrs.frozen
class Behaviour:
    """
    What a caller does on each of its connections.

    :ivar send: sends on a connected socket; the connection stays open.
    :ivar reads: whether the caller reads what it is sent.
    """

    name: str
    send: Callable[[socket.socket], Awaitable[None]]
    reads: bool = True

    def __str__(self) -> str:
        return self.name


def head(
    path: str, framing: str = "", method: str = "POST", host: str = "a.example"
) -> bytes:
    """Return a head with a new id; ``framing`` is a header line or empty."""
    return (
        f"{method} {path} HTTP/1.1\r\nHost: {host}\r\n"
        f"X-Aspenbridge-Attempt-Id: c{next(NUMBERS)}\r\n{framing}\r\n"
    ).encode()


def with_length(path: str, length: int = BODY_BYTES) -> bytes:
    return head(path, f"Content-Length: {length}\r\n")


def with_chunks(path: str) -> bytes:
    return head(path, "Transfer-Encoding: chunked\r\n")


def chunk(size: int) -> bytes:
    return b"%x\r\n" % size + b"x" * size + b"\r\n"


async def send_all(sock: socket.socket, data: bytes) -> None:
    await asyncio.get_running_loop().sock_sendall(sock, data)


async def send_paced(
    sock: socket.socket, data: bytes, piece_bytes: int, pause_s: float
) -> None:
    for start in range(0, len(data), piece_bytes):
        await send_all(sock, data[start : start + piece_bytes])
        await asyncio.sleep(pause_s)


async def send_without_end(sock: socket.socket, data: bytes) -> None:
    while True:
        await send_all(sock, data)
        await asyncio.sleep(0)


async def _misbehave(address: Address, behaviour: Behaviour) -> None:
    loop = asyncio.get_running_loop()
    while True:
        with socket.socket() as sock, suppress(OSError):
            sock.setblocking(False)
            if not behaviour.reads:
                sock.setsockopt(
                    socket.SOL_SOCKET, socket.SO_RCVBUF, SMALL_RECEIVE_BUFFER_BYTES
                )
            await loop.sock_connect(sock, address)
            await behaviour.send(sock)
            while behaviour.reads and await loop.sock_recv(sock, PIECE_BYTES):
                pass
            if not behaviour.reads:
                await _wait_reset(sock)
        await asyncio.sleep(RETRY_PAUSE_S)


async def _wait_reset(sock: socket.socket) -> None:
    """Wait until a connection is reset, without reading from it."""
    while not sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR):
        await asyncio.sleep(RETRY_PAUSE_S)


@asynccontextmanager
async def crowd(
    address: Address, behaviour: Behaviour, callers: int
) -> AsyncIterator[None]:
    """Run callers that come again whenever their connections end."""
    tasks = [
        asyncio.create_task(_misbehave(address, behaviour)) for _ in range(callers)
    ]
    try:
        yield
        for task in tasks:
            assert not task.done(), task.exception()
    finally:
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)


class Watch:
    """Notes the most descriptors that a process has open, while entered."""

    def __init__(self, pid: int) -> None:
        self._pid = pid
        self.most_descriptors = 0
        self._task: asyncio.Task[None] | None = None

    async def __aenter__(self) -> Watch:
        self._task = asyncio.create_task(self._run())
        return self

    async def __aexit__(self, *error: object) -> None:
        assert self._task is not None
        self._task.cancel()
        await asyncio.wait({self._task})

    async def _run(self) -> None:
        while True:
            with suppress(OSError):  # the process has ended
                opened = len(list(Path(f"/proc/{self._pid}/fd").iterdir()))
                self.most_descriptors = max(self.most_descriptors, opened)
            await asyncio.sleep(SAMPLE_INTERVAL_S)

    @property
    def peak_memory_mb(self) -> float:
        """The largest resident size so far, in millions of bytes."""
        for line in Path(f"/proc/{self._pid}/status").read_text().splitlines():
            if line.startswith("VmHWM:"):
                return int(line.split()[1]) * 1024 / 1e6
        raise AssertionError("the process has no resident size; it has ended")


def job_body(path: str, items: int, item_bytes: int) -> bytes:
    """Return a batch job whose items go to a path."""
    body = b64encode(b"x" * item_bytes).decode()
    requests = [
        {"id": f"i{number}", "path": path, "body": body, "tokens": 1}
        for number in range(items)
    ]
    return json.dumps({"requests": requests}).encode()


async def send_ordinary(address: Address, request: Callable[[], bytes]) -> int:
    """
    Return the status that an ordinary caller gets in the end; 0 for none.

    It retries a few times, on a new connection each, when its connection ends
    without an answer or it is told that its request has not run.

    :param request: returns the request, with a new id for each try.
    """
    status = 0
    for _ in range(TRIES):
        status, retry_after_s = await _send_once(address, request())
        if status not in (0, 408, 429, 503):
            break
        await asyncio.sleep(retry_after_s)
    return status


async def _send_once(address: Address, request: bytes) -> tuple[int, float]:
    """Send a request; return its status, once its answer is whole."""
    retry_after_s = RETRY_PAUSE_S
    request = request.replace(b"\r\n", b"\r\nConnection: close\r\n", 1)
    try:
        reader, writer = await asyncio.open_connection(*address)
    except OSError:
        return 0, retry_after_s
    try:
        writer.write(request)
        status_line = await reader.readline()
        while (line := await reader.readline()) not in (b"\r\n", b""):
            name, _, value = line.partition(b":")
            if name.lower() == b"retry-after":
                retry_after_s = float(value)
        status = int(status_line.split()[1]) if status_line else 0
        await reader.read()
    except OSError:
        return 0, retry_after_s
    finally:
        writer.close()
    return status, retry_after_s
