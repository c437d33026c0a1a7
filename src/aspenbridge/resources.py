"""Base class for objects that open resources and close them together."""

from __future__ import annotations

from contextlib import AsyncExitStack
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from types import TracebackType


class StackOwner:
    """
    Closes the resources on its exit stack when its context ends.

    They are closed in reverse order of opening. A subclass defines
    ``__aenter__`` and puts what it opens on ``self._stack``.
    """

    def __init__(self) -> None:
        self._stack = AsyncExitStack()

    async def __aexit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        await self._stack.aclose()
