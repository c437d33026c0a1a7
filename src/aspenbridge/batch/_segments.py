"""Segments: results of some items of a chunk, in one object."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec
from returns.result import Failure, Result, Success

from aspenbridge.result_codes import ResultCode

from ._records import Outcome, Segment

if TYPE_CHECKING:
    from collections.abc import Sequence

    from aspenbridge.ports import ObjectStore


def describe(name: str, outcomes: Sequence[Outcome]) -> Segment:
    """Return what the chunk's row says of a segment."""
    served = sorted({version for item in outcomes for version in item.served_by})
    failed = sum(item.code != ResultCode.OK for item in outcomes)
    return Segment(name, len(outcomes), failed, tuple(served))


async def read_segment(
    objects: ObjectStore, segment: Segment
) -> Result[tuple[Outcome, ...], str]:
    """Return the results of a segment, or why they can't be read."""
    read = await objects.get(segment.name)
    if isinstance(read, Failure):
        return Failure(read.failure().reason)
    body = read.unwrap()
    if body is None:
        return Failure(f"{segment.name!r} is missing")
    return Success(msgspec.json.decode(body, type=tuple[Outcome, ...]))
