"""Protocol of the platform's list of hosts."""

from __future__ import annotations

from typing import TYPE_CHECKING, Protocol

import attrs

if TYPE_CHECKING:
    from returns.result import Result

    from ._table import Unavailable


@attrs.frozen
class HostEntry:
    """One host on the platform's list; the entry may be out of date."""

    address: str
    region: str
    failure_domain: str
    leaving: bool = False


class HostList(Protocol):
    """Reads the list of live and leaving hosts, which may be out of date."""

    async def hosts(self) -> Result[tuple[HostEntry, ...], Unavailable]:
        """Return the listed hosts with their peer addresses."""
