"""The platform's host list, in memory."""

from __future__ import annotations

from typing import TYPE_CHECKING

from returns.result import Result, Success

if TYPE_CHECKING:
    from aspenbridge.ports import HostEntry, Unavailable


class EmbeddedHostList:
    """A host list without delay; ``entries`` holds it by peer address."""

    def __init__(self) -> None:
        self.entries: dict[str, HostEntry] = {}

    async def hosts(self) -> Result[tuple[HostEntry, ...], Unavailable]:
        """Return each listed host."""
        return Success(tuple(self.entries.values()))
