"""Sends metrics to statsd over UDP; calls neither block nor raise."""

from __future__ import annotations

import socket
from typing import TYPE_CHECKING

from statsd.client.base import StatsClientBase

from aspenbridge.ports import PeerAddress

if TYPE_CHECKING:
    from types import TracebackType

PREFIX = "aspenbridge"
MS_PER_S = 1000.0


class _UdpClient(StatsClientBase):  # type: ignore[misc]
    """A statsd client on a non-blocking socket that counts send errors."""

    def __init__(self, sock: socket.socket) -> None:
        self._sock = sock
        self._prefix = PREFIX
        self.dropped = 0

    def _send(self, data: str) -> None:
        try:
            self._sock.send(data.encode("ascii", "replace"))
        except OSError:
            self.dropped += 1


class StatsdMetrics:
    """Sends each measurement to statsd as one datagram."""

    def __init__(self, address: str) -> None:
        ip, port = PeerAddress.parse(address)
        family = socket.AF_INET6 if ":" in ip else socket.AF_INET
        self._sock = socket.socket(family, socket.SOCK_DGRAM)
        self._sock.setblocking(False)
        self._sock.connect((ip, port))
        self._client = _UdpClient(self._sock)

    @property
    def dropped(self) -> int:
        """The number of measurements that could not be sent."""
        return self._client.dropped

    def __enter__(self) -> StatsdMetrics:
        return self

    def __exit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        self._sock.close()

    def count(self, name: str, value: int = 1) -> None:
        """Add a value to a counter."""
        self._client.incr(name, value)

    def time(self, name: str, duration_s: float) -> None:
        """Record a duration, sent in milliseconds."""
        self._client.timing(name, duration_s * MS_PER_S)

    def gauge(self, name: str, value: float) -> None:
        """Set a gauge; a negative value is sent as 0."""
        self._client.gauge(name, max(0.0, value))
