"""Connections of HTTP clients, which decide what an answer is."""

from __future__ import annotations

import re
from functools import partial
from importlib import import_module
from typing import TYPE_CHECKING, Any

import aiohttp
from aiohttp.client_proto import ResponseHandler
from aiohttp.http import HttpResponseParser

from .loop import pending_error, undelivered_bytes

if TYPE_CHECKING:
    import asyncio

    from aiohttp.http_parser import RawResponseMessage

# What an answer may send besides its payload: its heads, interim ones too, and
# the framing of its chunks. Framing may take twice the payload, since a chunk
# may hold a few bytes only.
MAX_OVERHEAD_BYTES = 64 * 1024
MAX_OVERHEAD_SHARE = 2
# Of the bytes that arrive together, so many are parsed before the limits are
# checked again.
PARSED_BYTES = 16 * 1024
READ_BYTES = 64 * 1024
MAX_REASON_CHARS = 200  # a reason may quote what a server has sent
FIRST_FINAL_STATUS = 200
VALID_STATUSES = range(100, 600)  # HTTP has no other classes
SWITCHING_PROTOCOLS = 101  # which no client here asks for
# A server that has ended its answer only reads the rest of the request, up to
# 16 MiB from another region.
DELIVERY_LIMIT_S = 5.0
DELIVERY_CHECK_INTERVAL_S = 0.01
CONTROL_CHARACTER = re.compile(r"[\x00-\x08\x0a-\x1f\x7f]")

# Outside its development mode, aiohttp accepts heads and trailers that are
# not HTTP: a blank beside a name may make another field of it, and a line feed
# alone ends a line or the whole head. A parser reads the mode when it begins.
vars(import_module(HttpResponseParser.__module__))["DEBUG"] = True


class InvalidAnswerError(aiohttp.ClientPayloadError):
    """A server sent bytes that are no answer, so its connection was closed."""


def _head_fault(message: RawResponseMessage) -> str | None:
    """
    Return why a parsed head is no answer, or None if it is one.

    aiohttp takes any three digits for a status, and those below 100 for the
    status of a final answer. It leaves the reason as it came, and takes off
    no transfer coding but chunks.
    """
    status = message.code
    if status not in VALID_STATUSES or status == SWITCHING_PROTOCOLS:
        return f"status {status:03} is no answer"
    if CONTROL_CHARACTER.search(message.reason or ""):
        return "the reason holds a control character"
    codings = message.headers.getall("Transfer-Encoding", [])
    if codings and ",".join(codings).strip().lower() != "chunked":
        return f"transfer coding {codings} can't be taken off"
    return None


