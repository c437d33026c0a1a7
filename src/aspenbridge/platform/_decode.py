"""Converts the platform's messages to and from types of other packages."""

from __future__ import annotations

import base64
import binascii
from typing import Any

import msgspec

from aspenbridge.fleet import (
    CallKind,
    Configuration,
    EngineEntry,
    RequestLimits,
    Route,
    Target,
)
from aspenbridge.jobs import ItemResult, JobSubmission, ResultPage, SubmittedItem

ROUTE_KINDS = {
    "idempotent": CallKind.IDEMPOTENT,
    "non_idempotent": CallKind.NON_IDEMPOTENT,
    "streaming": CallKind.STREAMING,
    "batch": CallKind.BATCH,
}
ENGINE_READY = "ready"
ENGINE_DRAINING = "draining"
RESULT_COMPLETED = "completed"
RESULT_FAILED = "dead_letter"  # an item that ended without an output
DEFAULT_RETENTION_S = 60.0  # for a batch route without retainS
MAX_JOB_ITEMS = 200


class MessageError(ValueError):
    """A message lacks a field, or a field has the wrong type or value."""


def decode_configuration(value: bytes) -> Configuration:
    """
    Decode the value of the operator's configuration row.

    :raises MessageError: when the value is not a valid configuration.
    """
    try:
        fields = msgspec.json.decode(value)
        limits = fields["limits"]
        return Configuration(
            version=int(fields["version"]),
            routes=tuple(map(_decode_route, fields["routes"])),
            limits=RequestLimits(
                header_bytes=int(limits["maxHeaderBytes"]),
                body_bytes=int(limits["maxBodyBytes"]),
                idle_s=limits["idleTimeoutMs"] / 1000,
            ),
        )
    except (msgspec.DecodeError, KeyError, TypeError, ValueError) as error:
        raise MessageError(f"configuration is invalid: {error!r}") from error


def _decode_route(fields: dict[str, Any]) -> Route:
    split = fields.get("split") or [{"service": fields["service"], "weight": 1}]
    return Route(
        name=fields["name"],
        host=fields["host"].lower(),
        prefix=fields["prefix"],
        kind=ROUTE_KINDS[fields["routeKind"]],
        targets=tuple(Target(t["service"], float(t["weight"])) for t in split),
        request_limit_s=fields["timeoutMs"] / 1000,
        latency_goal_s=fields["latencyGoalMs"] / 1000,
        event_gap_goal_s=(fields.get("gapTargetMs") or 0) / 1000,
        max_attempts=int(fields["maxAttempts"]),
        resumable=bool(fields.get("resumable")),
        priority=int(fields.get("priority") or 0),
        completion_goal_s=(fields.get("completionTargetMs") or 0) / 1000,
        retention_s=float(fields.get("retainS") or DEFAULT_RETENTION_S),
    )


def decode_engine(engine_id: str, value: bytes) -> EngineEntry:
    """
    Decode the row by which an engine registers.

    :raises MessageError: when the row does not describe a usable engine.
    """
    try:
        fields = msgspec.json.decode(value)
        if fields["state"] not in (ENGINE_READY, ENGINE_DRAINING):
            raise ValueError(f"unknown engine state {fields['state']!r}")
        ip, _, port = fields["addr"].rpartition(":")
        slots = fields["slots"]
        if type(slots) is not int or slots < 1:
            raise TypeError(f"slots {slots!r} is not a positive integer")
        return EngineEntry(
            id=engine_id,
            service=_non_empty_string(fields["service"]),
            ip=_non_empty_string(ip),
            port=int(port),
            failure_domain=_non_empty_string(fields["zone"]),
            slots=slots,
            draining=fields["state"] == ENGINE_DRAINING,
            started_ms=int(fields.get("born") or 0),
            warm_up_s=float(fields.get("coldLeftMs") or 0) / 1000,
        )
    except (
        msgspec.DecodeError,
        KeyError,
        TypeError,
        ValueError,
        AttributeError,
        UnicodeDecodeError,
    ) as error:
        raise MessageError(f"engine {engine_id!r} is invalid: {error!r}") from error


def _non_empty_string(value: object) -> str:
    if not isinstance(value, str) or not value:
        raise TypeError(f"{value!r} is not a non-empty string")
    return value


def decode_submission(job_id: str, host: str, body: bytes) -> JobSubmission:
    """
    Decode the request body by which a caller submits a batch job.

    :raises MessageError: when the body is not a valid batch job.
    """
    try:
        item_fields = msgspec.json.decode(body)["requests"]
        if not 0 < len(item_fields) <= MAX_JOB_ITEMS:
            raise ValueError(f"{len(item_fields)} items, not 1 to {MAX_JOB_ITEMS}")
        items = tuple(map(_decode_item, item_fields))
    except (
        msgspec.DecodeError,
        KeyError,
        TypeError,
        ValueError,
        AttributeError,
        binascii.Error,
    ) as error:
        raise MessageError(f"batch job {job_id!r} is invalid: {error!r}") from error
    return JobSubmission(id=job_id, host=host, items=items)


def _decode_item(fields: dict[str, Any]) -> SubmittedItem:
    return SubmittedItem(
        id=_non_empty_string(fields["id"]),
        target=_non_empty_string(fields["path"]),
        headers=tuple((str(k), str(v)) for k, v in fields.get("headers", {}).items()),
        body=base64.b64decode(fields["body"], validate=True),
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
