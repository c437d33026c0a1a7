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

    def encode(self, request_id: str, after: int | None) -> bytes:
        first = 0 if after is None else after + 1
        body = stream_of(self.events, first) if self.body is None else self.body
        lines = [
            f"HTTP/1.1 {self.status} Status",
            f"X-Aspenbridge-Attempt-Id: {request_id}",
            "X-Aspenbridge-Server-Stamp: stamp",
            f"Content-Type: {self.content_type}",
            *self.headers,
        ]
        if self.framing is Framing.LENGTH:
            lines.append(f"Content-Length: {len(body)}")
        if self.framing is Framing.CHUNKS:
            lines.append("Transfer-Encoding: chunked")
        head = "\r\n".join([*lines, "", ""]).encode()
        if self.head_bytes is not None:
            return head[: self.head_bytes]
        sent = body[: self.sent_bytes]
        if self.framing is not Framing.CHUNKS:
            return head + sent
        chunk = b"%x\r\n%b\r\n" % (len(sent), sent) if sent else b""
        return head + chunk + (b"0\r\n\r\n" if self.sent_bytes is None else b"")

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
            fields, body = await _read_request(sock)
            request_id = fields.get("X-Aspenbridge-Attempt-Id", "")
            self.headers[request_id], self.bodies[request_id] = fields, body
            after_text = fields.get("Last-Event-Id")
            after = None if after_text is None else int(after_text)
            self.resumed_after.setdefault(request_id, []).append(after)
            engine = fields.get("X-Aspenbridge-Expect-Instance", "")
            self.asked.setdefault(request_id, []).append(engine)
            if not self.scripts[request_id]:
                return  # an error here would end the other connections, too
            answer = self.scripts[request_id].pop(0)
            *parts, (silence_s, data) = answer.parts(request_id, after)
            loop = asyncio.get_running_loop()
            for pause_s, part in parts:
                await asyncio.sleep(pause_s)
                await loop.sock_sendall(sock, part)
            await asyncio.sleep(silence_s)
            await loop.sock_sendall(sock, data[:-LAST_BYTES])
            # Nothing else runs between this and a reset behind the data.
            sock.send(data[-LAST_BYTES:])
            if answer.end is End.SILENCE:
                await loop.sock_recv(sock, 1)
            if answer.end is End.RESET:
                await asyncio.sleep(READ_DELAY_S)
            if answer.end in (End.RESET, End.RESET_BEHIND_DATA):
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, LINGER_ON_ZERO_S)


async def _read_request(sock: socket.socket) -> tuple[dict[str, str], bytes]:
    """Read a request; return its headers and its body."""
    data = b""
    while b"\r\n\r\n" not in data:
        data += await _receive(sock)
    head, _, body = data.partition(b"\r\n\r\n")
    lines = head.decode().split("\r\n")[1:]
    fields = dict(line.split(": ", 1) for line in lines)
    while len(body) < int(fields.get("Content-Length", 0)):
        body += await _receive(sock)
    return fields, body


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
