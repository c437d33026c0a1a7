"""Chooses which crashes a host tells the others when there are many."""

from __future__ import annotations

from typing import TYPE_CHECKING

from aspenbridge.fleet import CrashNotices

if TYPE_CHECKING:
    from collections.abc import Callable, Mapping

    from ._ledger import Crash

# In one report; with ids of ten letters together 2 kB.
MAX_OWN = 20  # crashes that the host saw itself
MAX_OTHERS = 8
MAX_CLEARED = 16


def choose_notices(
    own: list[tuple[str, Crash]],
    others: list[tuple[str, Crash]],
    cleared_s: Mapping[str, float],
    crash_count: Callable[[str], int],
    now_s: float,
) -> CrashNotices:
    """
    Return the notices of a report.

    Those of the suspects with the most crashes come first, since they decide
    who is held; then the newest. Of what was cleared, the newest.

    :param own: crashes that this host saw itself, with their suspects.
    :param others: crashes that others saw and some may not know.
    :param cleared_s: when this host cleared suspects, in monotonic seconds.
    """

    def importance(item: tuple[str, Crash]) -> tuple[int, float]:
        return -crash_count(item[0]), -item[1].at_s

    chosen = [
        *sorted((i for i in own if i[1].counted), key=importance)[:MAX_OWN],
        *sorted((i for i in others if i[1].counted), key=importance)[:MAX_OTHERS],
    ]
    # The last one is the newest, so that it numbers repeated crashes last.
    chosen.sort(key=lambda item: item[1].at_s)
    cleared = sorted(cleared_s.items(), key=lambda item: item[1])[-MAX_CLEARED:]
    return CrashNotices(
        tuple(
            (key, crash.id, now_s - crash.at_s, False, crash.confirmed)
            for key, crash in chosen
        ),
        tuple((key, now_s - at_s) for key, at_s in cleared),
        tuple((crash.position, crash.tag) for _, crash in chosen),
    )
