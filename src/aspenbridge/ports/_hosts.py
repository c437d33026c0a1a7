"""The platform's lagging list of hosts."""

from __future__ import annotations

from typing import TYPE_CHECKING, Protocol

import attrs

if TYPE_CHECKING:
    from returns.result import Result

    from ._table import Unavailable


@attrs.frozen
class HostEntry:
    """One host as the platform lists it, possibly late."""

    address: str
    region: str
    failure_domain: str
    leaving: bool = False


class HostList(Protocol):
    """The list of live and leaving hosts; it lags behind the truth."""

    async def hosts(self) -> Result[tuple[HostEntry, ...], Unavailable]:
        """Return the peer address of each listed host."""
