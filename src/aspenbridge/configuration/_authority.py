"""Accepts configuration changes; the only place that creates revisions."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs
from returns.result import Failure, Result, Success

from aspenbridge.ports import Conflict, RowKey
from aspenbridge.result_codes import Execution, Problem, ResultCode
from aspenbridge.store import Changes

from ._objects import Change, ConfigObject, Head
from ._validation import find_problem

if TYPE_CHECKING:
    from collections.abc import Callable, Sequence

    from aspenbridge.ports import Clock, Unavailable
    from aspenbridge.store import Store, Stored

HEAD = RowKey("config", "head")
REVISION_DIGITS = 12
COMMIT_ATTEMPTS = 5
Removed = tuple[str, str]  # kind and name of an object


def change_key(revision: int) -> RowKey:
    """Return the key of the row that stores the change of a revision."""
    return RowKey("config", f"change/{revision:0{REVISION_DIGITS}d}")


def object_key(kind: str, name: str) -> RowKey:
    """Return the key of the row that stores a configuration object."""
    return RowKey("config", f"object/{kind}/{name}")


@attrs.frozen
class _Draft:
    """A change that an operator requests and that has no revision yet."""

    operator: str
    base_revision: int
    put: tuple[ConfigObject, ...]
    removed: tuple[Removed, ...]

    def keys(self) -> list[RowKey]:
        """Return the row keys of the put objects, then of the removed ones."""
        put_ids = [(item.kind, item.name) for item in self.put]
        return [object_key(*object_id) for object_id in (*put_ids, *self.removed)]


class Authority:
    """
    Creates new revisions by compare-and-set on the head row.

    A change conflicts if one of its objects was changed after the operator's
    base revision. Changes to different objects do not conflict. A host that
    is not in contact with a majority of the hosts refuses every change.
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
        Validate a change and commit it as the next revision.

        :param operator: the name of the operator, stored with the change.
        :param base_revision: the revision that the operator had read.
        :param put: the objects to create or replace.
        :param removed: kind and name of each object to remove.
        :return: the change with its new revision, or the reason for refusal.
        """
        problem = find_problem(put, removed)
        if problem is not None:
            return Failure(problem)
        if not self._reaches_majority():
            detail = "this host is not in contact with a majority of the hosts"
            return Failure(Problem(ResultCode.CONFIGURATION_UNKNOWN, detail))
        draft = _Draft(operator, base_revision, tuple(put), tuple(removed))
        for _ in range(COMMIT_ATTEMPTS):
            accepted = await self._accept_once(draft)
            if accepted is not None:
                return accepted
        detail = (
            f"other changes were committed during each of {COMMIT_ATTEMPTS} attempts"
        )
        return Failure(Problem(ResultCode.REVISION_CONFLICT, detail))

    async def _accept_once(self, draft: _Draft) -> Result[Change, Problem] | None:
        """Try one commit; return None if a row changed after it was read."""
        keys = draft.keys()
        read_head = await self._store.get(HEAD, Head)
        read_objects = await self._store.get_many(keys, ConfigObject)
        if isinstance(read_head, Failure):
            return Failure(_unavailable(read_head.failure()))
        if isinstance(read_objects, Failure):
            return Failure(_unavailable(read_objects.failure()))
        head, stored = read_head.unwrap(), read_objects.unwrap()
        current = head.record.revision if head else 0
        conflict = _conflict(draft, current, stored)
        if conflict is not None:
            return Failure(conflict)
        change = self._make_change(draft, current + 1)
        changes = _row_changes(change, head.version if head else 0)
        for key, row in zip(keys, stored, strict=True):
            changes.check(key, row.version if row else 0)
        result = await self._store.commit(changes)
        if isinstance(result, Success):
            return Success(change)
        error = result.failure()
        if isinstance(error, Conflict):
            return None
        return Failure(_unavailable(error))

    def _make_change(self, draft: _Draft, revision: int) -> Change:
        return Change(
            revision=revision,
            operator=draft.operator,
            wall_s=self._clock.wall_s(),
            put=tuple(attrs.evolve(item, revision=revision) for item in draft.put),
            removed=draft.removed,
        )


def _row_changes(change: Change, head_version: int) -> Changes:
    """Return the writes of a change, on condition of the head's version."""
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
    """
    Return why a draft can't be accepted on top of the current revision.

    :param stored: the stored objects, in the order of ``draft.keys``.
    """
    if draft.base_revision > current:
        detail = (
            f"base revision {draft.base_revision} does not exist; "
            f"the newest revision is {current}"
        )
        return Problem(ResultCode.REVISION_CONFLICT, detail)
    for item, row in zip(draft.put, stored, strict=False):
        if row is None and item.revision > 0:
            return _superseded(item.kind, item.name, draft.base_revision, current)
    for row in stored:
        if row is not None and row.record.revision > draft.base_revision:
            newer = row.record
            return _superseded(
                newer.kind, newer.name, draft.base_revision, newer.revision
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


def _superseded(
    kind: str, name: str, base_revision: int, newer_revision: int
) -> Problem:
    detail = (
        f"{kind} {name!r}: the change is based on revision {base_revision}, "
        f"but revision {newer_revision} changed it"
    )
    return Problem(ResultCode.REVISION_CONFLICT, detail)
