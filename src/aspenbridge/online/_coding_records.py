"""Durable records of coding requests."""

from __future__ import annotations

import attrs
import xxhash

from aspenbridge.lifecycle import load_chart
from aspenbridge.ports import RowKey

CHART = load_chart("request")
ACCEPTED = CHART.initial


@attrs.frozen
class CodingRecord:
    """
    A coding request and, once it has ended, its result.

    :ivar owner: the incarnation that runs the request.
    :ivar state: a state of the ``request`` chart.
    :ivar digest: the digest of the request's body.
    :ivar text: the answer of a request that is done.
    :ivar served_by: the model versions of the attempts that led to the answer,
        each with its adapter if one was used; failed attempts count, too.
    :ivar code: the ``ResultCode`` of a request that has ended.
    :ivar detail: why the request failed.
    """

    request_id: str
    customer: str
    model: str
    prompt: str
    max_tokens: int
    owner: str
    state: str
    digest: str
    text: str = ""
    served_by: tuple[str, ...] = ()
    code: int = 0
    detail: str = ""
    adapter: str | None = None
    labels: dict[str, str] = attrs.field(factory=dict)

    @property
    def ended(self) -> bool:
        """Whether the request is done or has failed."""
        return self.state in CHART.final


@attrs.frozen
class KeyRecord:
    """
    The first use of an idempotency key.

    :ivar digest: the digest of the request's body.
    :ivar target: the id of the request.
    """

    digest: str
    target: str


def request_key(request_id: str) -> RowKey:
    """Return the key of the row of a coding request."""
    return RowKey("requests", request_id)


def idempotency_row_key(customer: str, scope: str, key: str) -> RowKey:
    """Return the key of the row of a customer's idempotency key."""
    return RowKey("keys", f"{customer}/{scope}/{key}")


def body_digest(*parts: str) -> str:
    """Return a digest of a request's body, to compare it with others."""
    return xxhash.xxh3_128_hexdigest("\0".join(parts).encode())
