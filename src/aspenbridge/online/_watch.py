"""Cancels an attempt when its slot is revoked or its deadline passes."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Any

from aspenbridge.ports import EngineFailure

if TYPE_CHECKING:
    from collections.abc import Coroutine

    from aspenbridge.ports import Clock, Engine, EngineClient
    from aspenbridge.work import Grant

# References to running tasks, which could otherwise be garbage-collected.
_background: set[asyncio.Task[Any]] = set()


class AttemptWatch:
    """
    Cancels one attempt at its engine when it must not continue.

    :ivar expired: whether the attempt was cancelled at its deadline.
    """

    def __init__(
        self,
        engines: EngineClient,
        clock: Clock,
        grant: Grant,
        attempt_id: str,
        deadline_s: float,
    ) -> None:
        self._engines = engines
        self._clock = clock
        self._grant = grant
        self._attempt_id = attempt_id
        self._deadline_s = deadline_s
        self._task: asyncio.Task[None] | None = None
        self.expired = False

    def __enter__(self) -> AttemptWatch:
        self._task = asyncio.create_task(self._watch())
        return self

    def __exit__(self, *_: object) -> None:
        if self._task is not None:
            self._task.cancel()

    def cancel_in_background(self) -> None:
        """Cancel the attempt without waiting for the engine's answer."""
        _start_background_task(
            cancel_attempt(self._engines, self._grant.engine, self._attempt_id)
        )

    async def _watch(self) -> None:
        remaining_s = max(0.0, self._deadline_s - self._clock.now_s())
        try:
            async with asyncio.timeout(remaining_s):
                await self._grant.revoked.wait()
        except TimeoutError:
            self.expired = True
        self.cancel_in_background()


async def cancel_attempt(
    engines: EngineClient, engine: Engine, attempt_id: str
) -> None:
    """
    Cancel an attempt; ignore a failure of the engine.

    An engine that can't be reached is taken to have ended the attempt.
    """
    try:
        await engines.cancel(engine, attempt_id)
    except EngineFailure:
        return


def _start_background_task(coroutine: Coroutine[Any, Any, None]) -> None:
    task = asyncio.ensure_future(coroutine)
    _background.add(task)
    task.add_done_callback(_background.discard)
