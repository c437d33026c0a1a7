"""Group commit: many small sets of changes in one transaction."""

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

GROUP_LIMIT_ROWS = 100


@attrs.define(eq=False)
class _Waiting:
    changes: Changes
    done: asyncio.Future[Result[Committed, StoreError]]


class GroupCommitter:
    """Commits what arrives while the last group was being written."""

    def __init__(self, store: Store, clock: Clock) -> None:
        self._store = store
        self._clock = clock
        self._waiting: list[_Waiting] = []
        self._writer: asyncio.Task[None] | None = None

    async def commit(self, changes: Changes) -> Result[Committed, StoreError]:
        """Commit changes, together with others that wait at the time."""
        done: asyncio.Future[Result[Committed, StoreError]] = (
            asyncio.get_running_loop().create_future()
        )
        self._waiting.append(_Waiting(changes, done))
        if self._writer is None:
            self._writer = asyncio.create_task(self._write())
        return await done

    async def _write(self) -> None:
        while self._waiting:
            members = self._next_group()
            try:
                await self._commit_group(members)
            except Exception as error:
                _fail(members, error)
        self._writer = None

    def _next_group(self) -> list[_Waiting]:
        members: list[_Waiting] = []
        together = Changes()
        for waiting in self._waiting:
            if together.rows + waiting.changes.rows > GROUP_LIMIT_ROWS and members:
                break
            if not together.agrees_with(waiting.changes):
                break
            together.add(waiting.changes)
            members.append(waiting)
        del self._waiting[: len(members)]
        return members

    async def _commit_group(self, members: list[_Waiting]) -> None:
        together = Changes()
        for member in members:
            together.add(member.changes)
        result = await self._store.commit(together)
        if len(members) > 1 and _is_conflict(result):
            for member in members:
                _settle(member, await self._store.commit(member.changes))
            return
        for member in members:
            _settle(member, result)


def _is_conflict(result: Result[Committed, StoreError]) -> bool:
    return isinstance(result, Failure) and isinstance(result.failure(), Conflict)


def _fail(members: list[_Waiting], error: Exception) -> None:
    for member in members:
        if not member.done.done():
            member.done.set_exception(error)


def _settle(member: _Waiting, result: Result[Committed, StoreError]) -> None:
    if not member.done.done():
        member.done.set_result(result)
