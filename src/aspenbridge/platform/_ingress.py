"""The HTTP surface of a host: callers' requests, batch jobs, readiness."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Self, TypeVar

from aiohttp import web
from returns.result import Failure

from aspenbridge.fleet import CallKind, virtual_host
from aspenbridge.loop import listening_socket
from aspenbridge.observability import log_decision, metrics_text
from aspenbridge.relay import CallerRequest
from aspenbridge.resources import StackOwner
from aspenbridge.result_codes import Problem, ResultCode

from . import _names as names
from ._decode import MessageError, decode_submission, encode_results

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from aiohttp import StreamReader
    from aiohttp.abc import AbstractStreamWriter
    from aiohttp.http import RawRequestMessage
    from aiohttp.web_protocol import RequestHandler
    from returns.result import Result

    from aspenbridge.entry import Address, EntryHost
    from aspenbridge.fleet import Configuration, Route
    from aspenbridge.ports import AnswerHead

LARGEST_BODY_BYTES = 16 * 1024 * 1024  # four times the largest limit configured
LARGEST_HEADER_BYTES = 32 * 1024  # twice the largest limit configured
# Callers reuse connections for four fifths of the idle limit of 15 s.
KEEPALIVE_S = 60.0
LONGEST_WAIT_S = 5.0
LAST_PART_S = 2.5  # twice the longest streams of a full engine
QUIET_S = 0.3  # a caller that was told to close sends its next request elsewhere
DEFAULT_DEADLINE_S = 30.0
JSON = "application/json"
Value = TypeVar("Value")


class HttpReply:
    """Writes one answer to a caller."""

    def __init__(self, request: web.BaseRequest, host: EntryHost) -> None:
        self._request = request
        self._host = host
        self.response: web.StreamResponse | None = None

    async def begin(self, head: AnswerHead) -> None:
        """Send status and headers."""
        response = web.StreamResponse(status=head.status)
        for name, value in head.headers:
            response.headers.add(name, value)
        response.enable_chunked_encoding()
        if self._host.leaving:
            response.force_close()
        self.response = response
        await response.prepare(self._request)

    async def write(self, data: bytes) -> None:
        """Send a part of the body."""
        assert self.response is not None
        await self.response.write(data)

    async def finish(self) -> None:
        """End the body."""
        assert self.response is not None
        await self.response.write_eof()

    def abort(self) -> None:
        """End the connection in the middle of the answer."""
        if self._request.transport is not None:
            self._request.transport.close()

    async def refuse(self, problem: Problem) -> None:
        """Answer with a failure of this system's own."""
        self.response = problem_response(problem)


def problem_response(problem: Problem) -> web.Response:
    """Return the answer that stands for a problem."""
    response = web.json_response(
        {
            "code": int(problem.code),
            "error": problem.detail,
            "execution": problem.execution.value,
        },
        status=problem.status,
    )
    if problem.retry_after_s is not None:
        response.headers[names.RETRY_AFTER] = f"{problem.retry_after_s:.3f}"
    return response


class Ingress(StackOwner):
    """Serves callers on one address and readiness on another."""

    def __init__(
        self, host: EntryHost, callers: Address, readiness: Address, metrics: Address
    ) -> None:
        super().__init__()
        self._host = host
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
            return _refused(
                request,
                Problem(ResultCode.CONFIGURATION_UNKNOWN, detail, retry_after_s=0.3),
            )
        if len(body) > configuration.limits.body_bytes:
            detail = f"body of {len(body)} bytes is over the limit"
            return _refused(request, Problem(ResultCode.TOO_LARGE, detail))
        action = self._job_call(request, configuration, body)
        if action is not None:
            return await action
        reply = HttpReply(request, self._host)
        caller_request = _caller_request(request, body, received_s)
        await self._host.relay.serve(caller_request, configuration, reply)
        assert reply.response is not None
        return reply.response

    def _job_call(
        self, request: web.BaseRequest, configuration: Configuration, body: bytes
    ) -> Awaitable[web.StreamResponse] | None:
        """Return the call on a batch job that a request is, or None."""
        host = virtual_host(request.headers.get("Host", ""))
        path = request.raw_path.partition("?")[0]
        route = configuration.route_for(host, path)
        if route is not None and route.kind is CallKind.BATCH:
            if request.method == "POST":
                return self._submit(request, host, route, body)
            return None
        if route is not None:
            return None
        if path.startswith(names.RESULTS_PATH):
            job_id = path.removeprefix(names.RESULTS_PATH)
            if request.method == "DELETE":
                return self._end(request, job_id)
            return self._results(request, job_id)
        if path.startswith(names.BODIES_PATH):
            return self._item_body(request, path.removeprefix(names.BODIES_PATH))
        return None

    async def _submit(
        self,
        request: web.BaseRequest,
        host: str,
        route: Route,
        body: bytes,
    ) -> web.StreamResponse:
        job_id = request.headers.get(names.REQUEST_ID, "")
        try:
            submission = decode_submission(job_id, host, body)
        except MessageError as error:
            problem = Problem(ResultCode.MALFORMED_BODY, str(error))
            return _refused(request, problem)
        accepted = await self._host.desk.submit(submission, route)
        return _reply(request, accepted, lambda _: web.Response(status=202))

    async def _results(
        self, request: web.BaseRequest, job_id: str
    ) -> web.StreamResponse:
        try:
            first = int(request.query.get("after", "0"))
            wait_s = float(request.headers.get(names.WAIT, "0")) / 1000
        except ValueError as error:
            problem = Problem(ResultCode.INVALID_PARAMETER, str(error))
            return _refused(request, problem)
        page = await self._host.desk.results(
            job_id, max(0, first), min(wait_s, LONGEST_WAIT_S)
        )
        return _reply(
            request,
            page,
            lambda p: web.Response(body=encode_results(p), content_type=JSON),
        )

    async def _item_body(
        self, request: web.BaseRequest, job_id: str
    ) -> web.StreamResponse:
        body = await self._host.desk.body(job_id, request.query.get("id", ""))
        return _reply(request, body, lambda found: web.Response(body=found))

    async def _end(self, request: web.BaseRequest, job_id: str) -> web.StreamResponse:
        ended = await self._host.desk.end(job_id)
        return _reply(request, ended, lambda _: web.Response(status=200))


async def _handle_metrics(request: web.BaseRequest) -> web.StreamResponse:
    return web.Response(body=metrics_text(), content_type="text/plain")


def _close_connections(server: web.Server) -> None:
    """Close at once; a request that is read now would not be answered."""
    for connection in server.connections:
        connection.force_close()


def _reply(
    request: web.BaseRequest,
    result: Result[Value, Problem],
    make: Callable[[Value], web.Response],
) -> web.Response:
    if isinstance(result, Failure):
        return _refused(request, result.failure())
    return make(result.unwrap())


def _refused(request: web.BaseRequest, problem: Problem) -> web.Response:
    """Answer a call that no engine was tried for, and say why."""
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
