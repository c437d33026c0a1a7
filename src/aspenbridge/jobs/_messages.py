"""Batch jobs as callers submit them, and results as callers read them."""

from __future__ import annotations

import attrs
import msgspec

from aspenbridge.ports import Headers

# Besides its texts: of an item with its state, and of a part of its prompt.
ITEM_BYTES = 2 * 1024
PART_BYTES = 160


@attrs.frozen
class SubmittedItem:
    """
    One request of a batch job.

    ``id`` is also the id of the request to an engine. ``target`` holds path
    and query. ``tokens`` counts the prompt and the most that may be generated;
    it is 0 in objects of builds that did not store it. ``prompt_parts`` holds
    the ids of the parts of the prompt that other requests may share, in their
    order; it is empty in objects of builds that did not store it.
    """

    id: str
    target: str
    headers: Headers
    body: bytes
    tokens: int = 0
    prompt_parts: tuple[str, ...] = ()

    @property
    def size_bytes(self) -> int:
        """What it holds in memory while it waits or is run."""
        texts = sum(len(name) + len(value) for name, value in self.headers)
        parts = PART_BYTES * len(self.prompt_parts)
        return ITEM_BYTES + len(self.body) + len(self.target) + texts + parts


@attrs.frozen
class JobSubmission:
    """A batch job as its caller sent it, for the virtual host ``host``."""

    id: str
    host: str
    items: tuple[SubmittedItem, ...]

    @property
    def tokens(self) -> int:
        """The tokens of all items."""
        return sum(item.tokens for item in self.items)

    @property
    def size_bytes(self) -> int:
        """What the host that runs the items holds of them in memory."""
        return sum(item.size_bytes for item in self.items)


@attrs.frozen
class ItemResult:
    """The output of an item; ``text`` is None if it failed permanently."""

    item_id: str
    text: str | None


@attrs.frozen
class ResultPage:
    """
    Consecutive results of a job, from position ``first`` on.

    ``total`` is the number of items in the job.
    """

    total: int
    first: int
    results: tuple[ItemResult, ...]


def encode_items(items: tuple[SubmittedItem, ...]) -> bytes:
    """Return the body of the stored object that holds the items of a job."""
    return msgspec.msgpack.encode(items)


def decode_items(body: bytes) -> tuple[SubmittedItem, ...]:
    """
    Return the items that a stored object holds.

    :raises msgspec.DecodeError: when the body is not whole, or holds something
        else.
    """
    return msgspec.msgpack.decode(body, type=tuple[SubmittedItem, ...])
