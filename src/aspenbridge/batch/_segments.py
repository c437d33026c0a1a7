"""Segments: objects that each hold the results of some items of a chunk."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec
from returns.result import Failure, Result, Success

from aspenbridge.result_codes import ResultCode

from ._records import Outcome, Segment

if TYPE_CHECKING:
    from collections.abc import Sequence

    from aspenbridge.ports import ObjectStore


def summarize_segment(name: str, outcomes: Sequence[Outcome]) -> Segment:
    """Return the summary of a segment, which is stored in the chunk's row."""
    served_by = sorted(
        {version for outcome in outcomes for version in outcome.served_by}
    )
    failed = sum(outcome.code != ResultCode.OK for outcome in outcomes)
    return Segment(name, len(outcomes), failed, tuple(served_by))


async def read_segment(
    objects: ObjectStore, segment: Segment
) -> Result[tuple[Outcome, ...], str]:
    """Return the results of a segment, or the reason why it can't be read."""
    read = await objects.get(segment.name)
    if isinstance(read, Failure):
        return Failure(read.failure().reason)
    body = read.unwrap()
    if body is None:
        return Failure(f"object {segment.name!r} is missing")
    return Success(msgspec.json.decode(body, type=tuple[Outcome, ...]))
