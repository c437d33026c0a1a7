"""Responses to callers: an engine's, or an error of this system itself."""

from __future__ import annotations

from typing import TYPE_CHECKING, TypeVar

from aiohttp import web
from returns.result import Failure

from aspenbridge.observability import log_decision

from . import _names as names

if TYPE_CHECKING:
    from collections.abc import Callable

    from returns.result import Result

    from aspenbridge.entry import EntryHost
    from aspenbridge.ports import AnswerHead
    from aspenbridge.result_codes import Problem

Value = TypeVar("Value")


class HttpResponseWriter:
    """Writes one response to a caller; satisfies ``relay.ResponseWriter``."""

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
        """Close the connection, so that the response is seen as incomplete."""
        if self._request.transport is not None:
            self._request.transport.close()

    async def refuse(self, problem: Problem) -> None:
        """Set the response to an error of this system itself."""
        self.response = problem_response(problem)


def problem_response(problem: Problem) -> web.Response:
    """Return the JSON response that describes a problem."""
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
