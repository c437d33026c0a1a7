"""What an entry host is told at its start."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

if TYPE_CHECKING:
    from collections.abc import Mapping


@attrs.frozen
class Address:
    """An IP number and a port."""

    ip: str
    port: int

    @classmethod
    def parse(cls, text: str) -> Address:
        """
        Read ``IP:PORT``.

        :raises ValueError: when there is no port.
        """
        ip, separator, port = text.rpartition(":")
        if not separator:
            raise ValueError(f"address {text!r} has no port")
        return cls(ip, int(port))

    def __str__(self) -> str:
        return f"{self.ip}:{self.port}"


@attrs.frozen
class StoreLimits:
    """The largest values that the store takes."""

    row_bytes: int
    object_bytes: int


@attrs.frozen
class TimeBounds:
    """How fast the fleet has to follow; given by the operator."""

    shutdown_s: float
    results_kept_s: float


@attrs.frozen
class EntrySettings:
    """Who a host is, where it listens and what it may use."""

    host: str
    failure_domain: str
    region: str
    regions: Mapping[str, str]
    ip: str
    callers: Address
    readiness: Address
    peer_ports: range
    store: Address
    store_limits: StoreLimits
    bounds: TimeBounds
