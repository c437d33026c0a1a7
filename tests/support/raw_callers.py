"""Callers that send a request byte by byte, each kind in its own way."""

from __future__ import annotations

import asyncio
from contextlib import asynccontextmanager

from tests.support.scripted_host import Reply

PAUSE_S = 0.15  # between two parts of a request
RECEIVE_BUFFER_BYTES = 4096  # of a slow reader
READ_PAUSE_S = 0.6  # before a slow reader begins
CONTINUE_LIMIT_S = 3.0  # for the interim response that a caller waits for
BODY = b"question"
INTERIM = b"HTTP/1.1 1"


class NoContinueError(AssertionError):
    """A caller that waits to be told to send its body was not told so."""


def request_head(path, request_id, *headers, version="1.1", budget_ms=6000) -> bytes:
    lines = [
        f"POST /{path}/{request_id} HTTP/{version}",
        "Host: a.example",
        f"X-Aspenbridge-Attempt-Id: {request_id}",
        f"X-Aspenbridge-Deadline-Ms: {budget_ms}",
        *headers,
    ]
    return "\r\n".join([*lines, "", ""]).encode()


def whole_request(path, request_id, *headers, **options) -> bytes:
    length = f"Content-Length: {len(BODY)}"
    return request_head(path, request_id, length, *headers, **options) + BODY


@asynccontextmanager
async def connection(address, **options):
    reader, writer = await asyncio.open_connection(address.ip, address.port, **options)
    try:
        yield reader, writer
    finally:
        writer.close()


async def read_response(reader) -> Reply:
    """
    Read one response, and skip interim ones before it.

    It has status 0 if the connection ended before its head.
    """
    head = INTERIM
    try:
        while head.startswith(INTERIM):
            head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError) as error:
        partial = getattr(error, "partial", b"")
        return Reply(0, partial, complete=False, headers={})
    lines = head.decode().split("\r\n")[:-2]
    status = int(lines[0].split()[1])
    fields = dict(line.split(": ", 1) for line in lines[1:])
    try:
        return Reply(status, await _read_body(reader, fields), True, fields)
    except (asyncio.IncompleteReadError, ConnectionError):
        return Reply(status, b"", complete=False, headers=fields)


async def _read_body(reader, fields) -> bytes:
    if "Content-Length" in fields:
        return await reader.readexactly(int(fields["Content-Length"]))
    if fields.get("Transfer-Encoding") != "chunked":
        return await reader.read()
    body = b""
    while size := int(await reader.readuntil(b"\r\n"), 16):
        body += (await reader.readexactly(size + 2))[:-2]
    await reader.readexactly(2)
    return body


async def call_plainly(address, path, request_id, **options) -> Reply:
    async with connection(address) as (reader, writer):
        writer.write(whole_request(path, request_id, **options))
        return await read_response(reader)


async def call_in_pieces(address, path, request_id) -> Reply:
    data = whole_request(path, request_id)
    async with connection(address) as (reader, writer):
        for piece in (data[:20], data[20:-5], data[-5:]):
            writer.write(piece)
            await asyncio.sleep(PAUSE_S)
        return await read_response(reader)


async def call_in_chunks(address, path, request_id) -> Reply:
    head = request_head(path, request_id, "Transfer-Encoding: chunked")
    async with connection(address) as (reader, writer):
        for piece in (head + b"4\r\nques\r\n", b"4\r\nti", b"on\r\n0\r\n", b"\r\n"):
            writer.write(piece)
            await asyncio.sleep(PAUSE_S)
        return await read_response(reader)


async def call_when_told_to_continue(address, path, request_id) -> Reply:
    """Send the body after the interim response."""
    headers = (f"Content-Length: {len(BODY)}", "Expect: 100-continue")
    async with connection(address) as (reader, writer):
        writer.write(request_head(path, request_id, *headers))
        try:
            async with asyncio.timeout(CONTINUE_LIMIT_S):
                interim = await reader.readuntil(b"\r\n\r\n")
        except TimeoutError as error:
            raise NoContinueError(request_id) from error
        if interim != b"HTTP/1.1 100 Continue\r\n\r\n":
            raise NoContinueError(interim)
        writer.write(BODY)
        return await read_response(reader)


async def call_slowly_reading(address, path, request_id) -> Reply:
    async with connection(address, limit=RECEIVE_BUFFER_BYTES) as (reader, writer):
        writer.write(whole_request(path, request_id))
        await asyncio.sleep(READ_PAUSE_S)
        return await read_response(reader)


async def call_by_http_1_0(address, path, request_id) -> Reply:
    return await call_plainly(address, path, request_id, version="1.0")


async def call_twice(address, path, first_id, second_id) -> list[Reply]:
    """Send two requests on one connection before the first is answered."""
    async with connection(address) as (reader, writer):
        writer.write(whole_request(path, first_id) + whole_request(path, second_id))
        return [await read_response(reader), await read_response(reader)]


async def call_after_another(address, path, first_id, second_id) -> list[Reply]:
    """
    Send two requests on one kept connection, or on two if it closes.

    The second reply has status 0 if the host accepts no connection any more.
    """
    async with connection(address) as (reader, writer):
        writer.write(whole_request(path, first_id))
        first = await read_response(reader)
        if first.headers.get("Connection") != "close" and first.complete:
            writer.write(whole_request(path, second_id))
            return [first, await read_response(reader)]
    try:
        return [first, await call_plainly(address, path, second_id)]
    except ConnectionError:
        return [first, Reply(0, b"", complete=False, headers={})]