class ClientConnection(ResponseHandler):
    """
    A connection on which a body that its server resets is an error.

    A body with neither a length nor chunks ends when the server closes the
    connection in an orderly way and its kernel has got all of the request. A
    server that ends while the request is written closes the connection before
    it resets it. aiohttp takes any end of the connection for the end of such a
    body, also one by the client.

    An answer whose head is invalid is an error, and its connection is closed.

    A server that sends bytes without end that are neither a head nor payload
    gets its connection closed, and so does one that sends more after its
    answer. aiohttp itself limits each line of a head or trailer to 8190 bytes
    and their number to 128, and stops reading while payload waits to be read.
    """

    _pending_error: OSError | None = None
    _invalid_error: InvalidAnswerError | None = None
    _body: aiohttp.StreamReader | None = None
    _body_ends_with_connection = False
    _closed_by_server = False
    _delivery_check: asyncio.TimerHandle | None = None
    _delivery_deadline_s = 0.0  # by the clock of the event loop
    _received_bytes = 0

    def set_response_params(self, **options: Any) -> None:
        """Prepare for the answer to the next request."""
        self._body = None
        self._received_bytes = 0
        super().set_response_params(**options)

    def feed_data(
        self, data: tuple[RawResponseMessage, aiohttp.StreamReader], size: int = 0
    ) -> None:
        """Add a parsed head and its body to the queue if the head is valid."""
        if self._invalid_error is not None:
            return
        message, body = data
        fault = _head_fault(message)
        if fault is not None:
            self._refuse(fault)
            return
        if message.code >= FIRST_FINAL_STATUS and self._body is None:
            self._body = body
            framed = message.chunked or "Content-Length" in message.headers
            self._body_ends_with_connection = not framed
        super().feed_data(data, size)

    def data_received(self, data: bytes) -> None:
        """Parse received bytes; without any, go on with those held back."""
        if len(data) <= PARSED_BYTES:
            self._parse(data)
            return
        start = 0
        while start < len(data) and self.is_connected():
            # What comes while reading is paused is held back in one piece.
            end = len(data) if self._reading_paused else start + PARSED_BYTES
            self._parse(data[start:end])
            start = end
        # The traceback of a parser's error would keep it until the garbage
        # collector finds the error.
        del data

    def _parse(self, data: bytes) -> None:
        body = self._body
        if data and body is not None and body.is_eof():
            self.close()  # bytes after the answer belong to no request
            return
        self._received_bytes += len(data)
        super().data_received(data)
        if self._exception is not None:
            reason = f"body can't be parsed: {self._exception}"
            self._fail_body(InvalidAnswerError(reason))
        elif not self._reading_paused:  # else some bytes are not parsed yet
            self._check_overhead()

    def _check_overhead(self) -> None:
        body = self._body
        if body is not None and body.is_eof():
            return
        payload_bytes = 0 if body is None else body.total_raw_bytes
        overhead_bytes = self._received_bytes - payload_bytes
        limit_bytes = MAX_OVERHEAD_BYTES + MAX_OVERHEAD_SHARE * payload_bytes
        if overhead_bytes > limit_bytes:
            part = "no head" if body is None else f"{payload_bytes} bytes of payload"
            self._refuse(f"{part} in {self._received_bytes} received bytes")

    def _refuse(self, reason: str) -> None:
        """Close the connection, whose server has sent what is no answer."""
        error = self._invalid_error = InvalidAnswerError(reason)
        self.abort()  # to close it would first send the rest of the request
        self.set_exception(error)
        self._fail_body(error)

    def _fail_body(self, error: Exception) -> None:
        body = self._body
        if body is not None and not body.is_eof() and body.exception() is None:
            body.set_exception(error)

    def eof_received(self) -> bool:  # type: ignore[override]
        """
        Note how the server has closed the connection.

        :return: whether the event loop leaves it open for the request.
        """
        super().eof_received()
        transport = self.transport
        if transport is None:
            return False
        self._closed_by_server = True
        undelivered = undelivered_bytes(transport)
        self._pending_error = pending_error(transport)
        body = self._body
        if self._pending_error is not None or body is None or body.is_eof():
            return False
        if not self._body_ends_with_connection or not undelivered:
            return False
        self._delivery_deadline_s = self._loop.time() + DELIVERY_LIMIT_S
        self._await_delivery()
        return True

    def _await_delivery(self) -> None:
        """Close the connection once the rest of the request is delivered."""
        transport = self.transport
        if transport is None or transport.is_closing():
            return
        undelivered = undelivered_bytes(transport)
        self._pending_error = pending_error(transport)
        if self._pending_error is not None:
            transport.abort()
        elif not undelivered:
            transport.close()
        elif self._loop.time() >= self._delivery_deadline_s:
            self._refuse(f"{undelivered} bytes of the request were not read")
        else:
            self._delivery_check = self._loop.call_later(
                DELIVERY_CHECK_INTERVAL_S, self._await_delivery
            )

    def connection_lost(self, exc: BaseException | None) -> None:
        """Fail the body that is being read, unless this is its end."""
        if self._delivery_check is not None:
            self._delivery_check.cancel()
        error = self._invalid_error or exc or self._pending_error
        if error is not None:
            reason = f"connection reset: {error}"
            self._fail_body(aiohttp.ClientPayloadError(reason))
        elif not self._closed_by_server:
            reason = "connection closed before the end of the body"
            self._fail_body(aiohttp.ClientPayloadError(reason))
        super().connection_lost(error)


class ClientConnector(aiohttp.TCPConnector):
    """Opens connections of the class ``connection_class``."""

    connection_class: type[ClientConnection] = ClientConnection

    def __init__(self, **options: Any) -> None:
        super().__init__(**options)
        self._factory: Any = partial(self.connection_class, loop=self._loop)


def open_client_session(**options: Any) -> aiohttp.ClientSession:
    """
    Return a session that sends each request once; the caller must close it.

    aiohttp sends a request with GET, HEAD, OPTIONS, TRACE, PUT or DELETE once
    more when its connection ends before an answer. Here its server may have
    run it, and only the caller knows whether it may run twice.

    :param options: those of ``aiohttp.ClientSession``.
    """
    session = aiohttp.ClientSession(**options)
    session._retry_connection = False
    return session


async def read_body(response: aiohttp.ClientResponse, max_bytes: int) -> bytes:
    """
    Return the whole body of an answer that is not a stream.

    :raises InvalidAnswerError: when it has more than ``max_bytes`` bytes; the
        connection is closed.
    :raises aiohttp.ClientError: when it breaks off.
    """
    body = bytearray()
    while part := await response.content.read(READ_BYTES):
        body += part
        if len(body) > max_bytes:
            response.close()
            raise InvalidAnswerError(f"body has more than {max_bytes} bytes")
    return bytes(body)


def describe_error(error: Exception) -> str:
    """Return why a call failed, in at most ``MAX_REASON_CHARS`` characters."""
    reason = repr(error)
    if isinstance(error, aiohttp.ClientResponseError):
        reason = f"head can't be parsed: {error.message}"
    if isinstance(error, InvalidAnswerError):
        reason = str(error)
    return reason[:MAX_REASON_CHARS]


__all__ = [
    "ClientConnection",
    "ClientConnector",
    "InvalidAnswerError",
    "describe_error",
    "open_client_session",
    "read_body",
]
