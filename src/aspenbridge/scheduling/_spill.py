"""When work leaves its region: the wait against the paid traffic."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterator, Sequence

    from aspenbridge.routing import EngineGroup
    from aspenbridge.work import Work

ANSWER_BYTES_PER_TOKEN = 5
LINK_DELAY_S = 0.06
PAID_BYTES_PER_S = 1_000_000.0
BATCH_HOME_WAIT_S = 5.0
BATCH_AWAY_WAIT_S = 0.5
ONLINE_LAST_WAIT_S = 1.0


def spill_bytes(work: Work) -> int:
    """Return about how many bytes the work would send across regions."""
    answer_bytes = ANSWER_BYTES_PER_TOKEN * work.max_tokens
    return len(work.prompt.encode()) + answer_bytes


def spill_wait_s(work: Work) -> float:
    """Return the wait at home that costs as much as going elsewhere."""
    return LINK_DELAY_S + spill_bytes(work) / PAID_BYTES_PER_S


def ask_order(
    work: Work, groups: Sequence[EngineGroup], home: str
) -> Iterator[tuple[EngineGroup, float]]:
    """
    Yield the groups to ask and how long to wait in each.

    :param groups: those of the home region first.
    """
    if not work.online:
        for group in groups:
            at_home = group.region == home or len(groups) == 1
            yield group, BATCH_HOME_WAIT_S if at_home else BATCH_AWAY_WAIT_S
        return
    if len(groups) > 1:
        first_wait_s = spill_wait_s(work)
        yield groups[0], first_wait_s
        for group in groups[1:]:
            yield group, first_wait_s
    yield groups[0], ONLINE_LAST_WAIT_S
