"""
Decides which requests and parts of prompts are held back for their crashes.

For load under which engines crash again and again: requests that are resent,
requests that share nothing but one part of their prompts, and popular parts
that are merely at the engines that crash.

All parts of a prompt, and all requests at an engine, meet the same crash.
Sound ones are cleared as soon as one of their requests is answered; until then
a part is held only for crashes that no other suspect explains.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Mapping

    from ._ledger import CrashId, Suspect

QUARANTINE_CRASHES = 3
# A part that came first in all of its prompts is likely to be in most
# requests, so that another suspect gets the time to explain its crashes.
LEADING_PART_CRASHES = 4
# How many crashes of a part no other held part may explain. An engine that
# crashes of itself beside a held part leaves one.
UNEXPLAINED_CRASHES = 2


def may_be_held(suspect: Suspect) -> bool:
    """Whether a suspect has enough crashes to be held, unless explained."""
    leading = suspect.is_part and suspect.position == 0
    return suspect.count >= (LEADING_PART_CRASHES if leading else QUARANTINE_CRASHES)


def held_keys(suspects: Mapping[str, Suspect]) -> frozenset[str]:
    """
    Return the keys of the suspects to hold back.

    :param suspects: those that ``may_be_held``, by key.
    """
    requests = {key: s.crash_ids for key, s in suspects.items() if not s.is_part}
    by_requests = _union(requests.values())
    explained: frozenset[CrashId] = frozenset()
    held: set[str] = set()
    parts = [key for key, suspect in suspects.items() if suspect.is_part]
    for key in sorted(parts, key=lambda key: _order(key, suspects[key])):
        unexplained = suspects[key].crash_ids - explained
        # A single request that crashes engines does not incriminate its parts.
        if len(unexplained) >= UNEXPLAINED_CRASHES and unexplained - by_requests:
            held.add(key)
            explained |= suspects[key].crash_ids
    held.update(key for key, crashes in requests.items() if crashes - explained)
    return frozenset(held)


def _order(key: str, suspect: Suspect) -> tuple[bool, int, int, str]:
    """Return the place of a part among those that may explain a crash."""
    return suspect.position == 0, -suspect.count, -suspect.position, key


def _union(sets: object) -> frozenset[CrashId]:
    return frozenset().union(*sets)  # type: ignore[misc]
