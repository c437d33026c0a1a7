"""Engines of one process behind the engine client's protocol."""

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
    """Calls engines of this process by name."""

    def __init__(self) -> None:
        self.engines: dict[str, EmbeddedEngine] = {}
        self.orders: list[tuple[str, EngineOrder]] = []

    async def generate(
        self, engine: Engine, call: Generate
    ) -> AsyncGenerator[GeneratedChunk, None]:
        """Run one generation."""
        async for chunk in self._find(engine).generate(call):
            yield chunk

    async def cancel(self, engine: Engine, attempt_id: str) -> None:
        """Stop a generation."""
        self._find(engine).cancel(attempt_id)

    async def load(self, engine: Engine) -> EngineLoad:
        """Return the load of this moment."""
        return self._find(engine).report()

    async def order(self, engine: Engine, order: EngineOrder) -> bool:
        """Take an order."""
        self.orders.append((engine.name, order))
        return True

    def _find(self, engine: Engine) -> EmbeddedEngine:
        found = self.engines.get(engine.name)
        if found is None:
            raise EngineFailure(engine.name, CallOutcome.NOT_SENT, "no such engine")
        return found
