"""The newest changes that a host has applied, for peers that lack them."""

from __future__ import annotations

from collections import deque
from typing import TYPE_CHECKING

import msgspec

from ._objects import Change

if TYPE_CHECKING:
    from collections.abc import Iterable

CHANGES_KEPT = 500
CHANGES_IN_REPLY = 100


class ChangeLog:
    """Consecutive changes, the oldest dropped first."""

    def __init__(self) -> None:
        self._changes: deque[Change] = deque(maxlen=CHANGES_KEPT)

    def add(self, change: Change) -> None:
        """Append a change; one that leaves a gap restarts the log."""
        if self._changes and change.revision != self._changes[-1].revision + 1:
            self._changes.clear()
        self._changes.append(change)

    def after(self, revision: int) -> tuple[bytes, ...]:
        """Return the changes that follow a revision, or none at a gap."""
        if not self._changes or self._changes[0].revision > revision + 1:
            return ()
        first = revision + 1 - self._changes[0].revision
        following = list(self._changes)[first : first + CHANGES_IN_REPLY]
        return tuple(msgspec.json.encode(change) for change in following)


def decode_changes(encoded: Iterable[bytes]) -> list[Change]:
    """
    Return changes as a peer sent them.

    :raises msgspec.MsgspecError: when one can't be read.
    """
    return [msgspec.json.decode(change, type=Change) for change in encoded]
