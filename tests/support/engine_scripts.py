"""An engine on loopback whose answers, and how they end, are scripted."""

from __future__ import annotations

import asyncio
import socket
import struct
from contextlib import AsyncExitStack, suppress
from enum import Enum
from typing import Self

import attrs

from aspenbridge.loop import listening_socket

LINGER_ON_ZERO_S = struct.pack("ii", 1, 0)  # closing the socket resets the connection
HEAD_PART_BYTES = 20  # of a head in which the engine falls silent
LAST_BYTES = 40  # of an answer; the engine sends them in one piece
READ_DELAY_S = 0.05  # in which the host reads what was sent


class Framing(Enum):
    """How an answer marks the end of its body."""

    LENGTH = "length"
    CHUNKS = "chunks"
    NONE = "none"


class End(Enum):
    """How a connection ends after what was sent of an answer."""

    CLOSE = "orderly close"
    RESET = "reset"
    # The reset arrives together with the data before it.
    RESET_BEHIND_DATA = "reset behind data"
    SILENCE = "silence"


@attrs.frozen
class Answer:
    """
    An answer, of which only a part may be sent.

    :ivar body: the whole body; None for the events after ``Last-Event-Id`` of
        a stream of ``events`` events.
    :ivar sent_bytes: how much of the body is sent; None for all of it.
    :ivar head_bytes: how much of the head is sent; None for all of it.
    :ivar head_silence_s: how long nothing comes inside the head, in seconds.
    :ivar body_silence_s: how long nothing comes inside the body, in seconds;
        in a stream after its first event.
    :ivar headers: lines of the head beside the usual ones.
    :ivar first_lines: what stands in the place of the status line.
    :ivar trailers: lines behind the last chunk.
    :ivar interim: what is sent before the head.
    :ivar early: whether it is sent before the body of the request is read.
        What is not read by then resets the connection a moment after its end.
    :ivar reads_on: whether the body is read behind an early answer.
    """

    body: bytes | None = None
    framing: Framing = Framing.CHUNKS
    end: End = End.CLOSE
    sent_bytes: int | None = None
    head_bytes: int | None = None
    content_type: str = "text/event-stream"
    status: int = 200
    events: int = 0
    head_silence_s: float = 0.0
    body_silence_s: float = 0.0
    headers: tuple[str, ...] = ()
    first_lines: str = ""
    trailers: tuple[str, ...] = ()
    interim: bytes = b""
    early: bool = False
    reads_on: bool = False

    def encode(self, request_id: str, after: int | None) -> bytes:
        first = 0 if after is None else after + 1
        body = stream_of(self.events, first) if self.body is None else self.body
        lines = [
            self.first_lines or f"HTTP/1.1 {self.status} Status",
            f"X-Aspenbridge-Attempt-Id: {request_id}",
            "X-Aspenbridge-Server-Stamp: stamp",
            f"Content-Type: {self.content_type}",
            *self.headers,
        ]
        if self.framing is Framing.LENGTH:
            lines.append(f"Content-Length: {len(body)}")
        if self.framing is Framing.CHUNKS:
            lines.append("Transfer-Encoding: chunked")
        head = self.interim + "\r\n".join([*lines, "", ""]).encode()
        if self.head_bytes is not None:
            return head[: self.head_bytes]
        sent = body[: self.sent_bytes]
        if self.framing is not Framing.CHUNKS:
            return head + sent
        chunk = b"%x\r\n%b\r\n" % (len(sent), sent) if sent else b""
        if self.sent_bytes is not None:
            return head + chunk
        return head + chunk + "\r\n".join(["0", *self.trailers, "", ""]).encode()

    def parts(self, request_id: str, after: int | None) -> list[tuple[float, bytes]]:
        """Return the parts that are sent, each with the silence before it."""
        data = self.encode(request_id, after)
        body_at = data.find(b"\r\n\r\n") + 4
        event_end = data.find(b"\n\n", body_at) + 2
        middle = event_end if event_end > 1 else (body_at + len(data)) // 2
        cuts = [(0.0, 0)]
        if self.head_silence_s:
            cuts.append((self.head_silence_s, min(HEAD_PART_BYTES, len(data))))
        if self.body_silence_s:
            cuts.append((self.body_silence_s, middle))
        ends = [*(at for _, at in cuts[1:]), len(data)]
        return [
            (silence_s, data[at:end])
            for (silence_s, at), end in zip(cuts, ends, strict=True)
        ]


