"""Protocol of the platform's object store."""

from __future__ import annotations

from typing import TYPE_CHECKING, Protocol

if TYPE_CHECKING:
    from returns.result import Result

    from ._table import Unavailable


class ObjectStore(Protocol):
    """Stores whole objects by name."""

    async def put(self, name: str, body: bytes) -> Result[None, Unavailable]:
        """
        Write an object.

        It depends on the store whether an object of the same name is replaced.
        """

    async def get(self, name: str) -> Result[bytes | None, Unavailable]:
        """Return an object, or None if there is none of this name."""

    async def delete(self, name: str) -> Result[None, Unavailable]:
        """Remove an object; does nothing if it does not exist."""
