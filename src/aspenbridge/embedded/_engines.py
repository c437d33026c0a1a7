"""An ``EngineClient`` for the embedded engines of this process."""

from __future__ import annotations

from typing import TYPE_CHECKING

from aspenbridge.ports import CallOutcome, EngineFailure

if TYPE_CHECKING:
    from collections.abc import AsyncGenerator

    from aspenbridge.ports import (
        Engine,
        EngineLoad,
        EngineOrder,
        Generate,
        GeneratedChunk,
    )

    from ._engine import EmbeddedEngine


class EmbeddedEngines:
    """Looks up embedded engines by name; records orders without effect."""

    def __init__(self) -> None:
        self.engines: dict[str, EmbeddedEngine] = {}
        self.orders: list[tuple[str, EngineOrder]] = []

    async def generate(
        self, engine: Engine, call: Generate
    ) -> AsyncGenerator[GeneratedChunk, None]:
        """
        Run one generation and yield its chunks as they come.

        :raises EngineFailure: when the engine is unknown or the generation
            fails.
        """
        async for chunk in self._find(engine).generate(call):
            yield chunk

    async def cancel(self, engine: Engine, attempt_id: str) -> None:
        """
        Stop a generation.

        :raises EngineFailure: when the engine is unknown.
        """
        self._find(engine).cancel(attempt_id)

    async def load(self, engine: Engine) -> EngineLoad:
        """
        Return the current load of an engine.

        :raises EngineFailure: when the engine is unknown.
        """
        return self._find(engine).report()

    async def order(self, engine: Engine, order: EngineOrder) -> bool:
        """Record an order and return True; fences are not checked."""
        self.orders.append((engine.name, order))
        return True

    def _find(self, engine: Engine) -> EmbeddedEngine:
        embedded_engine = self.engines.get(engine.name)
        if embedded_engine is None:
            raise EngineFailure(engine.name, CallOutcome.NOT_SENT, "no such engine")
        return embedded_engine
