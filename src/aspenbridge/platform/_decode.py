"""Converts the platform's messages to and from types of other packages."""

from __future__ import annotations

import re
from collections import Counter
from ipaddress import ip_address
from typing import Annotated, Any, Literal

import msgspec

from aspenbridge.client_connections import describe_error
from aspenbridge.entry import Address
from aspenbridge.fleet import (
    CallKind,
    Configuration,
    EngineEntry,
    RequestLimits,
    Route,
    Target,
)
from aspenbridge.jobs import ItemResult, JobSubmission, ResultPage, SubmittedItem

from ._parameters import ID_PATTERN, shown
from ._prompts import shared_prompt_parts

ROUTE_KINDS = {
    "idempotent": CallKind.IDEMPOTENT,
    "non_idempotent": CallKind.NON_IDEMPOTENT,
    "streaming": CallKind.STREAMING,
    "batch": CallKind.BATCH,
}
ROUTE_TOKEN_LIMIT = "maxCount"
ENGINE_DRAINING = "draining"
RESULT_COMPLETED = "completed"
RESULT_FAILED = "dead_letter"  # an item that ended without an output
DEFAULT_RETENTION_S = 60.0  # for a batch route without retainS
MAX_JOB_ITEMS = 200
MAX_WHOLE_NUMBER = 2**53  # JSON numbers are exact up to it
MAX_TOKENS = MAX_WHOLE_NUMBER
# An item is sent as a request, so its parts must be such as HTTP can carry.
ITEM_PATH_PATTERN = r"^/[!\"$-~]*\Z"
HEADER_NAME_PATTERN = r"^[!#$%&'*+.^_`|~0-9A-Za-z-]+\Z"
HEADER_VALUE_PATTERN = r"^[^\x00-\x08\x0a-\x1f\x7f]*\Z"
MAX_SLOTS = 10_000  # an engine runs far fewer requests at once
ENGINE_ID = re.compile(r"[!-~]{1,200}")  # is sent in a header, and a key of a row
NAME_PATTERN = r"^[^\x00-\x1f\x7f]*\Z"
# What reading a message of another form raises. Deeply nested values raise a
# RecursionError, numbers of hundreds of digits an OverflowError.
FORM_ERRORS = (
    AttributeError,
    LookupError,
    OverflowError,
    RecursionError,
    TypeError,
    ValueError,
)


class MessageError(ValueError):
    """A message lacks a field, or a field has the wrong type or value."""


Quantity = Annotated[float, msgspec.Meta(ge=0, le=MAX_WHOLE_NUMBER)]
Name = Annotated[str, msgspec.Meta(min_length=1, pattern=NAME_PATTERN)]


class _TargetRow(msgspec.Struct):
    service: Name
    weight: Quantity


class _RouteRow(msgspec.Struct):
    """A route on the wire; ``split`` takes precedence over ``service``."""

    name: Name
    host: str
    prefix: str
    routeKind: Literal["idempotent", "non_idempotent", "streaming", "batch"]
    timeoutMs: Quantity
    latencyGoalMs: Quantity
    maxAttempts: Quantity
    service: Name | None = None
    split: list[_TargetRow] | None = None
    gapTargetMs: Quantity | None = None
    completionTargetMs: Quantity | None = None
    retainS: Quantity | None = None
    priority: Quantity | None = None
    resumable: bool | int | None = None


class _LimitsRow(msgspec.Struct):
    maxHeaderBytes: Quantity
    maxBodyBytes: Quantity
    idleTimeoutMs: Quantity


def decode_configuration(value: bytes) -> Configuration:
    """
    Decode the value of the operator's configuration row.

    :raises MessageError: when the value is not a valid configuration.
    """
    try:
        fields = msgspec.json.decode(value)
        limits = msgspec.convert(fields["limits"], _LimitsRow)
        return Configuration(
            version=_decode_version(fields["version"]),
            routes=tuple(map(_decode_route, fields["routes"])),
            limits=RequestLimits(
                header_bytes=int(limits.maxHeaderBytes),
                body_bytes=int(limits.maxBodyBytes),
                idle_s=limits.idleTimeoutMs / 1000,
            ),
        )
    except FORM_ERRORS as error:
        raise MessageError(
            f"configuration is invalid: {describe_error(error)}"
        ) from error


def _decode_version(version: object) -> int:
    # No later version could replace one that is larger than all.
    if type(version) is not int or not 0 <= version <= MAX_WHOLE_NUMBER:
        raise ValueError("version is not a whole number that JSON can hold")
    return version


def _decode_route(fields: dict[str, Any]) -> Route:
    row = msgspec.convert(fields, _RouteRow)
    return Route(
        name=row.name,
        host=row.host.lower(),
        prefix=row.prefix,
        kind=ROUTE_KINDS[row.routeKind],
        targets=_decode_targets(row),
        request_limit_s=row.timeoutMs / 1000,
        latency_goal_s=row.latencyGoalMs / 1000,
        event_gap_goal_s=(row.gapTargetMs or 0) / 1000,
        max_attempts=int(row.maxAttempts),
        resumable=bool(row.resumable),
        priority=int(row.priority or 0),
        completion_goal_s=(row.completionTargetMs or 0) / 1000,
        retention_s=row.retainS or DEFAULT_RETENTION_S,
        max_waiting_tokens=_decode_token_limit(fields),
    )


