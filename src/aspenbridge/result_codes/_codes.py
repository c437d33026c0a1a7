"""Defines the result codes and the HTTP status and title of each."""

from __future__ import annotations

from enum import Enum, IntEnum

import attrs


class Execution(Enum):
    """Whether the requested work ran, as far as the host can tell."""

    NOT_RUN = "not run"
    RAN = "ran"
    UNKNOWN = "outcome unknown"


class ResultCode(IntEnum):
    """Numbers of all outcomes that are reported to callers and operators."""

    OK = 1000
    MALFORMED_BODY = 2001
    UNAUTHENTICATED = 2002
    FORBIDDEN = 2003
    NOT_FOUND = 2004
    IDEMPOTENCY_CONFLICT = 2005
    TOO_LARGE = 2006
    UNKNOWN_MODEL = 2007
    DUPLICATE_CUSTOM_ID = 2008
    INVALID_PARAMETER = 2009
    REQUEST_CRASHES_ENGINES = 2010
    CANCELLED = 2011
    BODY_TOO_SLOW = 2012
    OVERLOADED = 3001
    CUSTOMER_LIMIT = 3002
    DEADLINE_EXCEEDED = 3003
    NO_ENGINE_ALLOWED = 3004
    REQUEST_QUARANTINED = 3005
    DEADLINE_BEFORE_RUN = 3006
    ROUTE_FULL = 3007
    PROMPT_PART_HELD = 3008
    STORE_UNAVAILABLE = 4001
    OUTCOME_UNKNOWN = 4002
    BACKEND_FAILED = 4003
    CONFIGURATION_UNKNOWN = 4004
    SHUTTING_DOWN = 4005
    STREAM_TRUNCATED = 4006
    FENCED = 4007
    INTERNAL_ERROR = 4008
    REVISION_CONFLICT = 5001
    BAD_SELECTOR = 5002
    BAD_CONFIGURATION = 5003


@attrs.frozen
class CodeInfo:
    """HTTP status, title and default execution state of one result code."""

    code: ResultCode
    status: int
    title: str
    execution: Execution


def _row(
    code: ResultCode,
    status: int,
    title: str,
    execution: Execution = Execution.NOT_RUN,
) -> CodeInfo:
    return CodeInfo(code, status, title, execution)


_ROWS = (
    _row(ResultCode.OK, 200, "Done", Execution.RAN),
    _row(ResultCode.MALFORMED_BODY, 400, "The body can't be read"),
    _row(ResultCode.UNAUTHENTICATED, 401, "The API key is missing or unknown"),
    _row(ResultCode.FORBIDDEN, 403, "The API key may not do this"),
    _row(ResultCode.NOT_FOUND, 404, "There is no such object"),
    _row(
        ResultCode.IDEMPOTENCY_CONFLICT,
        409,
        "The idempotency key was used with another body",
    ),
    _row(ResultCode.TOO_LARGE, 413, "The request is larger than the limit"),
    _row(ResultCode.UNKNOWN_MODEL, 404, "No model has this name"),
    _row(ResultCode.DUPLICATE_CUSTOM_ID, 400, "Two items share a custom_id"),
    _row(ResultCode.INVALID_PARAMETER, 400, "A parameter has a wrong value"),
    _row(
        ResultCode.REQUEST_CRASHES_ENGINES,
        422,
        "The request crashed each engine that ran it",
        Execution.RAN,
    ),
    _row(ResultCode.CANCELLED, 409, "The job was cancelled"),
    _row(ResultCode.BODY_TOO_SLOW, 408, "The request came too slowly"),
    _row(ResultCode.OVERLOADED, 503, "The fleet is full"),
    _row(ResultCode.CUSTOMER_LIMIT, 429, "The customer is over its share"),
    _row(ResultCode.DEADLINE_EXCEEDED, 504, "The deadline passed"),
    _row(ResultCode.NO_ENGINE_ALLOWED, 503, "No engine may run this request"),
    _row(
        ResultCode.REQUEST_QUARANTINED,
        503,
        "Engines crashed under this request, and it waits for a trial",
    ),
    _row(
        ResultCode.DEADLINE_BEFORE_RUN,
        503,
        "The deadline passed before an engine ran the request",
    ),
    _row(
        ResultCode.ROUTE_FULL,
        429,
        "As many tokens wait on the route as may wait there",
    ),
    _row(
        ResultCode.PROMPT_PART_HELD,
        503,
        "Engines crashed under requests that share a part of this prompt",
    ),
    _row(ResultCode.STORE_UNAVAILABLE, 503, "The platform's store is down"),
    _row(
        ResultCode.OUTCOME_UNKNOWN,
        502,
        "It is not known whether the call ran",
        Execution.UNKNOWN,
    ),
    _row(
        ResultCode.BACKEND_FAILED,
        502,
        "The backend server failed",
        Execution.UNKNOWN,
    ),
    _row(
        ResultCode.CONFIGURATION_UNKNOWN,
        503,
        "The host can't tell whether its configuration is current",
    ),
    _row(ResultCode.SHUTTING_DOWN, 503, "The host is shutting down"),
    _row(
        ResultCode.STREAM_TRUNCATED,
        502,
        "The stream ended before the answer did",
        Execution.UNKNOWN,
    ),
    _row(ResultCode.FENCED, 503, "The host lost its ownership of the work"),
    _row(
        ResultCode.INTERNAL_ERROR,
        500,
        "The host failed in a way it does not know",
        Execution.UNKNOWN,
    ),
    _row(ResultCode.REVISION_CONFLICT, 409, "Another change came first"),
    _row(ResultCode.BAD_SELECTOR, 400, "The selector can't be read"),
    _row(ResultCode.BAD_CONFIGURATION, 400, "The configuration is not valid"),
)

_TABLE = {row.code: row for row in _ROWS}


def code_table() -> dict[ResultCode, CodeInfo]:
    """Return the information on each result code, in numeric order."""
    return _TABLE
