"""Datagrams between hosts, sent over UDP."""

from __future__ import annotations

import asyncio
import logging
import socket
from contextlib import asynccontextmanager
from typing import TYPE_CHECKING, Protocol

if TYPE_CHECKING:
    from collections.abc import AsyncIterator, Callable
    from contextlib import AbstractAsyncContextManager

logger = logging.getLogger(__name__)
PeerAddress = tuple[str, int]


class Datagrams(Protocol):
    """Sends and receives datagrams, which may be lost on the way."""

    def open(
        self, address: PeerAddress, receive: Callable[[bytes, PeerAddress], None]
    ) -> AbstractAsyncContextManager[Callable[[bytes, PeerAddress], None]]:
        """
        Listen at an address for as long as the context is open.

        :param receive: called with each datagram and its sender.
        :return: a context whose value sends a datagram to an address.
        """


class UdpDatagrams:
    """Datagrams over a UDP socket of the running event loop."""

    @asynccontextmanager
    async def open(
        self, address: PeerAddress, receive: Callable[[bytes, PeerAddress], None]
    ) -> AsyncIterator[Callable[[bytes, PeerAddress], None]]:
        """Bind a socket; close it when the context ends."""
        sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        sock.setblocking(False)
        sock.bind(address)
        loop = asyncio.get_running_loop()
        transport, _ = await loop.create_datagram_endpoint(
            lambda: _Receiver(receive), sock=sock
        )
        try:
            yield transport.sendto
        finally:
            transport.close()


class _Receiver(asyncio.DatagramProtocol):
    def __init__(self, receive: Callable[[bytes, PeerAddress], None]) -> None:
        self._receive = receive

    def datagram_received(self, data: bytes, addr: PeerAddress) -> None:
        self._receive(data, addr)

    def error_received(self, exc: Exception) -> None:
        logger.debug("datagram was not sent: %s", exc)
