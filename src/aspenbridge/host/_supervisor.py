"""Runs the background tasks of a host and reports when one of them ends."""

from __future__ import annotations

import asyncio
import logging
from typing import TYPE_CHECKING, Any

if TYPE_CHECKING:
    from collections.abc import Coroutine

    from aspenbridge.ports import Metrics

logger = logging.getLogger(__name__)


class Supervisor:
    """
    Owns the background tasks of a host.

    If a task ends before ``close``, the event ``task_died`` is set, and the
    process shuts the host down.
    """

    def __init__(self, metrics: Metrics) -> None:
        self._metrics = metrics
        self._tasks: list[asyncio.Task[None]] = []
        self._stopping = False
        self.task_died = asyncio.Event()

    def start(self, coroutine: Coroutine[Any, Any, None]) -> None:
        """Run a coroutine that ends only when it is cancelled."""
        name = getattr(coroutine, "__qualname__", "task")
        task = asyncio.create_task(coroutine, name=name)
        task.add_done_callback(self._on_done)
        self._tasks.append(task)

    async def close(self) -> None:
        """Cancel all tasks, the last started first, and wait for them."""
        self._stopping = True
        for task in reversed(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        self._tasks.clear()

    def _on_done(self, task: asyncio.Task[None]) -> None:
        error = None if task.cancelled() else task.exception()
        if self._stopping:
            return
        self._metrics.count("host.task_died")
        if not self.task_died.is_set():
            logger.error("background task %r died", task.get_name(), exc_info=error)
        self.task_died.set()
