"""The platform's object store, in memory."""

from __future__ import annotations

from typing import TYPE_CHECKING

from returns.result import Result, Success

if TYPE_CHECKING:
    from aspenbridge.ports import Unavailable


class MemoryObjects:
    """An object store that never fails."""

    def __init__(self) -> None:
        self._objects: dict[str, bytes] = {}

    async def put(self, name: str, body: bytes) -> Result[None, Unavailable]:
        """Write an object, replacing one of the same name."""
        self._objects[name] = body
        return Success(None)

    async def get(self, name: str) -> Result[bytes | None, Unavailable]:
        """Return an object, or None if it does not exist."""
        return Success(self._objects.get(name))

    async def delete(self, name: str) -> Result[None, Unavailable]:
        """Remove an object; one that is absent is no error."""
        self._objects.pop(name, None)
        return Success(None)
