"""Tells callers that have left from those that only send no more."""

from __future__ import annotations

import asyncio
import socket
import struct
from typing import TYPE_CHECKING

import attrs

if TYPE_CHECKING:
    from collections.abc import Callable

# An interim response, which a caller that has not been answered can skip.
PROBE = b"HTTP/1.1 100 Continue\r\n\r\n"
CHECK_INTERVAL_S = 0.05
# When probes are sent, after the caller's end was read. A relay between caller
# and host can't pass the first one on, closes at the second, and its kernel
# resets the connection at the third.
PROBES_S = (0.0, 0.1, 0.2)
# What a caller is sent must be acknowledged so soon; engines must have stopped
# half a second after it left.
ACKNOWLEDGE_LIMIT_S = 0.3
TCP_CLOSED = 7  # the state of a connection that was reset
TCP_INFO_BYTES = 128
ACKNOWLEDGED_BYTES = struct.Struct("=120xQ")  # its field among the kernel's


@attrs.frozen
class ConnectionState:
    """What the kernel knows of a connection to a caller."""

    reset: bool
    acknowledged_bytes: int  # since its beginning

    @classmethod
    def of(cls, transport: asyncio.BaseTransport) -> ConnectionState:
        """Ask the kernel; a connection it does not know counts as reset."""
        sock = transport.get_extra_info("socket")
        try:
            info = sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, TCP_INFO_BYTES)
        except OSError:  # the event loop has closed it
            return cls(True, 0)
        if len(info) < TCP_INFO_BYTES:
            return cls(True, 0)  # a kernel that counts no acknowledged bytes
        return cls(info[0] == TCP_CLOSED, ACKNOWLEDGED_BYTES.unpack(info)[0])


def has_left(first: ConnectionState, now: ConnectionState, elapsed_s: float) -> bool:
    """
    Whether a caller that sends no more has left altogether.

    Its kernel resets the connection at the first data that reaches it after it
    has closed, and acknowledges data while it has not.

    :param first: the state when its end of sending was read.
    :param elapsed_s: the time since then, in seconds.
    """
    acknowledged = now.acknowledged_bytes > first.acknowledged_bytes
    return now.reset or (elapsed_s >= ACKNOWLEDGE_LIMIT_S and not acknowledged)


class DepartureWatch:
    """
    Aborts the connection of a caller that has sent all, once it has left.

    :param may_probe: whether the caller can be sent an interim response now.
    """

    def __init__(
        self,
        transport: asyncio.Transport,
        loop: asyncio.AbstractEventLoop,
        may_probe: Callable[[], bool],
    ) -> None:
        self._transport = transport
        self._loop = loop
        self._may_probe = may_probe
        self._begun_s = loop.time()
        self._first = ConnectionState.of(transport)
        self._probes_s = list(PROBES_S)
        self._handle: asyncio.TimerHandle | None = None
        self._check()

    def _check(self) -> None:
        elapsed_s = self._loop.time() - self._begun_s
        if has_left(self._first, ConnectionState.of(self._transport), elapsed_s):
            self._transport.abort()
            return
        if self._probes_s and elapsed_s >= self._probes_s[0]:
            del self._probes_s[0]
            if self._may_probe():
                self._transport.write(PROBE)
        self._handle = self._loop.call_later(CHECK_INTERVAL_S, self._check)

    def stop(self) -> None:
        """End the watch, as the connection has ended."""
        if self._handle is not None:
            self._handle.cancel()
