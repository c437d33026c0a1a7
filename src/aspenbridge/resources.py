"""What a part of the program opens, closed together."""

from __future__ import annotations

from contextlib import AsyncExitStack
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from types import TracebackType


class StackOwner:
    """Closes what its exit stack owns, the last opened first, at its end."""

    def __init__(self) -> None:
        self._stack = AsyncExitStack()

    async def __aexit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        await self._stack.aclose()