def _decode_targets(row: _RouteRow) -> tuple[Target, ...]:
    if row.split:
        if not any(target.weight for target in row.split):
            raise ValueError(f"no target of route {row.name!r} has a weight")
        return tuple(Target(target.service, target.weight) for target in row.split)
    if row.service is None:
        raise ValueError(f"route {row.name!r} has no service")
    return (Target(row.service, 1.0),)


def _decode_token_limit(fields: dict[str, Any]) -> int:
    limit = fields.get(ROUTE_TOKEN_LIMIT)
    if limit is None:
        return 0
    if type(limit) is not int or not 0 <= limit <= MAX_TOKENS:
        raise ValueError(
            f"{ROUTE_TOKEN_LIMIT} of route {fields['name']!r} is {limit!r}, not a "
            f"whole number of tokens from 0 to {MAX_TOKENS}"
        )
    return limit


class _EngineRow(msgspec.Struct):
    """
    What an engine's row has to hold so that the engine can be used.

    Other writers leave rows here, too, so that a row without one of the fields
    that all engines write is of no engine, even if the field is not used.
    """

    service: Name
    addr: str
    zone: Name
    slots: Annotated[int, msgspec.Meta(ge=1, le=MAX_SLOTS)]
    state: Literal["ready", "draining"]
    version: str | int | float
    coldLeftMs: Annotated[float, msgspec.Meta(le=MAX_WHOLE_NUMBER)]
    seq: int
    # The examples of the platform's messages have rows without it.
    born: Annotated[int, msgspec.Meta(ge=0, le=MAX_WHOLE_NUMBER)] = 0
    stage: str = ""
    models: list[dict[str, Any]] = []


def decode_engine(engine_id: str, value: bytes) -> EngineEntry:
    """
    Decode the row by which an engine registers.

    :raises MessageError: when the row does not describe a usable engine.
    """
    try:
        if ENGINE_ID.fullmatch(engine_id) is None:
            raise ValueError("its id can't be sent to it")
        row = msgspec.convert(msgspec.json.decode(value), _EngineRow)
        address = _engine_address(row.addr)
    except FORM_ERRORS as error:
        reason = describe_error(error)
        raise MessageError(f"engine {shown(engine_id)} is invalid: {reason}") from error
    return EngineEntry(
        id=engine_id,
        service=row.service,
        ip=address.ip,
        port=address.port,
        failure_domain=row.zone,
        slots=row.slots,
        draining=row.state == ENGINE_DRAINING,
        started_ms=row.born,
        warm_up_s=max(0.0, row.coldLeftMs) / 1000,
    )


def _engine_address(text: str) -> Address:
    """
    Return the address of an engine.

    :raises ValueError: when no single server can have it.
    """
    address = Address.parse(text)
    ip = ip_address(address.ip.strip("[]"))
    # The loopback address of IPv6 is a reserved one.
    if ip.is_unspecified or ip.is_multicast or (ip.is_reserved and not ip.is_loopback):
        raise ValueError(f"{text!r} is no address of a server")
    return address


class _Item(msgspec.Struct):
    """An item of a batch job on the wire; ``body`` is base64 there."""

    id: Annotated[str, msgspec.Meta(pattern=ID_PATTERN)]
    path: Annotated[str, msgspec.Meta(pattern=ITEM_PATH_PATTERN)]
    body: bytes
    headers: dict[
        Annotated[str, msgspec.Meta(pattern=HEADER_NAME_PATTERN)],
        Annotated[str, msgspec.Meta(pattern=HEADER_VALUE_PATTERN)] | int,
    ] = {}
    tokens: Annotated[int, msgspec.Meta(ge=0, le=MAX_TOKENS)] = 0


class _Submission(msgspec.Struct):
    """A batch job on the wire."""

    requests: Annotated[
        list[_Item], msgspec.Meta(min_length=1, max_length=MAX_JOB_ITEMS)
    ]


def decode_submission(job_id: str, host: str, body: bytes) -> JobSubmission:
    """
    Decode the request body by which a caller submits a batch job.

    :raises MessageError: when the body is not a valid batch job.
    """
    try:
        submission = msgspec.json.decode(body, type=_Submission)
    except (msgspec.DecodeError, RecursionError) as error:
        raise MessageError(f"batch job {job_id!r} is invalid: {error}") from error
    repeated = Counter(item.id for item in submission.requests).most_common(1)
    for item_id, count in repeated:
        if count > 1:
            detail = f"{count} items have the id {shown(item_id)}"
            raise MessageError(f"batch job {job_id!r} is invalid: {detail}")
    items = tuple(map(_submitted_item, submission.requests))
    return JobSubmission(id=job_id, host=host, items=items)


def _submitted_item(item: _Item) -> SubmittedItem:
    headers = tuple((name, str(value)) for name, value in item.headers.items())
    return SubmittedItem(
        id=item.id,
        target=item.path,
        headers=headers,
        body=item.body,
        tokens=item.tokens,
        prompt_parts=shared_prompt_parts(headers),
    )


def encode_results(page: ResultPage) -> bytes:
    """Encode a page of results; ``nextToken`` is the next position to read."""
    return msgspec.json.encode(
        {
            "total": page.total,
            "results": list(map(_encode_result, page.results)),
            "nextToken": page.first + len(page.results),
        }
    )


def _encode_result(result: ItemResult) -> dict[str, str]:
    return {
        "id": result.item_id,
        "state": RESULT_FAILED if result.text is None else RESULT_COMPLETED,
        "text": result.text or "",
    }
