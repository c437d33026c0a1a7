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
    """One coding request and, once there is one, its result."""

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
        """Whether the request has its one answer."""
        return self.state in CHART.final


@attrs.frozen
class KeyRecord:
    """What an idempotency key was used for."""

    digest: str
    target: str


def request_key(request_id: str) -> RowKey:
    """Return the row of a coding request."""
    return RowKey("requests", request_id)


def idempotency_key(customer: str, scope: str, key: str) -> RowKey:
    """Return the row of a customer's idempotency key."""
    return RowKey("keys", f"{customer}/{scope}/{key}")


def body_digest(*parts: str) -> str:
    """Return a digest that tells two bodies apart."""
    return xxhash.xxh3_128_hexdigest("\0".join(parts).encode())
