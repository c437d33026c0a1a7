"""Counts the requests that run, so that a shutdown can wait for them."""

from __future__ import annotations

import asyncio
from contextlib import contextmanager
from typing import TYPE_CHECKING, Any, TypeVar

if TYPE_CHECKING:
    from collections.abc import Coroutine, Iterator

Value = TypeVar("Value")


class RunningWork:
    """Requests of callers that have not ended."""

    def __init__(self) -> None:
        self._count = 0
        self._idle = asyncio.Event()
        self._idle.set()
        self._tasks: set[asyncio.Task[Any]] = set()

    @property
    def count(self) -> int:
        """The number of requests that run."""
        return self._count

    @contextmanager
    def one(self) -> Iterator[None]:
        """Count one request for as long as the block runs."""
        self._count += 1
        self._idle.clear()
        try:
            yield
        finally:
            self._count -= 1
            if self._count == 0:
                self._idle.set()

    async def finish(self, coroutine: Coroutine[Any, Any, Value]) -> Value:
        """
        Run accepted work to its end, also when its caller goes away.

        :param coroutine: the work; it counts as running until it ends.
        """
        task = asyncio.ensure_future(self._counted(coroutine))
        self._tasks.add(task)
        task.add_done_callback(self._ended)
        return await asyncio.shield(task)

    async def wait_idle(self) -> None:
        """Return once no request runs."""
        await self._idle.wait()

    async def close(self) -> None:
        """Cancel the accepted work that still runs."""
        tasks = list(self._tasks)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    async def _counted(self, coroutine: Coroutine[Any, Any, Value]) -> Value:
        with self.one():
            return await coroutine

    def _ended(self, task: asyncio.Task[Any]) -> None:
        self._tasks.discard(task)
        if not task.cancelled():
            task.exception()  # a caller that has gone away does not retrieve it
