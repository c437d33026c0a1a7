"""
When work spills over to another region.

Traffic between regions is paid for, so an online request first waits for a
slot in its home region for as long as that costs less than the traffic.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterator, Sequence

    from aspenbridge.routing import EngineGroup
    from aspenbridge.work import Work

ANSWER_BYTES_PER_TOKEN = 5
LINK_DELAY_S = 0.06
TRAFFIC_BYTES_PER_WAIT_S = 1_000_000.0
BATCH_HOME_WAIT_S = 5.0
BATCH_REMOTE_WAIT_S = 0.5
ONLINE_LAST_WAIT_S = 1.0


def spill_bytes(work: Work) -> int:
    """Estimate the bytes that the work would send between regions."""
    answer_bytes = ANSWER_BYTES_PER_TOKEN * work.max_tokens
    return len(work.prompt.encode()) + answer_bytes


def spill_wait_s(work: Work) -> float:
    """
    Return the seconds of waiting at home that cost as much as spilling over.

    Spilling over costs the delay of the link between regions, and one second
    for each ``TRAFFIC_BYTES_PER_WAIT_S`` of traffic.
    """
    return LINK_DELAY_S + spill_bytes(work) / TRAFFIC_BYTES_PER_WAIT_S


def request_order(
    work: Work, groups: Sequence[EngineGroup], home_region: str
) -> Iterator[tuple[EngineGroup, float]]:
    """
    Yield the groups to request a slot from, and the seconds to wait in each.

    Online requests wait for ``spill_wait_s`` in every group, and then for
    ``ONLINE_LAST_WAIT_S`` in the first group again; with a single group, only
    for the latter. Batch requests wait longer in the home region, or in a
    single group, than elsewhere.

    :param groups: the groups, those of the home region first.
    """
    if not work.online:
        for group in groups:
            in_home_region = group.region == home_region or len(groups) == 1
            yield group, BATCH_HOME_WAIT_S if in_home_region else BATCH_REMOTE_WAIT_S
        return
    if len(groups) > 1:
        first_wait_s = spill_wait_s(work)
        yield groups[0], first_wait_s
        for group in groups[1:]:
            yield group, first_wait_s
    yield groups[0], ONLINE_LAST_WAIT_S
