"""The HTTP servers of a host: callers, readiness probes and metrics."""

from __future__ import annotations

import asyncio
import logging
import math
from typing import TYPE_CHECKING, Self

import attrs
from aiohttp import web

from aspenbridge.limits import Places
from aspenbridge.loop import listening_socket
from aspenbridge.observability import log_decision, metrics_text
from aspenbridge.relay import CallerRequest, Custody
from aspenbridge.resources import StackOwner
from aspenbridge.result_codes import Problem, ResultCode, stopping_problem

from . import _names as names
from ._caller_connections import (
    MAX_BODY_BYTES,
    CallerConnection,
    CallerServer,
    check_announced,
    connection_of,
    read_body,
)
from ._counted_connections import BodyError, CountingServer
from ._job_endpoints import JobEndpoints
from ._parameters import (
    ParameterError,
    check_header,
    check_target,
    duration_s,
    whole_number,
)
from ._prompts import shared_prompt_parts
from ._replies import HttpResponseWriter, refuse_call, send_continue

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from aiohttp import StreamReader
    from aiohttp.abc import AbstractStreamWriter
    from aiohttp.http import RawRequestMessage
    from aiohttp.web_protocol import RequestHandler

    from aspenbridge.entry import Address, EntryHost

logger = logging.getLogger(__name__)
# The server's own limit lies above any that an operator configures, by a
# factor of two.
MAX_HEADER_BYTES = 32 * 1024
# Longer than callers reuse an idle connection: they do so for four fifths of
# the idle limit of 15 s.
KEEPALIVE_TIMEOUT_S = 60.0
# How long before the end of a drain the requests that still run are given up,
# so that their callers get an error instead of a closed connection.
LAST_RESPONSES_S = 0.2
CLOSE_INTERVAL_S = 0.05  # how often a drain looks for idle connections
# Passes of the loop in which a connection is accepted, and then read.
SOCKET_PASSES = 4
DEFAULT_TIME_BUDGET_S = 30.0  # for a request that states no time budget
# Connections at the port of readiness, and at that of metrics; the platform
# needs one of each.
PROBE_PLACES = 24
# Metrics take some milliseconds to collect, and the platform asks every 5 s.
METRICS_KEPT_S = 0.1
# What the kernel keeps of a connection that is not read. One read of the
# loop returns no more.
RECEIVE_BUFFER_BYTES = 64 * 1024
# While twice as much of a body waits to be read, or more than a sixteenth of
# it in chunks, its connection is not read.
READ_BUFFER_BYTES = 16 * 1024


@attrs.define(eq=False)
class RunningCall:
    """A caller's request that this host handles."""

    request_id: str
    custody: Custody
    limit: asyncio.Timeout = attrs.field(factory=lambda: asyncio.timeout(None))

    def give_up(self, reason: str) -> None:
        """End the handling of the request, which happens a moment later."""
        if self.custody.given_up:
            return
        log_decision(
            "request given up",
            request=self.request_id,
            reason=reason,
            passed_on=self.custody.passed_on,
        )
        self.custody.give_up()
        self.limit.reschedule(asyncio.get_running_loop().time())


