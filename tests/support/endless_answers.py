"""A server on loopback that sends bytes without end to each caller."""

from __future__ import annotations

import asyncio
from contextlib import AsyncExitStack
from typing import Self

import attrs

from aspenbridge.loop import listening_socket

BLOCK_BYTES = 64 * 1024  # what a fast sender passes to the kernel at once
TRICKLE_INTERVAL_S = 0.1  # between two bytes of a slow sender


def head(
    content_type: str = "text/event-stream",
    framing: str = "Transfer-Encoding: chunked\r\n",
) -> bytes:
    """Return the head of an answer; ``ID`` stands for the request's id."""
    return (
        "HTTP/1.1 200 OK\r\nX-Aspenbridge-Attempt-Id: ID\r\n"
        f"X-Aspenbridge-Server-Stamp: s\r\nContent-Type: {content_type}\r\n"
        f"{framing}\r\n"
    ).encode()


@attrs.frozen
class Endless:
    """What is sent first, and what is repeated until the caller closes."""

    name: str
    first: bytes
    repeated: bytes

    def __str__(self) -> str:
        return self.name


WHOLE = "application/octet-stream"
HEADS = (
    Endless("line ends before the head", b"", b"\r\n"),
    Endless("garbage", b"", b"x"),
    Endless("status line", b"HTTP/1.1 200 ", b"O"),
    Endless("field name", b"HTTP/1.1 200 OK\r\n", b"X"),
    Endless("field value", b"HTTP/1.1 200 OK\r\nX: ", b"x"),
    Endless("spaces before a value", b"HTTP/1.1 200 OK\r\nX:", b" "),
    Endless("field lines", b"HTTP/1.1 200 OK\r\n", b"X: y\r\n"),
    Endless("interim answers", b"", b"HTTP/1.1 100 Continue\r\n\r\n"),
)
FRAMINGS = (
    Endless("chunk extension", head() + b"5;", b"x"),
    Endless("chunk size", head(), b"0"),
    Endless("spaces after a chunk size", head() + b"5", b" "),
    Endless("trailers", head() + b"0\r\n", b"X: y\r\n"),
    Endless("trailer line", head() + b"0\r\nX:", b" "),
    Endless("body in tiny chunks", head(WHOLE), b"1\r\nx\r\n"),
    Endless("event in tiny chunks", head(), b"1\r\nx\r\n"),
)
BODIES = (
    Endless("event", head(framing="") + b"id: 0\ndata: ", b"x"),
    Endless("comment lines", head(framing=""), b": c\n"),
    Endless("comment events", head(framing=""), b": c\n\n"),
    Endless("empty lines in a stream", head(framing=""), b"\n"),
    Endless("body that is not a stream", head(WHOLE, ""), b"x"),
)


class EndlessServer:
    """
    Sends one kind of endless answer on each connection.

    :ivar answers: what is sent, once the head of a request has been read. The
        path of the request ends with the number of its answer.
    :ivar slow: whether it is sent byte by byte at ``TRICKLE_INTERVAL_S``.
    :ivar sent_bytes: what the kernel took on all connections.
    :ivar open_connections: those on which bytes are still being sent.
    """

    def __init__(self, *answers: Endless, slow: bool = False) -> None:
        self.answers = answers
        self.slow = slow
        self.sent_bytes = 0
        self.open_connections = 0
        self.port = 0
        self._stack = AsyncExitStack()

    async def __aenter__(self) -> Self:
        listener = self._stack.enter_context(listening_socket("127.0.0.1", 0))
        self.port = listener.getsockname()[1]
        accepting = asyncio.create_task(self._accept(listener))
        self._stack.push_async_callback(_stop, accepting)
        return self

    async def __aexit__(self, *error: object) -> None:
        await self._stack.aclose()

    async def _accept(self, listener) -> None:
        loop = asyncio.get_running_loop()
        async with asyncio.TaskGroup() as serving:
            while True:
                sock, _ = await loop.sock_accept(listener)
                serving.create_task(self._serve(sock))

    async def _serve(self, sock) -> None:
        loop = asyncio.get_running_loop()
        with sock:
            number, request_id = await _read_request(sock)
            answer = self.answers[number]
            first = answer.first.replace(b"ID", request_id, 1)
            self.open_connections += 1
            try:
                await loop.sock_sendall(sock, first)
                await self._repeat(sock, answer.repeated)
            except OSError:
                pass  # the caller has closed the connection, as expected
            finally:
                self.open_connections -= 1

    async def _repeat(self, sock, repeated: bytes) -> None:
        loop = asyncio.get_running_loop()
        if self.slow:
            while True:
                for number in range(len(repeated)):
                    await asyncio.sleep(TRICKLE_INTERVAL_S)
                    await loop.sock_sendall(sock, repeated[number : number + 1])
                    self.sent_bytes += 1
        block = repeated * (BLOCK_BYTES // len(repeated))
        while True:
            await loop.sock_sendall(sock, block)
            self.sent_bytes += len(block)


async def _read_request(sock) -> tuple[int, bytes]:
    """Read the head of a request; return the number in its path and its id."""
    loop, data = asyncio.get_running_loop(), b""
    while b"\r\n\r\n" not in data:
        data += await loop.sock_recv(sock, 65536)
    first_line, *fields = data.partition(b"\r\n\r\n")[0].split(b"\r\n")
    number = first_line.split()[1].rpartition(b"/")[2]
    values = dict(field.split(b": ", 1) for field in fields)
    request_id = values.get(b"X-Aspenbridge-Attempt-Id", b"")
    return int(number) if number.isdigit() else 0, request_id


async def _stop(task) -> None:
    task.cancel()
    await asyncio.gather(task, return_exceptions=True)
