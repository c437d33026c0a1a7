"""How callers are told of errors of this system itself."""

from __future__ import annotations

from http import HTTPStatus
from typing import TYPE_CHECKING, Any

import msgspec
from aiohttp import web

from . import _names as names

if TYPE_CHECKING:
    from aspenbridge.result_codes import Problem

JSON_CONTENT_TYPE = "application/json"


def problem_response(problem: Problem) -> web.Response:
    """Return the JSON response that describes a problem."""
    response = web.json_response(_fields(problem), status=problem.status)
    response.headers.update(_retry_header(problem))
    return response


def problem_bytes(problem: Problem) -> bytes:
    """Return the response to a request whose head did not come whole."""
    body = msgspec.json.encode(_fields(problem))
    headers = {
        "Content-Type": JSON_CONTENT_TYPE,
        "Content-Length": str(len(body)),
        "Connection": "close",
        **_retry_header(problem),
    }
    lines = [f"HTTP/1.1 {problem.status} {HTTPStatus(problem.status).phrase}"]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    return "\r\n".join([*lines, "", ""]).encode() + body


def _fields(problem: Problem) -> dict[str, Any]:
    return {
        "code": int(problem.code),
        "error": problem.detail,
        "execution": problem.execution.value,
    }


def _retry_header(problem: Problem) -> dict[str, str]:
    if problem.retry_after_s is None:
        return {}
    return {names.RETRY_AFTER: f"{problem.retry_after_s:.3f}"}
