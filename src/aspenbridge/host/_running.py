"""Tracks running requests, so that a shutdown can wait for them."""

from __future__ import annotations

import asyncio
from contextlib import contextmanager
from typing import TYPE_CHECKING, Any, TypeVar

if TYPE_CHECKING:
    from collections.abc import Coroutine, Iterator

Value = TypeVar("Value")


class RunningWork:
    """The requests of callers that are still running."""

    def __init__(self) -> None:
        self._count = 0
        self._idle = asyncio.Event()
        self._idle.set()
        self._tasks: set[asyncio.Task[Any]] = set()

    @property
    def count(self) -> int:
        """The number of running requests."""
        return self._count

    @contextmanager
    def track(self) -> Iterator[None]:
        """Count a request as running while the block runs."""
        self._count += 1
        self._idle.clear()
        try:
            yield
        finally:
            self._count -= 1
            if self._count == 0:
                self._idle.set()

    async def run_shielded(self, coroutine: Coroutine[Any, Any, Value]) -> Value:
        """
        Run accepted work to its end, even if the caller is cancelled.

        :param coroutine: the work, which counts as running until it ends.
        :return: the result of the coroutine.
        """
        task = asyncio.ensure_future(self._counted(coroutine))
        self._tasks.add(task)
        task.add_done_callback(self._on_done)
        return await asyncio.shield(task)

    async def wait_idle(self) -> None:
        """Wait until no request is running."""
        await self._idle.wait()

    async def close(self) -> None:
        """Cancel accepted work that is still running, and wait for it."""
        tasks = list(self._tasks)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    async def _counted(self, coroutine: Coroutine[Any, Any, Value]) -> Value:
        with self.track():
            return await coroutine

    def _on_done(self, task: asyncio.Task[Any]) -> None:
        self._tasks.discard(task)
        if not task.cancelled():
            # Marks the exception as retrieved, which a cancelled caller does
            # not do; else asyncio logs it.
            task.exception()
