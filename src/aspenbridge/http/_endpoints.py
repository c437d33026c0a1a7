"""
Wraps the handlers of customers' routes.

The wrapper authenticates the customer, refuses new work while the host accepts
none, counts the running request, times and traces it, and turns a
``ProblemError`` into its reply.
"""

from __future__ import annotations

import time
from typing import TYPE_CHECKING, Any

from opentelemetry.trace import SpanKind, use_span

from aspenbridge.result_codes import ProblemError
from aspenbridge.telemetry import TRACEPARENT, current_traceparent, parent_context

from ._auth import authenticate
from ._replies import problem_reply

if TYPE_CHECKING:
    from collections.abc import Callable, Coroutine

    from sanic import HTTPResponse, Request, Sanic

    from aspenbridge.host import HostCore

    Handler = Callable[..., Coroutine[Any, Any, HTTPResponse | None]]


class Endpoints:
    """Adds routes for customers to an application."""

    def __init__(self, app: Sanic[Any, Any], host: HostCore) -> None:
        self._app = app
        self._host = host

    def add(
        self,
        handler: Handler,
        path: str,
        *methods: str,
        always_admitted: bool = False,
        handler_reads_body: bool = False,
    ) -> None:
        """
        Add one route.

        :param handler: called with the request, the customer's name and the
            path parameters; its name becomes part of the timing metric.
        :param always_admitted: serve the route also while the host refuses
            new work; for routes that start none.
        :param handler_reads_body: leave the body unread until the handler
            reads it, so that an upload without a valid key is not read.
        """
        name = path.replace("/", "_").replace("<", "").replace(">", "")
        name = f"{name}_{methods[0].lower()}".replace(":", "_")
        self._app.add_route(
            self._wrap(handler, f"{methods[0]} {path}", always_admitted),
            path,
            methods=list(methods),
            name=name,
            stream=handler_reads_body,
        )

    def _wrap(self, handler: Handler, span_name: str, always_admitted: bool) -> Handler:
        ports = self._host.ports
        metric = f"http.{handler.__name__}"

        async def endpoint(
            request: Request, **path_parameters: Any
        ) -> HTTPResponse | None:
            parent = parent_context(request.headers.get(TRACEPARENT))
            span = ports.tracer.start_span(span_name, parent, SpanKind.SERVER)
            started_s = time.perf_counter()
            with self._host.running.track(), use_span(span, end_on_exit=True):
                response = await self._call_handler(
                    handler, request, path_parameters, always_admitted
                )
                _add_trace_header(response)
            ports.metrics.time(metric, time.perf_counter() - started_s)
            return response

        return endpoint

    async def _call_handler(
        self,
        handler: Handler,
        request: Request,
        path_parameters: dict[str, Any],
        always_admitted: bool,
    ) -> HTTPResponse | None:
        try:
            return await handler(
                request,
                self._admit_customer(request, always_admitted),
                **path_parameters,
            )
        except ProblemError as error:
            self._host.ports.metrics.count(f"http.problem.{int(error.problem.code)}")
            return problem_reply(error.problem)

    def _admit_customer(self, request: Request, always_admitted: bool) -> str:
        caller = authenticate(request, self._host.view, "customer")
        refusal = None if always_admitted else self._host.refusal()
        if refusal is not None:
            raise refusal.error()
        return caller.name


def _add_trace_header(response: HTTPResponse | None) -> None:
    traceparent = current_traceparent()
    if response is not None and traceparent:
        response.headers[TRACEPARENT] = traceparent
