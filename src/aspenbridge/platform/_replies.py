"""Responses to callers: an engine's, or an error of this system itself."""

from __future__ import annotations

import asyncio
import socket
import struct
from contextlib import contextmanager
from typing import TYPE_CHECKING, TypeVar

from aiohttp import HttpVersion11, web
from returns.result import Failure

from aspenbridge.observability import log_decision

from . import _names as names
from ._caller_connections import connection_of
from ._counted_connections import send_large_head
from ._problems import problem_response

if TYPE_CHECKING:
    from collections.abc import Callable, Iterator

    from returns.result import Result

    from aspenbridge.entry import EntryHost
    from aspenbridge.ports import AnswerHead
    from aspenbridge.result_codes import Problem

Value = TypeVar("Value")
# Values of SO_LINGER: whether it is on, and for how many seconds.
RESET_ON_CLOSE = struct.pack("ii", 1, 0)
CONTINUE = b"HTTP/1.1 100 Continue\r\n\r\n"
ORDERLY_CLOSE = struct.pack("ii", 0, 0)


@contextmanager
def _cancelled_if_left() -> Iterator[None]:
    """
    End the handling of a request whose connection is found to be closed.

    The end of a connection cancels it anyway, but only a moment later.
    """
    try:
        yield
    except ConnectionError as error:
        raise asyncio.CancelledError("the caller has left") from error


class HttpResponseWriter:
    """Writes one response to a caller; satisfies ``relay.ResponseWriter``."""

    def __init__(self, request: web.BaseRequest, host: EntryHost) -> None:
        self._request = request
        self._host = host
        self._ends_with_connection = False
        self.response: web.StreamResponse | None = None

    async def begin(self, head: AnswerHead, length: int | None = None) -> None:
        """
        Send status and headers.

        :param length: the size of the body in bytes, if it is known.
        """
        response = web.StreamResponse(status=head.status)
        for name, value in head.headers:
            response.headers.add(name, value)
        if length is not None:
            response.content_length = length
        elif self._request.version >= HttpVersion11:
            response.enable_chunked_encoding()
        else:
            self._ends_with_connection = True
            self._expect_reset()
        if self._host.leaving:
            connection_of(self._request).announce_close(response)
        self.response = response
        with _cancelled_if_left():
            await response.prepare(self._request)
            await send_large_head(self._request, response, length or 0)

    async def write(self, data: bytes) -> None:
        """Send a part of the body."""
        assert self.response is not None
        with _cancelled_if_left():
            await self.response.write(data)

    async def finish(self) -> None:
        """End the body."""
        assert self.response is not None
        with _cancelled_if_left():
            await self.response.write_eof()
        if self._ends_with_connection:
            self._set_linger(ORDERLY_CLOSE)

    def abort(self) -> None:
        """Close the connection, so that the response is seen as incomplete."""
        transport = self._request.transport
        if transport is None:
            return
        if self._ends_with_connection:
            transport.abort()
        else:
            transport.close()

    def _expect_reset(self) -> None:
        """
        Have the connection reset, unless the body ends before it is closed.

        An HTTP/1.0 caller takes an orderly close for the end of the body, also
        one by the kernel when this process is killed. Without a write buffer
        the end of the body is written only after all of the body has left.
        """
        transport = self._request.transport
        if transport is not None:
            transport.set_write_buffer_limits(high=0)
        self._set_linger(RESET_ON_CLOSE)

    def _set_linger(self, option: bytes) -> None:
        transport = self._request.transport
        sock = None if transport is None else transport.get_extra_info("socket")
        if sock is not None:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, option)

    async def refuse(self, problem: Problem) -> None:
        """Set the response to an error of this system itself."""
        self.response = problem_response(problem)


def send_continue(request: web.BaseRequest) -> None:
    """Have a caller send its body if it waits to be told so."""
    expects = request.headers.get("Expect", "").lower() == "100-continue"
    if not expects or request.version < HttpVersion11 or request.transport is None:
        return
    if not request.content.is_eof():
        request.transport.write(CONTINUE)


def response_from_result(
    request: web.BaseRequest,
    result: Result[Value, Problem],
    make_response: Callable[[Value], web.Response],
) -> web.Response:
    """Return the response made from a result, or refuse the call."""
    if isinstance(result, Failure):
        return refuse_call(request, result.failure())
    return make_response(result.unwrap())


def refuse_call(request: web.BaseRequest, problem: Problem) -> web.Response:
    """Log and return an error response to a call that reached no engine."""
    log_decision(
        "call refused",
        request=request.headers.get(names.REQUEST_ID, ""),
        method=request.method,
        path=request.raw_path,
        code=problem.code.name.lower(),
        reason=problem.detail,
        retry_after_s=problem.retry_after_s,
    )
    return problem_response(problem)
