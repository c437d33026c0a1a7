"""Encodes replies as JSON or as problem details (RFC 9457)."""

from __future__ import annotations

import math
from typing import Any

import msgspec
from returns.result import Failure, Result
from sanic import HTTPResponse

from aspenbridge.result_codes import Problem, code_table

PROBLEM_TYPE = "application/problem+json"
JSON_TYPE = "application/json"


def value_of(result: Result[Any, Problem]) -> Any:
    """
    Return the value of a successful result.

    :raises ProblemError: when the result is a failure.
    """
    if isinstance(result, Failure):
        raise result.failure().error()
    return result.unwrap()


def json_reply(value: Any, status: int = 200) -> HTTPResponse:
    """Return a reply with an ``attrs`` object or plain values as JSON."""
    return HTTPResponse(msgspec.json.encode(value), status, content_type=JSON_TYPE)


def problem_body(problem: Problem) -> dict[str, Any]:
    """Return the problem details object of a problem."""
    body = {
        "type": f"urn:aspenbridge:result:{int(problem.code)}",
        "title": code_table()[problem.code].title,
        "status": problem.status,
        "code": int(problem.code),
        "detail": problem.detail,
        "execution": problem.execution.value,
    }
    if problem.retry_after_s is not None:
        body["retry_after_s"] = problem.retry_after_s
    return body


def problem_reply(problem: Problem) -> HTTPResponse:
    """Return the HTTP reply of a problem, with Retry-After if one is set."""
    headers = {}
    if problem.retry_after_s is not None:
        headers["retry-after"] = str(math.ceil(problem.retry_after_s))
    return HTTPResponse(
        msgspec.json.encode(problem_body(problem)),
        problem.status,
        headers=headers,
        content_type=PROBLEM_TYPE,
    )
