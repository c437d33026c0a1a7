"""Settings of an entry host."""

from __future__ import annotations

import re
from ipaddress import IPv4Address, IPv6Address
from typing import TYPE_CHECKING

import attrs

if TYPE_CHECKING:
    from collections.abc import Mapping

PORT = re.compile(r"[1-9][0-9]{0,4}")
MAX_PORT = 2**16 - 1
MAX_SHOWN_CHARACTERS = 60  # of an address that is invalid


@attrs.frozen
class Address:
    """An IP address and a port."""

    ip: str
    port: int

    @classmethod
    def parse(cls, text: str) -> Address:
        """
        Parse an address of the form ``IP:PORT``.

        An IPv6 address stands in brackets, without a zone.

        :raises ValueError: when the IP address is not numeric, or the port is
            missing, not a number or out of range.
        """
        ip, _, port = text.rpartition(":")
        if PORT.fullmatch(port) is None or int(port) > MAX_PORT:
            raise ValueError(f"address {text[:MAX_SHOWN_CHARACTERS]!r} has no port")
        if ip.startswith("[") and ip.endswith("]") and "%" not in ip:
            IPv6Address(ip[1:-1])
        else:
            IPv4Address(ip)
        return cls(ip, int(port))

    def __str__(self) -> str:
        return f"{self.ip}:{self.port}"


@attrs.frozen
class StoreLimits:
    """The largest row values and objects that the store accepts."""

    row_bytes: int
    object_bytes: int


@attrs.frozen
class TimeBounds:
    """Time limits that the operator requires of the fleet."""

    shutdown_s: float  # the longest shutdown of a host
    results_kept_s: float  # from the acceptance of a batch job


@attrs.frozen
class MachineLimits:
    """
    What a host may use of its machine.

    :ivar caller_bytes: what its callers may hold in memory; None for a share
        of ``memory_bytes``.
    :ivar caller_connections: how many connections they may have; None for a
        share of ``max_descriptors`` and of the memory.
    """

    memory_bytes: int = 128_000_000
    max_descriptors: int = 4096
    caller_bytes: int | None = None
    caller_connections: int | None = None


@attrs.frozen
class EntrySettings:
    """Identity, addresses and limits of an entry host."""

    host: str
    failure_domain: str
    region: str
    regions: Mapping[str, str]  # failure domain to region
    ip: str
    callers: Address  # listens for requests of callers
    readiness: Address  # listens for readiness checks
    peer_ports: range  # the first one receives load reports
    store: Address
    store_limits: StoreLimits
    bounds: TimeBounds
    engine_heartbeat_s: float  # between two renewals of an engine's entry
    machine: MachineLimits = MachineLimits()