class ScriptedEngine:
    """
    Answers each request with the next answer of its script.

    :ivar scripts: the answers by request id; each is used once.
    :ivar resumed_after: the ``Last-Event-Id`` of each send, by request id.
    :ivar asked: the engine that each send names, by request id.
    :ivar headers: the headers of the last send, by request id.
    :ivar bodies: the body of the last send, by request id.
    """

    def __init__(self) -> None:
        self.scripts: dict[str, list[Answer]] = {}
        self.resumed_after: dict[str, list[int | None]] = {}
        self.asked: dict[str, list[str]] = {}
        self.headers: dict[str, dict[str, str]] = {}
        self.bodies: dict[str, bytes] = {}
        self._stack = AsyncExitStack()
        self.port = 0

    async def __aenter__(self) -> Self:
        listener = self._stack.enter_context(listening_socket("127.0.0.1", 0))
        self.port = listener.getsockname()[1]
        accepting = asyncio.create_task(self._accept(listener))
        self._stack.callback(accepting.cancel)
        return self

    async def __aexit__(self, *error: object) -> None:
        await self._stack.aclose()

    async def _accept(self, listener: socket.socket) -> None:
        loop = asyncio.get_running_loop()
        async with asyncio.TaskGroup() as serving:
            while True:
                sock, _ = await loop.sock_accept(listener)
                serving.create_task(self._serve(sock))

    async def _serve(self, sock: socket.socket) -> None:
        # A host that has left resets its connection.
        with sock, suppress(ConnectionError):
            fields, body = await _read_head(sock)
            request_id = fields.get("X-Aspenbridge-Attempt-Id", "")
            script = self.scripts[request_id]
            if not (script and script[0].early):
                body = await _read_body(sock, fields, body)
            self.headers[request_id], self.bodies[request_id] = fields, body
            after_text = fields.get("Last-Event-Id")
            after = None if after_text is None else int(after_text)
            self.resumed_after.setdefault(request_id, []).append(after)
            engine = fields.get("X-Aspenbridge-Expect-Instance", "")
            self.asked.setdefault(request_id, []).append(engine)
            if not script:
                return  # an error here would end the other connections, too
            answer = script.pop(0)
            await _send(sock, answer.parts(request_id, after))
            if answer.early and answer.end is End.CLOSE:
                sock.shutdown(socket.SHUT_WR)
                await asyncio.sleep(READ_DELAY_S)
            if answer.reads_on:
                self.bodies[request_id] = await _read_body(sock, fields, body)
            await _end(sock, answer.end)


async def _send(sock: socket.socket, timed_parts: list[tuple[float, bytes]]) -> None:
    loop = asyncio.get_running_loop()
    *parts, (silence_s, data) = timed_parts
    for pause_s, part in parts:
        await asyncio.sleep(pause_s)
        await loop.sock_sendall(sock, part)
    await asyncio.sleep(silence_s)
    await loop.sock_sendall(sock, data[:-LAST_BYTES])
    # Nothing else runs between this and a reset behind the data.
    sock.send(data[-LAST_BYTES:])


async def _end(sock: socket.socket, end: End) -> None:
    """Wait until the connection is to end; prepare a reset."""
    if end is End.SILENCE:
        await asyncio.get_running_loop().sock_recv(sock, 1)
    if end is End.RESET:
        await asyncio.sleep(READ_DELAY_S)
    if end in (End.RESET, End.RESET_BEHIND_DATA):
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, LINGER_ON_ZERO_S)


async def _read_head(sock: socket.socket) -> tuple[dict[str, str], bytes]:
    """Read the head of a request; return its headers and what follows it."""
    data = b""
    while b"\r\n\r\n" not in data:
        data += await _receive(sock)
    head, _, body = data.partition(b"\r\n\r\n")
    lines = head.decode().split("\r\n")[1:]
    return dict(line.split(": ", 1) for line in lines), body


async def _read_body(
    sock: socket.socket, fields: dict[str, str], begin: bytes
) -> bytes:
    """Read the rest of a request; return its body, which may have begun."""
    body = begin
    while len(body) < int(fields.get("Content-Length", 0)):
        body += await _receive(sock)
    return body


async def _receive(sock: socket.socket) -> bytes:
    """
    Return received bytes.

    :raises ConnectionResetError: when the host has left.
    """
    received = await asyncio.get_running_loop().sock_recv(sock, 65536)
    if not received:
        raise ConnectionResetError
    return received


def stream_of(events: int, first: int = 0) -> bytes:
    """Return the events from ``first`` on of a stream of so many events."""
    numbers = range(first, events)
    return b"".join(f"id: {n}\ndata: t{n}\n\n".encode() for n in numbers)
