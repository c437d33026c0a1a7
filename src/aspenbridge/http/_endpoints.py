"""Wraps each route: counting, timing, tracing and unexpected errors."""

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
    """Adds customers' routes to an application."""

    def __init__(self, app: Sanic[Any, Any], host: HostCore) -> None:
        self._app = app
        self._host = host

    def add(
        self,
        handler: Handler,
        path: str,
        *methods: str,
        always: bool = False,
        takes_file: bool = False,
    ) -> None:
        """
        Add one route.

        :param handler: is given the request, the customer's name and the
            parameters of the path.
        :param always: the route starts no work, so it is never refused.
        :param takes_file: the handler reads the body after the key check.
        """
        name = path.replace("/", "_").replace("<", "").replace(">", "")
        name = f"{name}_{methods[0].lower()}".replace(":", "_")
        self._app.add_route(
            self._wrapped(handler, f"{methods[0]} {path}", always),
            path,
            methods=list(methods),
            name=name,
            stream=takes_file,
        )

    def _wrapped(self, handler: Handler, span_name: str, always: bool) -> Handler:
        ports = self._host.ports
        metric = f"http.{handler.__name__}"

        async def endpoint(request: Request, **values: Any) -> HTTPResponse | None:
            parent = parent_context(request.headers.get(TRACEPARENT))
            span = ports.tracer.start_span(span_name, parent, SpanKind.SERVER)
            started_s = time.perf_counter()
            with self._host.running.track(), use_span(span, end_on_exit=True):
                response = await self._answer(handler, request, values, always)
                _pass_on_trace(response)
            ports.metrics.time(metric, time.perf_counter() - started_s)
            return response

        return endpoint

    async def _answer(
        self, handler: Handler, request: Request, values: dict[str, Any], always: bool
    ) -> HTTPResponse | None:
        try:
            return await handler(request, self._customer(request, always), **values)
        except ProblemError as error:
            self._host.ports.metrics.count(f"http.problem.{int(error.problem.code)}")
            return problem_reply(error.problem)

    def _customer(self, request: Request, always: bool) -> str:
        caller = authenticate(request, self._host.view, "customer")
        refusal = None if always else self._host.refusal()
        if refusal is not None:
            raise refusal.error()
        return caller.name


def _pass_on_trace(response: HTTPResponse | None) -> None:
    traceparent = current_traceparent()
    if response is not None and traceparent:
        response.headers[TRACEPARENT] = traceparent
