"""Accepts changes: the one place where a new revision is made."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs
from returns.result import Failure, Result, Success

from aspenbridge.ports import Conflict, RowKey
from aspenbridge.result_codes import Execution, Problem, ResultCode
from aspenbridge.store import Changes

from ._objects import Change, ConfigObject, Head
from ._validation import find_fault

if TYPE_CHECKING:
    from collections.abc import Callable, Sequence

    from aspenbridge.ports import Clock, Unavailable
    from aspenbridge.store import Store, Stored

HEAD = RowKey("config", "head")
REVISION_DIGITS = 12
HEAD_ATTEMPTS = 5
Removed = tuple[str, str]


def change_key(revision: int) -> RowKey:
    """Return the row of one change."""
    return RowKey("config", f"change/{revision:0{REVISION_DIGITS}d}")


def object_key(kind: str, name: str) -> RowKey:
    """Return the row of one object."""
    return RowKey("config", f"object/{kind}/{name}")


@attrs.frozen
class _Draft:
    """A change that an operator asks for."""

    operator: str
    base_revision: int
    put: tuple[ConfigObject, ...]
    removed: tuple[Removed, ...]

    def keys(self) -> list[RowKey]:
        """Return the rows of the objects that it touches."""
        places = [(item.kind, item.name) for item in self.put]
        return [object_key(*place) for place in (*places, *self.removed)]


class Authority:
    """
    Makes new revisions by compare-and-set on the head row.

    A change conflicts when another one touched one of its objects after the
    operator's base revision; changes of other objects do not conflict.
    """

    def __init__(
        self,
        store: Store,
        clock: Clock,
        reaches_majority: Callable[[], bool] = lambda: True,
    ) -> None:
        self._store = store
        self._clock = clock
        self._reaches_majority = reaches_majority

    async def accept(
        self,
        operator: str,
        base_revision: int,
        put: Sequence[ConfigObject] = (),
        removed: Sequence[Removed] = (),
    ) -> Result[Change, Problem]:
        """
        Accept a change that an operator made on top of a revision.

        :param base_revision: the revision that the operator looked at.
        :return: the change with its new revision, or a numbered problem.
        """
        fault = find_fault(put, removed)
        if fault is not None:
            return Failure(fault)
        if not self._reaches_majority():
            detail = "this host is not in contact with most of the hosts"
            return Failure(Problem(ResultCode.CONFIGURATION_UNKNOWN, detail))
        draft = _Draft(operator, base_revision, tuple(put), tuple(removed))
        for _ in range(HEAD_ATTEMPTS):
            accepted = await self._accept_once(draft)
            if accepted is not None:
                return accepted
        detail = f"the head changed during each of {HEAD_ATTEMPTS} attempts"
        return Failure(Problem(ResultCode.REVISION_CONFLICT, detail))

    async def _accept_once(self, draft: _Draft) -> Result[Change, Problem] | None:
        """Try once; None when only the head had changed meanwhile."""
        keys = draft.keys()
        read_head = await self._store.get(HEAD, Head)
        read = await self._store.get_many(keys, ConfigObject)
        if isinstance(read_head, Failure):
            return Failure(_unavailable(read_head.failure()))
        if isinstance(read, Failure):
            return Failure(_unavailable(read.failure()))
        head, stored = read_head.unwrap(), read.unwrap()
        current = head.record.revision if head else 0
        conflict = _conflict(draft, current, stored)
        if conflict is not None:
            return Failure(conflict)
        change = self._change(draft, current + 1)
        changes = _changes(change, head.version if head else 0)
        for key, row in zip(keys, stored, strict=True):
            changes.check(key, row.version if row else 0)
        result = await self._store.commit(changes)
        if isinstance(result, Success):
            return Success(change)
        error = result.failure()
        if isinstance(error, Conflict):
            return None
        return Failure(_unavailable(error))

    def _change(self, draft: _Draft, revision: int) -> Change:
        return Change(
            revision=revision,
            operator=draft.operator,
            wall_s=self._clock.wall_s(),
            put=tuple(attrs.evolve(item, revision=revision) for item in draft.put),
            removed=draft.removed,
        )


def _changes(change: Change, head_version: int) -> Changes:
    changes = Changes().check(HEAD, head_version)
    changes.put(HEAD, Head(change.revision))
    changes.put(change_key(change.revision), change)
    for item in change.put:
        changes.put(object_key(item.kind, item.name), item)
    for kind, name in change.removed:
        changes.delete(object_key(kind, name))
    return changes


def _conflict(
    draft: _Draft, current: int, stored: Sequence[Stored[ConfigObject] | None]
) -> Problem | None:
    if draft.base_revision > current:
        detail = f"revision {draft.base_revision} does not exist; {current} is the head"
        return Problem(ResultCode.REVISION_CONFLICT, detail)
    for item, row in zip(draft.put, stored, strict=False):
        if row is None and item.revision > 0:
            return _superseded(item.kind, item.name, draft.base_revision, current)
    for row in stored:
        if row is not None and row.record.revision > draft.base_revision:
            found = row.record
            return _superseded(
                found.kind, found.name, draft.base_revision, found.revision
            )
    for (kind, name), row in zip(draft.removed, stored[len(draft.put) :], strict=True):
        if row is None:
            return Problem(ResultCode.NOT_FOUND, f"there is no {kind} {name!r}")
    return None


def _unavailable(error: Unavailable) -> Problem:
    if error.maybe_applied:
        detail = f"the change may have been accepted: {error.reason}"
        return Problem(ResultCode.STORE_UNAVAILABLE, detail, Execution.UNKNOWN)
    detail = f"the change was not accepted: {error.reason}"
    return Problem(ResultCode.STORE_UNAVAILABLE, detail)


def _superseded(kind: str, name: str, base: int, winner: int) -> Problem:
    detail = (
        f"{kind} {name!r}: the change was made on revision {base}, "
        f"but revision {winner} changed it"
    )
    return Problem(ResultCode.REVISION_CONFLICT, detail)
