"""The sanic application that serves one host's HTTP API."""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING, Any

from sanic import HTTPResponse, Request, Sanic
from sanic.config import Config
from sanic.exceptions import SanicException

from aspenbridge.bounded_requests import BodyLimits, BoundedRequest, bound_requests
from aspenbridge.result_codes import Problem, ProblemError, ResultCode

from ._customers import add_customer_routes
from ._operators import add_operator_routes
from ._replies import json_reply, problem_reply

if TYPE_CHECKING:
    from aspenbridge.host import HostCore
    from aspenbridge.settings import ListenSettings

logger = logging.getLogger(__name__)
STATUS_UNAVAILABLE = 503
RESULT_CODE_BY_STATUS = {
    404: ResultCode.NOT_FOUND,
    405: ResultCode.NOT_FOUND,
    408: ResultCode.BODY_TOO_SLOW,
    413: ResultCode.TOO_LARGE,
}
MIN_SERVER_ERROR_STATUS = 500


def make_app(host: HostCore) -> Sanic[Any, Any]:
    """Return the application with the customer, operator and health routes."""
    settings = host.settings.listen
    app = Sanic(
        f"aspenbridge-{id(host)}",
        config=_sanic_config(settings),
        configure_logging=False,
        request_class=BoundedRequest,
    )
    limits = BodyLimits(
        settings.max_body_bytes, settings.max_file_bytes, settings.read_timeout_s
    )
    bound_requests(app, limits, settings.held_bytes, settings.max_connections)
    app.error_handler.add(ProblemError, _handle_problem)
    app.error_handler.add(SanicException, _handle_sanic_error)
    app.error_handler.add(Exception, _handle_unexpected_error)
    add_customer_routes(app, host)
    add_operator_routes(app, host)

    @app.get("/health/live")
    async def live(_: Request) -> HTTPResponse:
        return json_reply({"state": host.state})

    @app.get("/health/ready")
    async def ready(_: Request) -> HTTPResponse:
        return json_reply(
            {"state": host.state}, 200 if host.ready else STATUS_UNAVAILABLE
        )

    return app


def _sanic_config(settings: ListenSettings) -> Config:
    return Config(
        {
            "MOTD": False,
            "ACCESS_LOG": False,
            "REQUEST_MAX_SIZE": settings.max_body_bytes,
            "REQUEST_MAX_HEADER_SIZE": settings.max_header_bytes,
            "REQUEST_TIMEOUT": settings.read_timeout_s,
            "RESPONSE_TIMEOUT": 3600.0,
        }
    )


async def _handle_problem(_: Request, error: ProblemError) -> HTTPResponse:
    return problem_reply(error.problem)


async def _handle_sanic_error(_: Request, error: SanicException) -> HTTPResponse:
    default_code = ResultCode.MALFORMED_BODY
    if error.status_code >= MIN_SERVER_ERROR_STATUS:
        default_code = ResultCode.INTERNAL_ERROR
    code = RESULT_CODE_BY_STATUS.get(error.status_code, default_code)
    return problem_reply(Problem(code, str(error)))


async def _handle_unexpected_error(request: Request, error: Exception) -> HTTPResponse:
    logger.error("request %s %s failed", request.method, request.path, exc_info=error)
    detail = f"the request failed: {type(error).__name__}"
    return problem_reply(Problem(ResultCode.INTERNAL_ERROR, detail))
