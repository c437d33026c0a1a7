"""Routes for customers: coding requests, models, services, chat, batches."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from sanic import HTTPResponse

from ._batches import BatchRoutes
from ._bodies import read_idempotency_key
from ._chat import ChatRoutes, chat_work
from ._endpoints import Endpoints
from ._replies import json_reply, value_of

if TYPE_CHECKING:
    from sanic import Request, Sanic

    from aspenbridge.host import HostCore
    from aspenbridge.online import CodingRecord


class CustomerRoutes:
    """
    Handlers of coding requests, models and plain services.

    The names of the handlers are part of the names of their timing metrics.
    """

    def __init__(self, host: HostCore) -> None:
        self._host = host

    async def code(self, request: Request, customer: str) -> HTTPResponse:
        """Accept a coding request, run it and return its result."""
        work, _ = chat_work(self._host, request, customer, "req")
        key = read_idempotency_key(request)
        submission = self._host.coding.submit(work, key)
        record = value_of(await self._host.running.run_shielded(submission))
        return json_reply(_coding_body(record))

    async def read_code(
        self, request: Request, customer: str, request_id: str
    ) -> HTTPResponse:
        """Return the state and result of an accepted coding request."""
        record = value_of(await self._host.coding.read(customer, request_id))
        return json_reply(_coding_body(record))

    async def models(self, request: Request, customer: str) -> HTTPResponse:
        """List the names of the models that the engines serve."""
        names = sorted({engine.model for engine in self._host.view.engines()})
        data = [{"id": name, "object": "model"} for name in names]
        return json_reply({"object": "list", "data": data})

    async def call(
        self, request: Request, customer: str, service: str, path: str
    ) -> HTTPResponse:
        """Forward a call to a plain service and return its reply."""
        time_budget_s = self._host.settings.limits.online_deadline_s
        call = self._host.calls.call(
            customer,
            service,
            request.method,
            f"/{path}",
            request.body,
            read_idempotency_key(request),
            self._host.ports.clock.now_s() + time_budget_s,
        )
        reply = value_of(await self._host.running.run_shielded(call))
        return HTTPResponse(reply.body, reply.status, content_type=reply.content_type)


def add_customer_routes(app: Sanic[Any, Any], host: HostCore) -> None:
    """Add the routes for customers to an application."""
    endpoints = Endpoints(app, host)
    chat, routes = ChatRoutes(host), CustomerRoutes(host)
    endpoints.add(chat.chat, "/v1/chat/completions", "POST")
    endpoints.add(routes.code, "/v1/coding", "POST")
    endpoints.add(
        routes.read_code, "/v1/coding/<request_id>", "GET", always_admitted=True
    )
    endpoints.add(routes.models, "/v1/models", "GET", always_admitted=True)
    service_path = "/v1/services/<service>/<path:path>"
    endpoints.add(routes.call, service_path, "GET", "POST", "PUT", "DELETE")
    _add_batch_routes(endpoints, BatchRoutes(host))


def _add_batch_routes(endpoints: Endpoints, routes: BatchRoutes) -> None:
    endpoints.add(routes.upload, "/v1/files", "POST", handler_reads_body=True)
    endpoints.add(routes.file, "/v1/files/<file_id>", "GET", always_admitted=True)
    endpoints.add(
        routes.content, "/v1/files/<file_id>/content", "GET", always_admitted=True
    )
    endpoints.add(routes.submit, "/v1/batches", "POST")
    endpoints.add(routes.job, "/v1/batches/<job_id>", "GET", always_admitted=True)
    endpoints.add(
        routes.cancel, "/v1/batches/<job_id>/cancel", "POST", always_admitted=True
    )
    endpoints.add(
        routes.results, "/v1/batches/<job_id>/results", "GET", always_admitted=True
    )


def _coding_body(record: CodingRecord) -> dict[str, Any]:
    return {
        "id": record.request_id,
        "state": record.state,
        "text": record.text,
        "served_by": record.served_by,
        "code": record.code,
        "detail": record.detail,
    }


__all__ = ["add_customer_routes", "value_of"]
