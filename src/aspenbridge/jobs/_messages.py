"""Batch jobs as they come in, and results as they go out."""

from __future__ import annotations

import attrs
import msgspec

from aspenbridge.ports import Headers


@attrs.frozen
class SubmittedItem:
    """One request of a batch job."""

    id: str
    target: str
    headers: Headers
    body: bytes


@attrs.frozen
class JobSubmission:
    """A batch job as its caller sent it."""

    id: str
    host: str
    items: tuple[SubmittedItem, ...]


@attrs.frozen
class ItemResult:
    """What became of an item; without a text it was given up."""

    item_id: str
    text: str | None


@attrs.frozen
class ResultPage:
    """Results from a position on."""

    total: int
    first: int
    results: tuple[ItemResult, ...]


def encode_items(items: tuple[SubmittedItem, ...]) -> bytes:
    """Return the object that holds the items of a job."""
    return msgspec.msgpack.encode(items)


def decode_items(body: bytes) -> tuple[SubmittedItem, ...]:
    """
    Return the items in an object.

    :raises msgspec.ValidationError: when it holds something else.
    """
    return msgspec.msgpack.decode(body, type=tuple[SubmittedItem, ...])
