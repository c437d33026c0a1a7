"""Group commit: several small sets of changes in one transaction."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import attrs
from returns.result import Failure, Result

from aspenbridge.ports import Committed, Conflict

from ._changes import Changes

if TYPE_CHECKING:
    from aspenbridge.ports import Clock

    from ._store import Store, StoreError

MAX_GROUP_ROWS = 100


@attrs.define(eq=False)
class _PendingCommit:
    changes: Changes
    done: asyncio.Future[Result[Committed, StoreError]]


class GroupCommitter:
    """
    Commits sets of changes in groups, one group at a time.

    Sets that arrive while a group is being written form the next groups.
    """

    def __init__(self, store: Store, clock: Clock) -> None:
        self._store = store
        self._clock = clock
        self._pending: list[_PendingCommit] = []
        self._writer: asyncio.Task[None] | None = None

    async def commit(self, changes: Changes) -> Result[Committed, StoreError]:
        """
        Commit changes, combined with other compatible ones that are pending.

        If the group conflicts, each of its sets is committed on its own.
        """
        done: asyncio.Future[Result[Committed, StoreError]] = (
            asyncio.get_running_loop().create_future()
        )
        self._pending.append(_PendingCommit(changes, done))
        if self._writer is None:
            self._writer = asyncio.create_task(self._write())
        return await done

    async def _write(self) -> None:
        while self._pending:
            members = self._next_group()
            try:
                await self._commit_group(members)
            except Exception as error:
                _set_exception(members, error)
        self._writer = None

    def _next_group(self) -> list[_PendingCommit]:
        members: list[_PendingCommit] = []
        combined = Changes()
        for pending in self._pending:
            if combined.rows + pending.changes.rows > MAX_GROUP_ROWS and members:
                break
            if not combined.is_compatible_with(pending.changes):
                break
            combined.merge(pending.changes)
            members.append(pending)
        del self._pending[: len(members)]
        return members

    async def _commit_group(self, members: list[_PendingCommit]) -> None:
        combined = Changes()
        for member in members:
            combined.merge(member.changes)
        result = await self._store.commit(combined)
        if len(members) > 1 and _is_conflict(result):
            for member in members:
                _set_result(member, await self._store.commit(member.changes))
            return
        for member in members:
            _set_result(member, result)


def _is_conflict(result: Result[Committed, StoreError]) -> bool:
    return isinstance(result, Failure) and isinstance(result.failure(), Conflict)


def _set_exception(members: list[_PendingCommit], error: Exception) -> None:
    for member in members:
        if not member.done.done():
            member.done.set_exception(error)


def _set_result(member: _PendingCommit, result: Result[Committed, StoreError]) -> None:
    if not member.done.done():
        member.done.set_result(result)
