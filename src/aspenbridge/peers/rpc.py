"""Cap'n Proto RPC between hosts, over TCP by IP numbers."""

from __future__ import annotations

import asyncio
import logging
from contextlib import AsyncExitStack
from typing import TYPE_CHECKING, Any

import capnp

from aspenbridge.loop import listening_socket
from aspenbridge.ports import PeerAddress, PeerUnreachableError

from ._codec import SCHEMA, decode, encode

if TYPE_CHECKING:
    from types import TracebackType

    from aspenbridge.ports import Clock, PeerHandler

    from ._messages import Message

logger = logging.getLogger(__name__)


class _Bootstrap(SCHEMA.Peer.Server):  # type: ignore[misc]
    """What a connecting peer talks to."""

    def __init__(self, handler: PeerHandler) -> None:
        self._handler = handler

    async def call(self, message: Any, **_: Any) -> dict[str, Any]:
        reply = await self._handler.handle(decode(message))
        return encode(reply)


class PeerServer:
    """Listens for other hosts; needs a running ``capnp.kj_loop``."""

    def __init__(self, handler: PeerHandler, address: PeerAddress) -> None:
        self._handler = handler
        self._address = address
        self._stack = AsyncExitStack()

    async def __aenter__(self) -> PeerServer:
        sock = listening_socket(*self._address)
        self._stack.callback(sock.close)
        server = await capnp.AsyncIoStream.create_server(self._serve, sock=sock)
        self._stack.callback(server.close)
        return self

    async def __aexit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        await self._stack.aclose()

    async def _serve(self, stream: Any) -> None:
        server = capnp.TwoPartyServer(stream, bootstrap=_Bootstrap(self._handler))
        try:
            await server.on_disconnect()
        except (capnp.KjException, ConnectionError):
            return


class _Connection:
    """One connection to a peer."""

    def __init__(self, stream: Any) -> None:
        self.client = capnp.TwoPartyClient(stream)
        self.peer = self.client.bootstrap().cast_as(SCHEMA.Peer)

    def close(self) -> None:
        """Drop the connection."""
        self.client.close()


class CapnpTransport:
    """Keeps one connection to each peer that is called."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._connections: dict[PeerAddress, _Connection] = {}
        self._locks: dict[PeerAddress, asyncio.Lock] = {}

    async def __aenter__(self) -> CapnpTransport:
        return self

    async def __aexit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        for connection in self._connections.values():
            connection.close()
        self._connections.clear()

    async def call(
        self, address: PeerAddress, message: Message, deadline_s: float
    ) -> Message:
        """
        Send a message and return the reply.

        :raises PeerUnreachableError: when no reply came by the deadline.
        """
        sent = False
        try:
            async with asyncio.timeout(max(0.0, deadline_s - self._clock.now_s())):
                connection = await self._connection(address)
                sent = True
                reply = await connection.peer.call(message=encode(message))
                return decode(reply.reply)
        except (TimeoutError, OSError, capnp.KjException) as error:
            self._drop(address)
            reason = type(error).__name__
            raise PeerUnreachableError(address, reason, sent=sent) from error

    async def _connection(self, address: PeerAddress) -> _Connection:
        lock = self._locks.setdefault(address, asyncio.Lock())
        async with lock:
            existing = self._connections.get(address)
            if existing is not None:
                return existing
            stream = await capnp.AsyncIoStream.create_connection(*address)
            connection = _Connection(stream)
            self._connections[address] = connection
            return connection

    def _drop(self, address: PeerAddress) -> None:
        connection = self._connections.pop(address, None)
        if connection is not None:
            connection.close()


__all__ = ["CapnpTransport", "PeerServer"]
