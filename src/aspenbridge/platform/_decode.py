"""Messages of the platform, decoded into the types of the product."""

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
RESULT_GIVEN_UP = "dead_letter"  # an item without an output
DEFAULT_RETENTION_S = 60.0  # where a batch route names none
MAX_ITEMS = 200  # the most that one batch job may list


class MessageError(ValueError):
    """A message lacks a field, or a field is of another type."""


def decode_configuration(value: bytes) -> Configuration:
    """
    Return the configuration in a row.

    :raises MessageError: when it can't be read.
    """
    try:
        fields = msgspec.json.decode(value)
        limits = fields["limits"]
        return Configuration(
            version=int(fields["version"]),
            routes=tuple(map(_route, fields["routes"])),
            limits=RequestLimits(
                header_bytes=int(limits["maxHeaderBytes"]),
                body_bytes=int(limits["maxBodyBytes"]),
                idle_s=limits["idleTimeoutMs"] / 1000,
            ),
        )
    except (msgspec.DecodeError, KeyError, TypeError, ValueError) as error:
        raise MessageError(f"configuration can't be read: {error!r}") from error


def _route(fields: dict[str, Any]) -> Route:
    split = fields.get("split") or [{"service": fields["service"], "weight": 1}]
    return Route(
        name=fields["name"],
        host=fields["host"].lower(),
        prefix=fields["prefix"],
        kind=ROUTE_KINDS[fields["routeKind"]],
        targets=tuple(Target(s["service"], float(s["weight"])) for s in split),
        request_limit_s=fields["timeoutMs"] / 1000,
        latency_goal_s=fields["latencyGoalMs"] / 1000,
        pause_goal_s=(fields.get("gapTargetMs") or 0) / 1000,
        max_attempts=int(fields["maxAttempts"]),
        resumable=bool(fields.get("resumable")),
        priority=int(fields.get("priority") or 0),
        completion_goal_s=(fields.get("completionTargetMs") or 0) / 1000,
        retention_s=float(fields.get("retainS") or DEFAULT_RETENTION_S),
    )


def decode_engine(engine_id: str, value: bytes) -> EngineEntry:
    """
    Return the engine that a row registers.

    :raises MessageError: when the row names no engine that can be used.
    """
    try:
        fields = msgspec.json.decode(value)
        if fields["state"] not in (ENGINE_READY, ENGINE_DRAINING):
            raise ValueError(f"state {fields['state']!r}")
        ip, _, port = fields["addr"].rpartition(":")
        slots = fields["slots"]
        if type(slots) is not int or slots < 1:
            raise TypeError(f"slots {slots!r}")
        return EngineEntry(
            id=engine_id,
            service=_text(fields["service"]),
            ip=_text(ip),
            port=int(port),
            failure_domain=_text(fields["zone"]),
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
        raise MessageError(f"engine {engine_id!r} can't be read: {error!r}") from error


def _text(value: object) -> str:
    if not isinstance(value, str) or not value:
        raise TypeError(f"{value!r} is not a text")
    return value


def decode_submission(job_id: str, host: str, body: bytes) -> JobSubmission:
    """
    Return the batch job in the body of a submission.

    :raises MessageError: when it can't be read.
    """
    try:
        listed = msgspec.json.decode(body)["requests"]
        if not 0 < len(listed) <= MAX_ITEMS:
            raise ValueError(f"{len(listed)} items")
        items = tuple(map(_item, listed))
    except (
        msgspec.DecodeError,
        KeyError,
        TypeError,
        ValueError,
        AttributeError,
        binascii.Error,
    ) as error:
        raise MessageError(f"batch job {job_id!r} can't be read: {error!r}") from error
    return JobSubmission(id=job_id, host=host, items=items)


def _item(fields: dict[str, Any]) -> SubmittedItem:
    return SubmittedItem(
        id=_text(fields["id"]),
        target=_text(fields["path"]),
        headers=tuple((str(k), str(v)) for k, v in fields.get("headers", {}).items()),
        body=base64.b64decode(fields["body"], validate=True),
    )


def encode_results(page: ResultPage) -> bytes:
    """Return the body of a reply with results from a position on."""
    return msgspec.json.encode(
        {
            "total": page.total,
            "results": list(map(_result, page.results)),
            "nextToken": page.first + len(page.results),
        }
    )


def _result(result: ItemResult) -> dict[str, str]:
    return {
        "id": result.item_id,
        "state": RESULT_GIVEN_UP if result.text is None else RESULT_COMPLETED,
        "text": result.text or "",
    }