class Ingress(StackOwner):
    """Serves callers, readiness probes and metrics on separate addresses."""

    def __init__(
        self, host: EntryHost, callers: Address, readiness: Address, metrics: Address
    ) -> None:
        super().__init__()
        self._host = host
        self._job_endpoints = JobEndpoints(host.job_service, host.job_memory)
        self._caller_address = callers
        self._readiness_address = readiness
        self._metrics_address = metrics
        self._metrics = b""
        self._metrics_until_s = 0.0  # when they have to be collected again
        self._caller_listeners: list[asyncio.Server] = []
        self._running_calls: set[RunningCall] = set()
        # When this host refuses all requests that it has not passed on. The
        # clock decides, since the task that begins a drain may run late.
        self.refuse_from_s = math.inf
        budget = host.caller_memory
        places = self._places("callers", host.max_connections)
        budget.on_short = places.free_memory
        self._caller_server = CallerServer(
            self._handle,
            handler_cancellation=True,
            request_factory=_make_request,
            keepalive_timeout=KEEPALIVE_TIMEOUT_S,
            max_line_size=MAX_HEADER_BYTES,
            max_field_size=MAX_HEADER_BYTES,
            auto_decompress=False,
            access_log=None,
            read_bufsize=READ_BUFFER_BYTES,
            budget=budget,
            places=places,
            take_limit_s=self._idle_limit_s,
        )

    def _places(self, port: str, limit: int) -> Places:
        budget = self._host.caller_memory
        places = Places(budget, limit, self._host.ports.clock.now_s)
        places.on_crowding = lambda crowding: log_decision(
            "callers crowd a port",
            port=port,
            connections=len(places),
            refused=crowding.refused,
            given_up=crowding.given_up,
            free_bytes=budget.free_bytes,
        )
        return places

    def _probe_server(
        self,
        port: str,
        handler: Callable[[web.BaseRequest], Awaitable[web.StreamResponse]],
    ) -> CountingServer:
        """Return a server for the platform's own calls, which have no body."""
        return CountingServer(
            handler,
            access_log=None,
            lingering_time=0.0,
            budget=self._host.caller_memory,
            places=self._places(port, PROBE_PLACES),
            take_limit_s=self._idle_limit_s,
        )

    async def __aenter__(self) -> Self:
        for server, address in (
            (
                self._probe_server("metrics", self._handle_metrics),
                self._metrics_address,
            ),
            (
                self._probe_server("readiness", self._handle_readiness),
                self._readiness_address,
            ),
            (self._caller_server, self._caller_address),
        ):
            sock = listening_socket(
                address.ip, address.port, receive_buffer_bytes=RECEIVE_BUFFER_BYTES
            )
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
        Wait until the accepted requests have ended and refuse all others.

        Each connection is closed once its requests are answered. Requests that
        nobody else has are refused at once, as not run. Those that still run
        ``LAST_RESPONSES_S`` before the timeout are given up; their callers get
        an error if their response has not begun.

        :param timeout_s: how long to wait for requests to end, in seconds.
        :return: whether all requests ended in time.
        """
        now_s = self._host.ports.clock.now_s()
        deadline_s = now_s + timeout_s
        self.refuse_from_s = min(self.refuse_from_s, now_s)
        # Connections and requests that came while the loop was late are read
        # before their listener or connection is closed.
        await _look_at_sockets()
        for listener in self._caller_listeners:
            listener.close()
        waiting = [c for c in self._running_calls if not c.custody.passed_on]
        log_decision(
            "drain begins",
            late_ms=round((now_s - self.refuse_from_s) * 1000),
            running=self.running_requests,
            waiting=len(waiting),
        )
        for call in waiting:
            call.give_up("new work is refused")
        complete = await self._close_connections(deadline_s - LAST_RESPONSES_S)
        if not complete:
            logger.warning("giving up %d running requests", self.running_requests)
            for call in self._running_calls:
                call.give_up("time is over")
            await self._close_connections(deadline_s)
        log_decision(
            "drain ended",
            complete=complete,
            running=self.running_requests,
            drain_ms=round((self._host.ports.clock.now_s() - now_s) * 1000),
        )
        return complete

    async def _close_connections(self, deadline_s: float) -> bool:
        """
        Close connections as they become idle; return whether none is left.

        One whose caller has not received all of its last response is left.
        """
        while connections := self._caller_server.connections:
            for connection in connections:
                if isinstance(connection, CallerConnection) and connection.idle:
                    connection.force_close()
            remaining_s = deadline_s - self._host.ports.clock.now_s()
            if remaining_s <= 0:
                return False
            await asyncio.sleep(min(remaining_s, CLOSE_INTERVAL_S))
            await _look_at_sockets()
        return True

    @property
    def _refuses_new(self) -> bool:
        return self._host.ports.clock.now_s() >= self.refuse_from_s

    @property
    def running_requests(self) -> int:
        """The number of requests that are being served now."""
        return len(self._running_calls)

    async def _handle_readiness(self, request: web.BaseRequest) -> web.StreamResponse:
        return web.Response(status=200 if self._host.ready else 503)

    async def _handle_metrics(self, request: web.BaseRequest) -> web.StreamResponse:
        now_s = self._host.ports.clock.now_s()
        if now_s >= self._metrics_until_s:
            self._metrics = metrics_text()
            self._metrics_until_s = now_s + METRICS_KEPT_S
        return web.Response(body=self._metrics, content_type="text/plain")

    async def _handle(self, request: web.BaseRequest) -> web.StreamResponse:
        call = RunningCall(
            request.headers.get(names.REQUEST_ID, ""),
            Custody(lambda: self._refuses_new),
        )
        self._running_calls.add(call)
        try:
            response = await self._serve_until(call, request)
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
            self._running_calls.discard(call)

    async def _serve_until(
        self, call: RunningCall, request: web.BaseRequest
    ) -> web.StreamResponse:
        """Serve a request unless a drain gives it up before it has ended."""
        waited_s = connection_of(request).take_age_s()
        received_s = self._host.ports.clock.now_s() - waited_s
        writer = HttpResponseWriter(request, self._host)
        try:
            async with call.limit:
                if self._refuses_new:
                    return refuse_call(request, stopping_problem())
                check_announced(request, self._max_body_bytes())
                send_continue(request)
                # No name here keeps the body while it is served.
                return await self._serve(
                    request,
                    await read_body(
                        request, self._idle_limit_s(), self._max_body_bytes()
                    ),
                    received_s,
                    writer,
                    call.custody,
                )
        except BodyError as error:
            response = refuse_call(request, error.problem)
            connection_of(request).drop_rest()
            response.force_close()
            return response
        except ParameterError as error:
            problem = Problem(ResultCode.INVALID_PARAMETER, str(error))
            return refuse_call(request, problem)
        except TimeoutError:
            if not call.limit.expired():
                raise
        if not call.custody.passed_on:
            return refuse_call(request, stopping_problem())
        if writer.response is not None:
            writer.abort()
            return writer.response
        detail = "the host stopped before an answer came"
        return refuse_call(request, Problem(ResultCode.OUTCOME_UNKNOWN, detail))

    def _idle_limit_s(self) -> float:
        configuration = self._host.configuration.current
        return (
            KEEPALIVE_TIMEOUT_S
            if configuration is None
            else configuration.limits.idle_s
        )

    def _max_body_bytes(self) -> int:
        configuration = self._host.configuration.current
        max_bytes = min(MAX_BODY_BYTES, self._host.caller_memory.largest_share_bytes)
        if configuration is None:
            return max_bytes
        return min(max_bytes, configuration.limits.body_bytes)

    async def _serve(
        self,
        request: web.BaseRequest,
        body: bytes,
        received_s: float,
        writer: HttpResponseWriter,
        custody: Custody,
    ) -> web.StreamResponse:
        if self._refuses_new or connection_of(request).close_announced:
            return refuse_call(request, stopping_problem())
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
        job_call = self._job_endpoints.dispatch(request, configuration, body, custody)
        if job_call is not None:
            del body  # which the call frees once it has decoded it
            return await job_call
        caller_request = _caller_request(request, body, received_s)
        await self._host.relay.serve(caller_request, configuration, writer, custody)
        assert writer.response is not None
        return writer.response


async def _look_at_sockets() -> None:
    """Have the loop accept and read what waits, which it does after timers."""
    for _ in range(SOCKET_PASSES):
        await asyncio.sleep(0)


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
    )


def _caller_request(
    request: web.BaseRequest, body: bytes, received_s: float
) -> CallerRequest:
    """
    Return the request that a caller sent.

    :raises ParameterError: when its target or a header has a wrong value.
    """
    check_target(request.raw_path)
    headers = request.headers
    resume_after = headers.get(names.RESUME_AFTER)
    time_budget_ms = headers.get(names.TIME_BUDGET_MS)
    time_budget_s = (
        DEFAULT_TIME_BUDGET_S
        if time_budget_ms is None
        else duration_s(names.TIME_BUDGET_MS, time_budget_ms)
    )
    resume_after_id = (
        None if resume_after is None else whole_number(names.RESUME_AFTER, resume_after)
    )
    for name, value in headers.items():
        check_header(name, value)
    header_fields = tuple(headers.items())
    return CallerRequest(
        request_id=headers.get(names.REQUEST_ID, ""),
        method=request.method,
        target=request.raw_path,
        host=headers.get("Host", ""),
        headers=header_fields,
        body=body,
        received_s=received_s,
        deadline_s=received_s + time_budget_s,
        resume_after=resume_after_id,
        prompt_parts=shared_prompt_parts(header_fields),
        memory=connection_of(request).memory,
    )
