"""Accepts changes: the one place where a new revision is made."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs
import msgspec
from returns.result import Failure, Result, Success

from aspenbridge.ports import Conflict, RowKey
from aspenbridge.result_codes import Problem, ResultCode
from aspenbridge.store import Changes

from ._objects import Change, ConfigObject, Head, spec_class

if TYPE_CHECKING:
    from collections.abc import Sequence

    from aspenbridge.ports import Clock
    from aspenbridge.store import Store

HEAD = RowKey("config", "head")
REVISION_DIGITS = 12


def change_key(revision: int) -> RowKey:
    """Return the row of one change."""
    return RowKey("config", f"change/{revision:0{REVISION_DIGITS}d}")


def object_key(kind: str, name: str) -> RowKey:
    """Return the row of one object."""
    return RowKey("config", f"object/{kind}/{name}")


class Authority:
    """Makes new revisions by compare-and-set on the head row."""

    def __init__(self, store: Store, clock: Clock) -> None:
        self._store = store
        self._clock = clock

    async def accept(
        self,
        operator: str,
        base_revision: int,
        put: Sequence[ConfigObject] = (),
        removed: Sequence[tuple[str, str]] = (),
    ) -> Result[Change, Problem]:
        """
        Accept a change that an operator made on top of a revision.

        :param base_revision: the revision that the operator looked at.
        :return: the change with its new revision, or a numbered problem.
        """
        invalid = _invalid(put)
        if invalid is not None:
            return Failure(invalid)
        read = await self._store.get(HEAD, Head)
        if isinstance(read, Failure):
            return Failure(_unavailable(read.failure().reason))
        head = read.unwrap()
        current = head.record.revision if head else 0
        if current != base_revision:
            return Failure(_superseded(base_revision, current))
        change = self._change(operator, current + 1, put, removed)
        changes = self._changes(change, head.version if head else 0)
        result = await self._store.commit(changes)
        if isinstance(result, Failure):
            error = result.failure()
            if isinstance(error, Conflict):
                return Failure(_superseded(base_revision, current + 1))
            return Failure(_unavailable(error.reason))
        return Success(change)

    def _change(
        self,
        operator: str,
        revision: int,
        put: Sequence[ConfigObject],
        removed: Sequence[tuple[str, str]],
    ) -> Change:
        return Change(
            revision=revision,
            operator=operator,
            wall_s=self._clock.wall_s(),
            put=tuple(attrs.evolve(item, revision=revision) for item in put),
            removed=tuple(removed),
        )

    def _changes(self, change: Change, head_version: int) -> Changes:
        changes = Changes().check(HEAD, head_version)
        changes.put(HEAD, Head(change.revision))
        changes.put(change_key(change.revision), change)
        for item in change.put:
            changes.put(object_key(item.kind, item.name), item)
        for kind, name in change.removed:
            changes.delete(object_key(kind, name))
        return changes


def _invalid(put: Sequence[ConfigObject]) -> Problem | None:
    for item in put:
        place = f"{item.kind} {item.name!r}"
        try:
            msgspec.convert(item.spec, type=spec_class(item.kind))
        except KeyError:
            return Problem(
                ResultCode.BAD_CONFIGURATION, f"{place}: there is no such kind"
            )
        except msgspec.ValidationError as error:
            return Problem(ResultCode.BAD_CONFIGURATION, f"{place}: {error}")
    return None


def _unavailable(reason: str) -> Problem:
    return Problem(ResultCode.STORE_UNAVAILABLE, f"the change is not known: {reason}")


def _superseded(base: int, current: int) -> Problem:
    detail = f"the change was made on revision {base}, but {current} is in force"
    return Problem(ResultCode.REVISION_CONFLICT, detail)
