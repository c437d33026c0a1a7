"""The HTTP servers of a host: callers, readiness probes and metrics."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Self

from aiohttp import web

from aspenbridge.loop import listening_socket
from aspenbridge.observability import log_decision, metrics_text
from aspenbridge.relay import CallerRequest
from aspenbridge.resources import StackOwner
from aspenbridge.result_codes import Problem, ResultCode

from . import _names as names
from ._caller_connections import CallerServer, connection_of
from ._job_endpoints import JobEndpoints
from ._replies import HttpResponseWriter, refuse_call, send_continue

if TYPE_CHECKING:
    from aiohttp import StreamReader
    from aiohttp.abc import AbstractStreamWriter
    from aiohttp.http import RawRequestMessage
    from aiohttp.web_protocol import RequestHandler

    from aspenbridge.entry import Address, EntryHost

# The server's own limits lie above any limit that an operator configures:
# bodies by a factor of four, headers by a factor of two.
MAX_BODY_BYTES = 16 * 1024 * 1024
MAX_HEADER_BYTES = 32 * 1024
# Longer than callers reuse an idle connection: they do so for four fifths of
# the idle limit of 15 s.
KEEPALIVE_TIMEOUT_S = 60.0
# The last phase of a drain, in which new connections are refused, takes at
# most this long: twice the duration of the longest streams on a fully loaded
# engine.
FINAL_PHASE_S = 2.5
# A caller that received "Connection: close" sends its next request to another
# host, so a host without requests for this long need not wait for more.
QUIET_PERIOD_S = 0.3
RETRY_ELSEWHERE_S = 0.02  # short, since the retry goes to another host
DEFAULT_TIME_BUDGET_S = 30.0  # for a request that states no valid time budget


class Ingress(StackOwner):
    """Serves callers, readiness probes and metrics on separate addresses."""

    def __init__(
        self, host: EntryHost, callers: Address, readiness: Address, metrics: Address
    ) -> None:
        super().__init__()
        self._host = host
        self._job_endpoints = JobEndpoints(host.job_service)
        self._caller_address = callers
        self._readiness_address = readiness
        self._metrics_address = metrics
        self._caller_listeners: list[asyncio.Server] = []
        self._busy_connections: set[RequestHandler] = set()
        self._last_request_ended_s = 0.0
        self._idle = asyncio.Event()
        self._idle.set()
        self._caller_server = CallerServer(
            self._handle,
            handler_cancellation=True,
            request_factory=_make_request,
            keepalive_timeout=KEEPALIVE_TIMEOUT_S,
            max_line_size=MAX_HEADER_BYTES,
            max_field_size=MAX_HEADER_BYTES,
            access_log=None,
        )

    async def __aenter__(self) -> Self:
        ready = web.Server(self._handle_readiness, access_log=None)
        metrics = web.Server(_handle_metrics, access_log=None)
        for server, address in (
            (metrics, self._metrics_address),
            (ready, self._readiness_address),
            (self._caller_server, self._caller_address),
        ):
            sock = listening_socket(address.ip, address.port)
            self._stack.callback(sock.close)
            loop = asyncio.get_running_loop()
            listener = await loop.create_server(server, sock=sock)
            self._stack.callback(_close_connections, server)
            self._stack.callback(listener.close)
            if server is self._caller_server:
                self._caller_listeners.append(listener)
        return self

    async def drain(self, timeout_s: float) -> bool:
        """
        Serve requests until none has run or arrived for ``QUIET_PERIOD_S``.

        New connections are accepted at first, because the load balancer still
        sends some while few other hosts are ready. After that, and at the
        latest ``FINAL_PHASE_S`` before the timeout, new connections are
        refused and idle ones closed, so that accepted requests can complete.

        :param timeout_s: how long to wait for requests to end, in seconds.
        :return: whether all requests ended in time.
        """
        await self._wait_until_quiet(timeout_s - FINAL_PHASE_S)
        for listener in self._caller_listeners:
            listener.close()
        self._close_after_requests()
        await self._wait_until_quiet(min(timeout_s, FINAL_PHASE_S))
        return not self._busy_connections

    def _close_after_requests(self) -> None:
        """Close idle connections now, and busy ones after their request."""
        for connection in self._caller_server.connections:
            if connection in self._busy_connections:
                connection.close()
            else:
                connection.force_close()

    async def _wait_until_quiet(self, timeout_s: float) -> None:
        try:
            async with asyncio.timeout(timeout_s):
                while (
                    self._busy_connections or self._quiet_duration_s() < QUIET_PERIOD_S
                ):
                    await self._idle.wait()
                    await asyncio.sleep(QUIET_PERIOD_S / 4)
        except TimeoutError:
            return

    def _quiet_duration_s(self) -> float:
        return self._host.ports.clock.now_s() - self._last_request_ended_s

    @property
    def running_requests(self) -> int:
        """The number of requests that are being served now."""
        return len(self._busy_connections)

    async def _handle_readiness(self, request: web.BaseRequest) -> web.StreamResponse:
        return web.Response(status=200 if self._host.ready else 503)

    async def _handle(self, request: web.BaseRequest) -> web.StreamResponse:
        connection = request.protocol
        self._busy_connections.add(connection)
        self._idle.clear()
        try:
            response = await self._serve(request)
            # Without "Connection: close" the caller may send its next request
            # on this connection.
            if self._host.leaving and not response.prepared:
                connection_of(request).announce_close(response)
            return response
        except asyncio.CancelledError:
            log_decision(
                "call cancelled",
                request=request.headers.get(names.REQUEST_ID, ""),
                method=request.method,
                path=request.raw_path,
                body_read=request.content.at_eof(),
                host_leaving=self._host.leaving,
            )
            raise
        finally:
            self._busy_connections.discard(connection)
            self._last_request_ended_s = self._host.ports.clock.now_s()
            if not self._busy_connections:
                self._idle.set()

    async def _serve(self, request: web.BaseRequest) -> web.StreamResponse:
        received_s = self._host.ports.clock.now_s()
        send_continue(request)
        body = await request.read()
        if connection_of(request).close_announced:
            return _refuse_stopping(request)
        # Read after the body, since a slow body may outlast a configuration.
        configuration = self._host.configuration.current
        if configuration is None:
            detail = "this host has not read a configuration yet"
            return refuse_call(
                request,
                Problem(ResultCode.CONFIGURATION_UNKNOWN, detail, retry_after_s=0.3),
            )
        if len(body) > configuration.limits.body_bytes:
            detail = (
                f"body has {len(body)} bytes, limit {configuration.limits.body_bytes}"
            )
            return refuse_call(request, Problem(ResultCode.TOO_LARGE, detail))
        job_call = self._job_endpoints.dispatch(request, configuration, body)
        if job_call is not None:
            return await job_call
        writer = HttpResponseWriter(request, self._host)
        caller_request = _caller_request(request, body, received_s)
        await self._host.relay.serve(caller_request, configuration, writer)
        assert writer.response is not None
        return writer.response


def _refuse_stopping(request: web.BaseRequest) -> web.Response:
    problem = Problem(
        ResultCode.SHUTTING_DOWN,
        "this host is stopping",
        retry_after_s=RETRY_ELSEWHERE_S,
    )
    return refuse_call(request, problem)


async def _handle_metrics(request: web.BaseRequest) -> web.StreamResponse:
    return web.Response(body=metrics_text(), content_type="text/plain")


def _close_connections(server: web.Server) -> None:
    """Close all connections; a request read now would get no response."""
    for connection in server.connections:
        connection.force_close()


def _make_request(
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
        client_max_size=MAX_BODY_BYTES,
    )


def _caller_request(
    request: web.BaseRequest, body: bytes, received_s: float
) -> CallerRequest:
    headers = request.headers
    resume_after = headers.get(names.RESUME_AFTER, "")
    time_budget_ms = headers.get(names.TIME_BUDGET_MS, "")
    time_budget_s = (
        float(time_budget_ms) / 1000
        if time_budget_ms.isdigit()
        else DEFAULT_TIME_BUDGET_S
    )
    return CallerRequest(
        request_id=headers.get(names.REQUEST_ID, ""),
        method=request.method,
        target=request.raw_path,
        host=headers.get("Host", ""),
        headers=tuple(headers.items()),
        body=body,
        received_s=received_s,
        deadline_s=received_s + time_budget_s,
        resume_after=int(resume_after) if resume_after.isdigit() else None,
    )
