"""Connections of callers that send and read in unusual ways."""

from __future__ import annotations

import asyncio
import socket
from enum import Enum
from math import inf
from typing import TYPE_CHECKING, Self

import attrs
from multidict import CIMultiDict

from ._hosts import CALLERS_PORT
from ._oracle import now_s

if TYPE_CHECKING:
    from collections.abc import Callable, Mapping
    from random import Random

    from ._hosts import HostProcess

CONNECT_LIMIT_S = 1.0
MAX_ANSWER_BYTES = 1024 * 1024
UNREAD_BYTES = 32768  # that a slow caller lets wait before it stops reading
CONTINUE_WAIT_S = 1.0  # for 100 Continue, before the body is sent without it
PIECE_INTERVAL_S = (0.02, 0.2)  # between two pieces of a request
SLOW_READ_BYTES = 16384  # that a slow caller reads at a time
SLOW_READ_INTERVAL_S = 0.05


class Style(Enum):
    """How a caller sends a request or reads its answer."""

    PLAIN = "plain"
    PIECES = "in pieces"
    CHUNKS = "chunked body"
    EXPECT = "waits for 100"
    OLD = "HTTP/1.0"
    SLOW = "slow reader"
    PAIR = "two in a row"


@attrs.define
class SentRequest:
    """
    A request of a caller, and what the caller received.

    :ivar begun_s: when its first byte was sent.
    :ivar sent_s: when its last byte was sent; infinite if it was not.
    :ivar ended_s: when its answer, its connection or its caller's time ended.
    :ivar status: of the answer; 0 if no head of an answer came.
    :ivar whole: whether the answer is complete.
    :ivar behind_close: whether the answer before it on its connection
        announced that the connection would be closed.
    """

    request_id: str
    path: str
    prefix: str
    host: str
    style: Style
    begun_s: float = 0.0
    sent_s: float = inf
    ended_s: float = 0.0
    status: int = 0
    whole: bool = False
    behind_close: bool = False
    headers: Mapping[str, str] = attrs.field(factory=dict)
    body: bytes = b""

    def __str__(self) -> str:
        return (
            f"{self.path} at {self.host}, {self.style.value}, begun at"
            f" {self.begun_s:.2f} s, sent after {self.sent_s - self.begun_s:.2f} s,"
            f" ended after {self.ended_s - self.begun_s:.2f} s, status"
            f" {self.status}, whole {self.whole}"
        )

    @property
    def sent_body(self) -> bytes:
        """The body of the request."""
        return self.path.encode()

    @property
    def events(self) -> list[str]:
        """The events of the answer."""
        lines = self.body.decode(errors="replace").splitlines()
        return [x.removeprefix("data: ") for x in lines if x.startswith("data: ")]


class CallerConnection:
    """
    A connection to a host; the caller keeps it until the host closes it.

    :raises OSError: when it can't be opened.
    """

    def __init__(
        self,
        host: HostProcess,
        style: Style,
        deadline_ms: int,
        random: Random,
        on_head: Callable[[str, Mapping[str, str]], None],
    ) -> None:
        self._host = host
        self._on_head = on_head
        self._style = style
        self._deadline_ms = deadline_ms
        self._random = random
        self.usable = True
        self._reader: asyncio.StreamReader
        self._writer: asyncio.StreamWriter

    async def __aenter__(self) -> Self:
        async with asyncio.timeout(CONNECT_LIMIT_S):
            self._reader, self._writer = await asyncio.open_connection(
                self._host.ip, CALLERS_PORT, limit=UNREAD_BYTES
            )
        if self._style is Style.SLOW:
            sock = self._writer.get_extra_info("socket")
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, UNREAD_BYTES)
        return self

    async def __aexit__(self, *error: object) -> None:
        self._writer.transport.abort()

    async def exchange(self, *requests: SentRequest) -> None:
        """Send requests, one right behind the other; read their answers."""
        try:
            async with asyncio.timeout(self._deadline_ms / 1000 + 1.0):
                for request in requests:
                    await self._send(request)
                for request in requests:
                    request.behind_close = not self.usable
                    await self._receive(request)
        except (OSError, EOFError, ValueError, asyncio.LimitOverrunError):
            self.usable = False  # what is missing shows in the requests
        for request in requests:
            request.ended_s = request.ended_s or now_s()

    async def _send(self, request: SentRequest) -> None:
        request.begun_s = now_s()
        data = request.sent_body
        version = "1.0" if self._style is Style.OLD else "1.1"
        lines = [
            f"POST {request.path} HTTP/{version}",
            "Host: a.example",
            f"X-Aspenbridge-Attempt-Id: {request.request_id}",
            f"X-Aspenbridge-Deadline-Ms: {self._deadline_ms}",
        ]
        if self._style is Style.CHUNKS:
            lines.append("Transfer-Encoding: chunked")
            parts = [b"%x\r\n%b\r\n" % (len(x), x) for x in _halves(data)]
            data = b"".join((*parts, b"0\r\n\r\n"))
        else:
            lines.append(f"Content-Length: {len(data)}")
        if self._style is Style.EXPECT:
            lines.append("Expect: 100-continue")
        head = "\r\n".join([*lines, "", ""]).encode()
        if self._style is Style.EXPECT:
            self._writer.write(head)
            await self._wait_for_100(request)
            self._writer.write(data)
        elif self._style in (Style.PIECES, Style.CHUNKS):
            for piece in (*_halves(head), *_halves(data)):
                self._writer.write(piece)
                await asyncio.sleep(self._random.uniform(*PIECE_INTERVAL_S))
        else:
            self._writer.write(head + data)
        await self._writer.drain()
        request.sent_s = now_s()

    async def _wait_for_100(self, request: SentRequest) -> None:
        try:
            async with asyncio.timeout(CONTINUE_WAIT_S):
                status = await self._read_head(request)
        except TimeoutError:
            return  # such callers send the body then
        if status != 100:
            raise EOFError("the host answers before it has read the body")

    async def _read_head(self, request: SentRequest) -> int:
        head = await self._reader.readuntil(b"\r\n\r\n")
        status_line, *lines = head.decode("latin-1").rstrip().split("\r\n")
        status = int(status_line.split(" ", 2)[1])
        if status != 100:
            request.status = status
            fields = (line.split(": ", 1) for line in lines)
            request.headers = CIMultiDict(fields)
            self._on_head(request.host, request.headers)
        return status

    async def _receive(self, request: SentRequest) -> None:
        while await self._read_head(request) == 100:
            continue
        headers = request.headers
        if self._style is Style.OLD or headers.get("connection") == "close":
            self.usable = False
        if "content-length" in headers:
            length = int(headers["content-length"])
            request.body = await self._reader.readexactly(length)
        elif "transfer-encoding" in headers:
            await self._read_chunks(request)
        else:
            while data := await self._reader.read(MAX_ANSWER_BYTES):
                _append(request, data)
        request.whole = True
        request.ended_s = now_s()

    async def _read_chunks(self, request: SentRequest) -> None:
        while size := int(await self._reader.readuntil(b"\r\n"), 16):
            if self._style is Style.SLOW:
                await asyncio.sleep(SLOW_READ_INTERVAL_S * size / SLOW_READ_BYTES)
            _append(request, (await self._reader.readexactly(size + 2))[:-2])
        await self._reader.readuntil(b"\r\n")


def _append(request: SentRequest, data: bytes) -> None:
    request.body += data
    if len(request.body) > MAX_ANSWER_BYTES:
        raise ValueError("the answer is too long")


def _halves(data: bytes) -> tuple[bytes, bytes]:
    middle = len(data) // 2
    return data[:middle], data[middle:]
