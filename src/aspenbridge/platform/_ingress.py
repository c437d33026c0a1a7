"""The HTTP surface of a host: callers' requests, batch jobs, readiness."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Self

from aiohttp import web

from aspenbridge.loop import listening_socket
from aspenbridge.observability import metrics_text
from aspenbridge.relay import CallerRequest
from aspenbridge.resources import StackOwner
from aspenbridge.result_codes import Problem, ResultCode

from . import _names as names
from ._job_calls import JobCalls
from ._replies import HttpReply, refused

if TYPE_CHECKING:
    from aiohttp import StreamReader
    from aiohttp.abc import AbstractStreamWriter
    from aiohttp.http import RawRequestMessage
    from aiohttp.web_protocol import RequestHandler

    from aspenbridge.entry import Address, EntryHost

LARGEST_BODY_BYTES = 16 * 1024 * 1024  # four times the largest limit configured
LARGEST_HEADER_BYTES = 32 * 1024  # twice the largest limit configured
# Callers reuse connections for four fifths of the idle limit of 15 s.
KEEPALIVE_S = 60.0
LAST_PART_S = 2.5  # twice the longest streams of a full engine
QUIET_S = 0.3  # a caller that was told to close sends its next request elsewhere
DEFAULT_DEADLINE_S = 30.0


class Ingress(StackOwner):
    """Serves callers on one address and readiness on another."""

    def __init__(
        self, host: EntryHost, callers: Address, readiness: Address, metrics: Address
    ) -> None:
        super().__init__()
        self._host = host
        self._job_calls = JobCalls(host.job_service)
        self._callers = callers
        self._readiness = readiness
        self._metrics = metrics
        self._listeners: list[asyncio.Server] = []
        self._busy: set[RequestHandler] = set()
        self._ended_s = 0.0
        self._idle = asyncio.Event()
        self._idle.set()
        self._web = web.Server(
            self._handle,
            handler_cancellation=True,
            request_factory=_request,
            keepalive_timeout=KEEPALIVE_S,
            max_line_size=LARGEST_HEADER_BYTES,
            max_field_size=LARGEST_HEADER_BYTES,
            access_log=None,
        )

    async def __aenter__(self) -> Self:
        ready = web.Server(self._handle_ready, access_log=None)
        metrics = web.Server(_handle_metrics, access_log=None)
        for server, address in (
            (metrics, self._metrics),
            (ready, self._readiness),
            (self._web, self._callers),
        ):
            sock = listening_socket(address.ip, address.port)
            self._stack.callback(sock.close)
            loop = asyncio.get_running_loop()
            listener = await loop.create_server(server, sock=sock)
            self._stack.callback(_close_connections, server)
            self._stack.callback(listener.close)
            if server is self._web:
                self._listeners.append(listener)
        return self

    async def finish(self, limit_s: float) -> bool:
        """
        Serve until no request has run or come for a while.

        New connections are still served, since the balancer sends some for as
        long as few other hosts are ready; in the last part of the time they
        are refused and idle ones closed, so that what was taken can end.

        :return: whether all requests ended in time.
        """
        await self._wait_quiet(limit_s - LAST_PART_S)
        for listener in self._listeners:
            listener.close()
        self._close_after_requests()
        await self._wait_quiet(min(limit_s, LAST_PART_S))
        return not self._busy

    def _close_after_requests(self) -> None:
        """Close idle connections now, the others after their request."""
        for connection in self._web.connections:
            if connection in self._busy:
                connection.close()
            else:
                connection.force_close()

    async def _wait_quiet(self, limit_s: float) -> None:
        try:
            async with asyncio.timeout(limit_s):
                while self._busy or self._quiet_s() < QUIET_S:
                    await self._idle.wait()
                    await asyncio.sleep(QUIET_S / 4)
        except TimeoutError:
            return

    def _quiet_s(self) -> float:
        return self._host.ports.clock.now_s() - self._ended_s

    @property
    def running(self) -> int:
        """The number of requests that are being served."""
        return len(self._busy)

    async def _handle_ready(self, request: web.BaseRequest) -> web.StreamResponse:
        return web.Response(status=200 if self._host.ready else 503)

    async def _handle(self, request: web.BaseRequest) -> web.StreamResponse:
        connection = request.protocol
        self._busy.add(connection)
        self._idle.clear()
        try:
            response = await self._serve(request)
            # A caller that was not told may use the connection again.
            if self._host.leaving and not response.prepared:
                response.force_close()
            return response
        finally:
            self._busy.discard(connection)
            self._ended_s = self._host.ports.clock.now_s()
            if not self._busy:
                self._idle.set()

    async def _serve(self, request: web.BaseRequest) -> web.StreamResponse:
        received_s = self._host.ports.clock.now_s()
        configuration = self._host.configuration.current
        body = await request.read()
        if configuration is None:
            detail = "this host has not read a configuration yet"
            return refused(
                request,
                Problem(ResultCode.CONFIGURATION_UNKNOWN, detail, retry_after_s=0.3),
            )
        if len(body) > configuration.limits.body_bytes:
            detail = f"body of {len(body)} bytes is over the limit"
            return refused(request, Problem(ResultCode.TOO_LARGE, detail))
        action = self._job_calls.find(request, configuration, body)
        if action is not None:
            return await action
        reply = HttpReply(request, self._host)
        caller_request = _caller_request(request, body, received_s)
        await self._host.relay.serve(caller_request, configuration, reply)
        assert reply.response is not None
        return reply.response


async def _handle_metrics(request: web.BaseRequest) -> web.StreamResponse:
    return web.Response(body=metrics_text(), content_type="text/plain")


def _close_connections(server: web.Server) -> None:
    """Close at once; a request that is read now would not be answered."""
    for connection in server.connections:
        connection.force_close()


def _request(
    message: RawRequestMessage,
    payload: StreamReader,
    protocol: RequestHandler,
    writer: AbstractStreamWriter,
    task: asyncio.Task[None],
) -> web.BaseRequest:
    return web.BaseRequest(
        message,
        payload,
        protocol,
        writer,
        task,
        asyncio.get_running_loop(),
        client_max_size=LARGEST_BODY_BYTES,
    )


def _caller_request(
    request: web.BaseRequest, body: bytes, received_s: float
) -> CallerRequest:
    headers = request.headers
    resume_after = headers.get(names.RESUME_AFTER, "")
    deadline_ms = headers.get(names.DEADLINE, "")
    left_s = float(deadline_ms) / 1000 if deadline_ms.isdigit() else DEFAULT_DEADLINE_S
    return CallerRequest(
        request_id=headers.get(names.REQUEST_ID, ""),
        method=request.method,
        target=request.raw_path,
        host=headers.get("Host", ""),
        headers=tuple(headers.items()),
        body=body,
        received_s=received_s,
        deadline_s=received_s + left_s,
        resume_after=int(resume_after) if resume_after.isdigit() else None,
    )
