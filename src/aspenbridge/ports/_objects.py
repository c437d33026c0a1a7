"""The platform's object store."""

from __future__ import annotations

from typing import TYPE_CHECKING, Protocol

if TYPE_CHECKING:
    from returns.result import Result

    from ._table import Unavailable


class ObjectStore(Protocol):
    """Whole objects by name."""

    async def put(self, name: str, body: bytes) -> Result[None, Unavailable]:
        """Write an object, replacing one of the same name."""

    async def get(self, name: str) -> Result[bytes | None, Unavailable]:
        """Return an object, or None when there is none."""

    async def delete(self, name: str) -> Result[None, Unavailable]:
        """Remove an object; one that is absent is no error."""
