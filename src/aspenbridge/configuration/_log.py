"""Log of the newest changes that a host has applied, for its peers."""

from __future__ import annotations

from collections import deque
from typing import TYPE_CHECKING

import msgspec

from ._objects import Change

if TYPE_CHECKING:
    from collections.abc import Iterable

MAX_LOGGED_CHANGES = 500
MAX_CHANGES_PER_REPLY = 100


class ChangeLog:
    """Changes of consecutive revisions; drops the oldest ones first."""

    def __init__(self) -> None:
        self._changes: deque[Change] = deque(maxlen=MAX_LOGGED_CHANGES)

    def add(self, change: Change) -> None:
        """Append a change; if it leaves a gap, restart the log with it."""
        if self._changes and change.revision != self._changes[-1].revision + 1:
            self._changes.clear()
        self._changes.append(change)

    def after(self, revision: int) -> tuple[bytes, ...]:
        """
        Return the encoded changes that follow a revision, the oldest first.

        At most ``MAX_CHANGES_PER_REPLY`` are returned, and none if the log
        does not reach back to the revision.
        """
        if not self._changes or self._changes[0].revision > revision + 1:
            return ()
        first = revision + 1 - self._changes[0].revision
        following = list(self._changes)[first : first + MAX_CHANGES_PER_REPLY]
        return tuple(msgspec.json.encode(change) for change in following)


def decode_changes(encoded: Iterable[bytes]) -> list[Change]:
    """
    Decode changes that a peer has sent.

    :raises msgspec.MsgspecError: if a change is malformed.
    """
    return [msgspec.json.decode(change, type=Change) for change in encoded]
