"""Calls on batch jobs: found by route or path, answered by the desk."""

from __future__ import annotations

from typing import TYPE_CHECKING

from aiohttp import web

from aspenbridge.fleet import CallKind, virtual_host
from aspenbridge.result_codes import Problem, ResultCode

from . import _names as names
from ._decode import MessageError, decode_submission, encode_results
from ._replies import refused, reply_with

if TYPE_CHECKING:
    from collections.abc import Awaitable

    from aspenbridge.fleet import Configuration, Route
    from aspenbridge.jobs import JobService

LONGEST_WAIT_S = 5.0
JSON = "application/json"


class JobCalls:
    """Submits, reads and ends batch jobs for callers."""

    def __init__(self, desk: JobService) -> None:
        self._desk = desk

    def find(
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
            return refused(request, problem)
        accepted = await self._desk.submit(submission, route)
        return reply_with(request, accepted, lambda _: web.Response(status=202))

    async def _results(
        self, request: web.BaseRequest, job_id: str
    ) -> web.StreamResponse:
        try:
            first = int(request.query.get("after", "0"))
            wait_s = float(request.headers.get(names.WAIT, "0")) / 1000
        except ValueError as error:
            problem = Problem(ResultCode.INVALID_PARAMETER, str(error))
            return refused(request, problem)
        page = await self._desk.results(
            job_id, max(0, first), min(wait_s, LONGEST_WAIT_S)
        )
        return reply_with(
            request,
            page,
            lambda p: web.Response(body=encode_results(p), content_type=JSON),
        )

    async def _item_body(
        self, request: web.BaseRequest, job_id: str
    ) -> web.StreamResponse:
        body = await self._desk.body(job_id, request.query.get("id", ""))
        return reply_with(request, body, lambda found: web.Response(body=found))

    async def _end(self, request: web.BaseRequest, job_id: str) -> web.StreamResponse:
        ended = await self._desk.end(job_id)
        return reply_with(request, ended, lambda _: web.Response(status=200))
