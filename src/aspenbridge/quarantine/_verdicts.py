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

from collections import Counter
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Mapping, Set

    from ._ledger import CrashId, Suspect

QUARANTINE_CRASHES = 3
# A part that came first in all of its prompts is likely to be in most
# requests, so that another suspect gets the time to explain its crashes.
LEADING_PART_CRASHES = 4
# Parts that met exactly the same crashes can't be told apart. Sound ones are
# cleared before the next crash, as a rule.
ALIKE_PART_CRASHES = 4
# A part that has just proved sound is at engines that crash of themselves.
CLEARED_PART_CRASHES = 5
# How many crashes of a part no other held part may explain. An engine that
# crashes of itself beside a held part leaves one.
UNEXPLAINED_CRASHES = 2


def may_be_held(suspect: Suspect) -> bool:
    """Whether a suspect has enough crashes to be held, unless explained."""
    needed = QUARANTINE_CRASHES
    if suspect.is_part and suspect.cleared:
        needed = CLEARED_PART_CRASHES
    elif suspect.is_part and suspect.position == 0:
        needed = LEADING_PART_CRASHES
    return suspect.count >= needed


def held_keys(
    suspects: Mapping[str, Suspect],
    before: Set[str] = frozenset(),
) -> frozenset[str]:
    """
    Return the keys of the suspects to hold back.

    One that is held stays so: evidence that arrives piece by piece must not
    free it for another one that seems to explain its crashes for a moment.
    Only a part that always stood first is weighed anew each time, since it is
    likely to be at all engines.

    :param suspects: those that ``may_be_held``, by key.
    :param before: the keys of those that were held so far.
    """
    crashes = {key: suspect.crash_ids for key, suspect in suspects.items()}
    requests = [key for key, suspect in suspects.items() if not suspect.is_part]
    parts = [key for key, suspect in suspects.items() if suspect.is_part]
    # Parts by their crashes: one prompt may bring a thousand alike.
    alike = Counter(crashes[key] for key in parts if _may_be_twin(suspects[key]))
    held: list[str] = []
    held_alike: set[frozenset[CrashId]] = set()
    explained: set[CrashId] = set()
    for key in sorted(parts, key=lambda key: _order(key, suspects[key], before)):
        suspect, own = suspects[key], crashes[key]
        leading, may_be_twin = suspect.position == 0, _may_be_twin(suspect)
        told_apart = leading or suspect.cleared
        has_twins = not told_apart and alike[own] > may_be_twin
        enough = not has_twins or len(own) >= ALIKE_PART_CRASHES
        # A single request that crashes engines does not incriminate its parts.
        incriminated = suspect.several_runs and (
            (has_twins and own in held_alike)
            or len(own - explained) >= UNEXPLAINED_CRASHES
        )
        if (incriminated and enough) or (key in before and not leading):
            held.append(key)
            explained |= own
            if may_be_twin:
                held_alike.add(own)
    explained_by_another = _explained_sets({crashes[key] for key in held})
    held = [key for key in held if crashes[key] not in explained_by_another]
    held += [key for key in requests if crashes[key] - explained]
    return frozenset(held)


def _may_be_twin(suspect: Suspect) -> bool:
    """Whether another part of the same crashes is not told apart from it."""
    return suspect.position > 0 and not suspect.cleared and suspect.several_runs


def _explained_sets(
    held: Set[frozenset[CrashId]],
) -> frozenset[frozenset[CrashId]]:
    """Return the sets of which another one has all crashes and enough more."""
    return frozenset(
        own
        for own in held
        if any(
            own < other and len(other) - len(own) >= UNEXPLAINED_CRASHES
            for other in held
        )
    )


def _order(
    key: str, suspect: Suspect, before: Set[str]
) -> tuple[bool, bool, bool, int, str]:
    """Return the place of a part among those that may explain a crash."""
    return (
        suspect.position == 0,
        key not in before,
        suspect.cleared,
        -len(suspect.crash_ids),
        key,
    )
