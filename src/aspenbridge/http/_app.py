"""The sanic application of one host."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from sanic import HTTPResponse, Request, Sanic
from sanic.config import Config
from sanic.exceptions import SanicException

from aspenbridge.result_codes import Problem, ProblemError, ResultCode

from ._customers import add_customer_routes
from ._operators import add_operator_routes
from ._replies import json_reply, problem_reply

if TYPE_CHECKING:
    from aspenbridge.host import HostCore
    from aspenbridge.settings import ListenSettings

NOT_READY = 503
CODES_BY_STATUS = {
    404: ResultCode.NOT_FOUND,
    405: ResultCode.NOT_FOUND,
    413: ResultCode.TOO_LARGE,
}


def make_app(host: HostCore) -> Sanic[Any, Any]:
    """Return the application that serves callers, operators and health."""
    settings = host.settings.listen
    app = Sanic(
        f"aspenbridge-{id(host)}", config=_config(settings), configure_logging=False
    )
    app.error_handler.add(ProblemError, _problem)
    app.error_handler.add(SanicException, _library_error)
    add_customer_routes(app, host)
    add_operator_routes(app, host)

    @app.get("/health/live")
    async def live(_: Request) -> HTTPResponse:
        return json_reply({"state": host.state})

    @app.get("/health/ready")
    async def ready(_: Request) -> HTTPResponse:
        return json_reply({"state": host.state}, 200 if host.ready else NOT_READY)

    return app


def _config(settings: ListenSettings) -> Config:
    return Config(
        {
            "MOTD": False,
            "ACCESS_LOG": False,
            "REQUEST_MAX_SIZE": settings.max_file_bytes,
            "REQUEST_MAX_HEADER_SIZE": settings.max_header_bytes,
            "REQUEST_TIMEOUT": settings.read_timeout_s,
            "RESPONSE_TIMEOUT": 3600.0,
        }
    )


async def _problem(_: Request, error: ProblemError) -> HTTPResponse:
    return problem_reply(error.problem)


async def _library_error(_: Request, error: SanicException) -> HTTPResponse:
    code = CODES_BY_STATUS.get(error.status_code, ResultCode.MALFORMED_BODY)
    return problem_reply(Problem(code, str(error)))
