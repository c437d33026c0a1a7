"""Bytes without end that an engine sends instead of an answer."""

from __future__ import annotations

import asyncio
import time
from enum import Enum

MAX_DURATION_S = 5.0
MAX_SENT_BYTES = 64 * 1024 * 1024
BLOCK_BYTES = 65536  # that are sent at a time
BUFFER_BYTES = 4 * BLOCK_BYTES  # that may wait in the transport
BUSY_INTERVAL_S = 0.005  # between two looks at a full buffer
SLOW_INTERVAL_S = 0.1  # between two blocks of a slow engine


class Endless(Enum):
    """What an engine sends without end."""

    LINES = "empty lines before the head"
    CONTINUES = "100 Continue before the head"
    FIELD = "a field line"
    FIELDS = "field lines"
    CHUNK_EXTENSION = "a chunk extension"
    EVENT = "an event"
    BODY = "a body"


def _parts(kind: Endless, request_id: str) -> tuple[bytes, bytes]:
    """Return what is sent first, and what is sent again and again."""
    head = (
        "HTTP/1.1 200 OK\r\nX-Aspenbridge-Server-Stamp: stamp\r\n"
        f"X-Aspenbridge-Attempt-Id: {request_id}\r\n"
    ).encode()
    stream = head + b"Content-Type: text/event-stream\r\n"
    chunked = stream + b"Transfer-Encoding: chunked\r\n\r\n"
    text = b"a" * 1024
    return {
        Endless.LINES: (b"", b"\r\n"),
        Endless.CONTINUES: (b"", b"HTTP/1.1 100 Continue\r\n\r\n"),
        Endless.FIELD: (head + b"X-Long: ", text),
        Endless.FIELDS: (head, b"X-Field: value\r\n"),
        Endless.CHUNK_EXTENSION: (chunked + b"400;name=", text),
        Endless.EVENT: (chunked + b"6\r\ndata: \r\n", b"400\r\n" + text + b"\r\n"),
        Endless.BODY: (head + b"Content-Type: text/plain\r\n\r\n", text),
    }[kind]


async def send_without_end(
    transport: asyncio.Transport, kind: Endless, request_id: str, *, slow: bool
) -> None:
    """
    Send until the connection is closed, or a bound of time or bytes.

    :param slow: whether a block is sent in each ``SLOW_INTERVAL_S``.
    """
    first, repeated = _parts(kind, request_id)
    block = repeated * (BLOCK_BYTES // len(repeated))
    until_s, sent_bytes = time.monotonic() + MAX_DURATION_S, 0
    transport.write(first)
    while sent_bytes < MAX_SENT_BYTES and time.monotonic() < until_s:
        if transport.is_closing():
            return
        if transport.get_write_buffer_size() > BUFFER_BYTES:
            await asyncio.sleep(BUSY_INTERVAL_S)
            continue
        transport.write(block)
        sent_bytes += len(block)
        await asyncio.sleep(SLOW_INTERVAL_S if slow else 0)
