"""HTTP endpoints of batch jobs: submit, read results and items, end."""

from __future__ import annotations

from typing import TYPE_CHECKING

from aiohttp import web

from aspenbridge.fleet import CallKind, virtual_host
from aspenbridge.result_codes import Problem, ResultCode

from . import _names as names
from ._caller_connections import connection_of
from ._counted_connections import no_memory_problem
from ._decode import MessageError, decode_submission, encode_results
from ._parameters import (
    ParameterError,
    check_job_id,
    duration_s,
    job_id_of,
    whole_number,
)
from ._problems import JSON_CONTENT_TYPE
from ._replies import refuse_call, response_from_result

if TYPE_CHECKING:
    from collections.abc import Awaitable

    from aspenbridge.fleet import Configuration, Route
    from aspenbridge.jobs import JobService
    from aspenbridge.limits import MemoryBudget
    from aspenbridge.relay import Custody

MAX_WAIT_S = 5.0  # bounds the wait for results that a caller asks for


class JobEndpoints:
    """Passes callers' requests about batch jobs to the job service."""

    def __init__(self, job_service: JobService, job_memory: MemoryBudget) -> None:
        self._job_service = job_service
        self._job_memory = job_memory

    def dispatch(
        self,
        request: web.BaseRequest,
        configuration: Configuration,
        body: bytes,
        custody: Custody,
    ) -> Awaitable[web.StreamResponse] | None:
        """
        Return the handling of a request about a batch job, to be awaited.

        Submissions are recognized by their batch route. Requests for results
        and item bodies have fixed path prefixes; a configured route that
        matches the path takes precedence over them.

        :param custody: asked before the store gets a change.
        :return: None when the request is not about a batch job, or has another
            method than POST on a batch route.
        :raises ParameterError: when the path holds no id of a batch job, or
            when awaited, for another parameter.
        """
        host = virtual_host(request.headers.get("Host", ""))
        path = request.raw_path.partition("?")[0]
        route = configuration.route_for(host, path)
        if route is not None and route.kind is CallKind.BATCH:
            if request.method == "POST":
                return self._submit_job(request, host, route, body, custody)
            return None
        if route is not None:
            return None
        if path.startswith(names.RESULTS_PATH):
            job_id = job_id_of(path.removeprefix(names.RESULTS_PATH))
            if request.method == "DELETE":
                return self._end_job(request, job_id, custody)
            return self._read_results(request, job_id)
        if path.startswith(names.ITEM_BODIES_PATH):
            job_id = job_id_of(path.removeprefix(names.ITEM_BODIES_PATH))
            return self._read_item_body(request, job_id)
        return None

    async def _submit_job(
        self,
        request: web.BaseRequest,
        host: str,
        route: Route,
        body: bytes,
        custody: Custody,
    ) -> web.StreamResponse:
        job_id = check_job_id(
            names.REQUEST_ID, request.headers.get(names.REQUEST_ID, "")
        )
        # The decoded items, and then their encoded form, besides the body.
        if not connection_of(request).memory.reserve(len(body)):
            return refuse_call(request, no_memory_problem("a batch job"))
        try:
            submission = decode_submission(job_id, host, body)
        except MessageError as error:
            problem = Problem(ResultCode.MALFORMED_BODY, str(error))
            return refuse_call(request, problem)
        del body  # which may be large
        with self._job_memory.hold() as memory:
            # A job that is larger than the memory of all may be the only one.
            size_bytes = min(submission.size_bytes, self._job_memory.limit_bytes)
            if not memory.reserve(size_bytes):
                return refuse_call(request, no_memory_problem("another batch job"))
            result = await self._job_service.submit(submission, route, custody.pass_on)
        return response_from_result(request, result, lambda _: web.Response(status=202))

    async def _read_results(
        self, request: web.BaseRequest, job_id: str
    ) -> web.StreamResponse:
        first_position = whole_number("after", request.query.get("after", "0"))
        wait_s = duration_s(names.WAIT_MS, request.headers.get(names.WAIT_MS, "0"))
        result = await self._job_service.results(
            job_id, first_position, min(wait_s, MAX_WAIT_S)
        )
        return response_from_result(
            request,
            result,
            lambda page: _held_response(
                request, encode_results(page), JSON_CONTENT_TYPE
            ),
        )

    async def _read_item_body(
        self, request: web.BaseRequest, job_id: str
    ) -> web.StreamResponse:
        item_id = request.query.get("id", "")
        if not item_id:
            raise ParameterError("id", item_id, "the id of an item")
        result = await self._job_service.body(job_id, item_id)
        return response_from_result(
            request, result, lambda body: _held_response(request, body)
        )

    async def _end_job(
        self, request: web.BaseRequest, job_id: str, custody: Custody
    ) -> web.StreamResponse:
        result = await self._job_service.end(job_id, custody.pass_on)
        return response_from_result(request, result, lambda _: web.Response(status=200))


def _held_response(
    request: web.BaseRequest,
    body: bytes,
    content_type: str = "application/octet-stream",
) -> web.Response:
    """Return a response whose body counts until it is taken, or a refusal."""
    if not connection_of(request).memory.grow(len(body)):
        return refuse_call(request, no_memory_problem("the body of a response"))
    return web.Response(body=body, content_type=content_type)
